package settings

import (
	"slices"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Dump is the state of a Proposer. It contains no keys and only abbreviated key
// hashes.
type Dump struct {
	CaughtUp bool   `json:"caught_up"`
	Source   string `json:"source,omitempty"`
	Next     uint64 `json:"next"`
	Skipped  uint64 `json:"skipped_records"`
	LogDown  bool   `json:"log_down"`
	// Gap indicates that the log dropped records that the tree has not applied, Lost
	// that no settings are left, and LogBehind that the log lost records.
	Gap       bool `json:"gap"`
	Lost      bool `json:"lost"`
	LogBehind bool `json:"log_behind"`
	// LastSnapshot is the time of the last snapshot on the log, or of the first record
	// if there is no snapshot.
	LastSnapshot     time.Time      `json:"last_snapshot"`
	SnapshotsWritten uint64         `json:"snapshots_written"`
	MalformedStates  uint64         `json:"malformed_peer_states"`
	Pending          []DumpProposal `json:"pending"`
	Entries          []Entry        `json:"entries"`
}

// DumpProposal is a change waiting for the log.
type DumpProposal struct {
	ChangeID string    `json:"change_id"`
	Deadline time.Time `json:"deadline"`
	OnLog    bool      `json:"on_log"`
	Waiting  int       `json:"waiting_requests"`
}

// Dump returns the state for operators.
func (p *Proposer) Dump() Dump {
	c := &p.catchUp
	listing, _ := p.tree.Listing("")
	d := Dump{
		CaughtUp: c.done, Source: c.source, Next: p.tree.Next(), Skipped: p.tree.Skipped(),
		LogDown: c.logDown, Gap: c.gap, Lost: p.settingsLost(), LogBehind: c.logBehind,
		LastSnapshot: p.checkpoint.oldest, SnapshotsWritten: p.checkpoint.written,
		MalformedStates: p.exchange.malformed, Pending: []DumpProposal{}, Entries: listing.Entries,
	}
	for id, pending := range p.pending {
		d.Pending = append(d.Pending, DumpProposal{ChangeID: id, Deadline: pending.deadline, OnLog: pending.onLog, Waiting: len(pending.requests)})
	}
	slices.SortFunc(d.Pending, func(a, b DumpProposal) int { return strings.Compare(a.ChangeID, b.ChangeID) })
	return d
}

var _ interface {
	Tick(time.Time, []structs.Event) []structs.Command
	NextWake() time.Time
} = (*Proposer)(nil)
