package edge

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/allowance"
	"github.com/banyanglade/banyanglade/internal/conversation"
	"github.com/banyanglade/banyanglade/internal/inbound"
	"github.com/banyanglade/banyanglade/internal/lostruns"
	"github.com/banyanglade/banyanglade/internal/overload"
	"github.com/banyanglade/banyanglade/internal/relay"
	"github.com/banyanglade/banyanglade/internal/streampin"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// state is the instance's state as served for debugging.
type state struct {
	Instance        string                 `json:"instance"`
	Ready           bool                   `json:"ready"`
	InFlight        int64                  `json:"in_flight"`
	SettingsVersion int64                  `json:"settings_version"`
	Targets         []targets.Dump         `json:"targets"`
	Conversations   conversation.Dump      `json:"conversations"`
	Allowances      allowance.Dump         `json:"allowances"`
	StreamPins      streampin.Dump         `json:"stream_pins"`
	LostRuns        lostruns.Dump          `json:"lost_runs"`
	Admission       []overload.ServiceDump `json:"room"`
	Topics          relay.Dump             `json:"topics"`
	Inbound         []inbound.Usage        `json:"inbound"`
}

func (e *edge) dump() state {
	s := state{
		Instance: e.machine.Name, Ready: e.ready(), InFlight: e.server.InFlight(),
		Targets: e.targetFeed.registry.Dump(), Conversations: e.conversations.Dump(),
		Allowances: e.allowances.Dump(), StreamPins: e.streamPins.Dump(), LostRuns: e.lostRuns.Dump(), Admission: e.server.Admission().Dump(time.Now()),
		Topics: e.relay.Dump(time.Now()),
	}
	for _, g := range e.guards.all() {
		s.Inbound = append(s.Inbound, g.Usage())
	}
	if table := e.server.Table(); table != nil {
		s.SettingsVersion = table.Version
	}
	return s
}
