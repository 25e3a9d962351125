package edge

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/allowance"
	"github.com/banyanglade/banyanglade/internal/budget"
	"github.com/banyanglade/banyanglade/internal/conversation"
	"github.com/banyanglade/banyanglade/internal/directory"
	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/internal/lostruns"
	"github.com/banyanglade/banyanglade/internal/peer"
	"github.com/banyanglade/banyanglade/internal/streampin"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/targets"
	"github.com/banyanglade/banyanglade/platform"
)

// backgroundContext is the context of an instance's background work.
type backgroundContext struct{ context.Context }

// eventRouter passes events of the transport on to their receivers, which are built after
// the transport.
type eventRouter struct {
	budgets       *budget.Manager
	conversations *conversation.Manager
	allowances    *allowance.Manager
	streamPins    *streampin.Manager
	lostRuns      *lostruns.Manager
}

// dispatch routes one event. Events that arrive before the receivers are set are dropped,
// like messages to an instance that has not started.
func (r *eventRouter) dispatch(event structs.Event) bool {
	if r.budgets == nil || r.conversations == nil || r.allowances == nil || r.streamPins == nil || r.lostRuns == nil {
		return true
	}
	message, isMessage := event.(structs.PeerMessage)
	switch {
	case isMessage && conversation.Handles(message.Msg):
		r.conversations.Receive(event)
	case isMessage && allowance.Handles(message.Msg):
		r.allowances.Receive(event)
	case isMessage && streampin.Handles(message.Msg):
		r.streamPins.Receive(event)
	case isMessage && lostruns.Handles(message.Msg):
		r.lostRuns.Receive(event)
	default:
		r.conversations.Receive(event)
		r.budgets.Receive(event)
		r.allowances.Receive(event)
		r.streamPins.Receive(event)
		r.lostRuns.Receive(event)
	}
	return true
}

func newTransport(
	background backgroundContext, dir *directory.Directory, options Options, r *eventRouter, scope tally.Scope, log *slog.Logger,
) (*peer.Transport, error) {
	self := dir.Self()
	cfg := peer.Config{
		Self: self, Incarnation: string(self.ID), Key: []byte(options.PeerKey),
		PeerTimeout: peerTimeout, DialTimeout: peerDialTimeout, HeartbeatInterval: peerHeartbeatInterval,
		MaxHandshakes: maxPeerHandshakes,
	}
	return peer.New(background, cfg, r.dispatch, dir.Resolve, scope, log)
}

func newBudgets(
	background backgroundContext, machine platform.Machine, dir *directory.Directory, store *platform.Store,
	transport *peer.Transport, registry *targets.Registry, health *feed.Health, instances *instanceList, r *eventRouter,
	scope tally.Scope, log *slog.Logger,
) *budget.Manager {
	r.budgets = budget.New(background, budget.Config{
		Directory: dir, Partitions: machine.Store.Partitions, Store: store, Peers: transport, TargetFailures: registry, Loads: registry,
		Health: health, InstancesLoaded: instances.loaded, MaxAccounts: maxAccounts(machine), Scope: scope, Log: log,
	})
	return r.budgets
}

func newConversations(
	background backgroundContext, machine platform.Machine, dir *directory.Directory, store *platform.Store,
	transport *peer.Transport, health *feed.Health, r *eventRouter, scope tally.Scope, log *slog.Logger,
) *conversation.Manager {
	r.conversations = conversation.New(background, conversation.Config{
		Directory: dir, Partitions: machine.Store.Partitions, MaxCallBytes: machine.Store.MaxCallBytes,
		Store: store, Peers: transport, Health: health, Scope: scope, Log: log,
	})
	return r.conversations
}

func newAllowances(
	machine platform.Machine, dir *directory.Directory, transport *peer.Transport, instances *instanceList, r *eventRouter,
	scope tally.Scope, log *slog.Logger,
) *allowance.Manager {
	quota := machine.Quota
	r.allowances = allowance.New(allowance.Config{
		Directory: dir, Slots: machine.Store.Partitions, Key: budget.PartitionKey,
		Tolerance: allowance.Tolerance{Window: quota.Window, Fraction: quota.Fraction, Requests: quota.Requests},
		Peers:     transport, InstancesLoaded: instances.loaded, Scope: scope, Log: log,
	})
	return r.allowances
}

// targetList implements streampin.List. Its topic is set after the components that use it
// are built.
type targetList struct{ topic atomic.Pointer[feed.Topic] }

func newTargetList() *targetList { return new(targetList) }

// Age implements streampin.List.
func (l *targetList) Age() time.Duration { return l.topic.Load().Age(time.Now()) }

// FollowedSince implements streampin.List.
func (l *targetList) FollowedSince() time.Time { return l.topic.Load().FollowedSince() }

// AwaitConfirmed implements streampin.List.
func (l *targetList) AwaitConfirmed(ctx context.Context, after time.Time) bool {
	topic := l.topic.Load()
	for {
		updated := topic.Updated()
		if topic.Age(time.Now()) < time.Since(after) {
			return true
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return false
		}
	}
}

func newStreamPins(
	machine platform.Machine, dir *directory.Directory, transport *peer.Transport, registry *targets.Registry, list *targetList,
	r *eventRouter, scope tally.Scope, log *slog.Logger,
) *streampin.Manager {
	r.streamPins = streampin.New(streampin.Config{
		Directory: dir, Slots: machine.Store.Partitions, Key: budget.PartitionKey, Peers: transport,
		Versions: registry, List: list, MaxPins: maxPins(machine), Scope: scope, Log: log,
	})
	return r.streamPins
}

func newStoreRecords(store *platform.Store, health *feed.Health) *lostruns.StoreRecords {
	return lostruns.NewStoreRecords(store, health)
}

func newLostRuns(
	machine platform.Machine, dir *directory.Directory, transport *peer.Transport, records *lostruns.StoreRecords, r *eventRouter,
	scope tally.Scope, log *slog.Logger,
) *lostruns.Manager {
	r.lostRuns = lostruns.New(lostruns.Config{
		Directory: dir, Slots: machine.Store.Partitions, Key: budget.PartitionKey, Peers: transport, Records: records,
		Scope: scope, Log: log,
	})
	return r.lostRuns
}
