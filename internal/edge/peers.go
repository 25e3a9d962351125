package edge

import (
	"context"
	"log/slog"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/allowance"
	"github.com/banyanglade/banyanglade/internal/budget"
	"github.com/banyanglade/banyanglade/internal/conversation"
	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/internal/peer"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/targets"
	"github.com/banyanglade/banyanglade/platform"
)

// lifetime is the context of what works in the background of an instance.
type lifetime struct{ context.Context }

// receiver passes the transport's events on to the keepers, which are made
// after the transport.
type receiver struct {
	keeper        *budget.Manager
	conversations *conversation.Manager
	allowances    *allowance.Manager
}

// post takes one event. Events before the keepers are there are lost, like
// messages to an instance that is not up yet.
func (r *receiver) post(event structs.Event) bool {
	if r.keeper == nil || r.conversations == nil || r.allowances == nil {
		return true
	}
	message, isMessage := event.(structs.PeerMessage)
	switch {
	case isMessage && conversation.Handles(message.Msg):
		r.conversations.Receive(event)
	case isMessage && allowance.Handles(message.Msg):
		r.allowances.Receive(event)
	default:
		r.conversations.Receive(event)
		r.keeper.Receive(event)
		r.allowances.Receive(event)
	}
	return true
}

func newTransport(
	life lifetime, dir *directory.Directory, options Options, r *receiver, scope tally.Scope, log *slog.Logger,
) (*peer.Transport, error) {
	self := dir.Self()
	cfg := peer.Config{
		Self: self, Incarnation: string(self.ID), Key: []byte(options.PeerKey),
		PeerTimeout: peerLiveness, DialTimeout: peerDial, HeartbeatInterval: peerHeartbeat,
		MaxHandshakes: peerHandshakes,
	}
	return peer.New(life, cfg, r.post, dir.Resolve, scope, log)
}

func newKeeper(
	life lifetime, machine platform.Machine, dir *directory.Directory, store *platform.Store,
	transport *peer.Transport, registry *targets.Registry, health *feed.Health, instances *listing, r *receiver,
	scope tally.Scope, log *slog.Logger,
) *budget.Manager {
	r.keeper = budget.New(life, budget.Config{
		Directory: dir, Partitions: machine.Store.Partitions, Store: store, Peers: transport, Breaks: registry, Loads: registry,
		Health: health, Listed: instances.known, Scope: scope, Log: log,
	})
	return r.keeper
}

func newConversations(
	life lifetime, machine platform.Machine, dir *directory.Directory, store *platform.Store,
	transport *peer.Transport, health *feed.Health, r *receiver, scope tally.Scope, log *slog.Logger,
) *conversation.Manager {
	r.conversations = conversation.New(life, conversation.Config{
		Directory: dir, Partitions: machine.Store.Partitions, MaxCallBytes: machine.Store.MaxCallBytes,
		Store: store, Peers: transport, Health: health, Scope: scope, Log: log,
	})
	return r.conversations
}

func newAllowances(
	machine platform.Machine, dir *directory.Directory, transport *peer.Transport, instances *listing, r *receiver,
	scope tally.Scope, log *slog.Logger,
) *allowance.Manager {
	quota := machine.Quota
	r.allowances = allowance.New(allowance.Config{
		Directory: dir, Slots: machine.Store.Partitions, Key: budget.PartitionKey,
		Tolerance: allowance.Tolerance{Window: quota.Window, Over: quota.Over, Slack: quota.Slack},
		Peers:     transport, Listed: instances.known, Scope: scope, Log: log,
	})
	return r.allowances
}
