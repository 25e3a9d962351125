// Package instance implements the core of an instance as a state machine: the
// membership view, gateway, owner, dispatcher, orders and settings. Tick consumes
// events and returns commands. The core does no I/O, reads no clock and starts no
// goroutines, so tests can run many instances in one process with a virtual
// clock.
package instance

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/dispatch"
	"github.com/banyanglade/banyanglade/internal/gateway"
	"github.com/banyanglade/banyanglade/internal/members"
	"github.com/banyanglade/banyanglade/internal/orders"
	"github.com/banyanglade/banyanglade/internal/owner"
	"github.com/banyanglade/banyanglade/internal/settings"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// maxTickRounds bounds the rounds in which the components exchange messages
// within one tick, to detect components that reply to each other endlessly.
const maxTickRounds = 64

// Instance is the core of one instance.
type Instance struct {
	cfg            structs.InstanceConfig
	view           *members.View
	gateway        *gateway.Gateway
	owner          *owner.Owner
	dispatch       *dispatch.Dispatcher
	orders         *orders.Controller
	tree           *settings.Tree
	proposer       *settings.Proposer
	pendingReplies *pendingReplies

	ready     readiness
	draining  bool
	drainAt   time.Time
	drainDone bool
	// commands collects the commands of the current tick.
	commands []structs.Command
}

// New returns the core of an instance. Its first tick starts reading the
// settings stream.
func New(cfg structs.InstanceConfig) *Instance {
	view := members.New(cfg.Self)
	tree := settings.NewTree()
	return &Instance{
		cfg:            cfg,
		view:           view,
		gateway:        gateway.New(cfg, view),
		owner:          owner.New(cfg, view, tree),
		dispatch:       dispatch.New(cfg, view, tree),
		orders:         orders.New(cfg, view, tree),
		tree:           tree,
		proposer:       settings.NewProposer(cfg, tree, view),
		pendingReplies: newPendingReplies(cfg.Self.ID),
	}
}

// Tree returns the settings tree. It changes only in Tick.
func (i *Instance) Tree() *settings.Tree { return i.tree }

// Peers returns the known instances and the generation of the list, which grows
// with each change. The slice is never modified.
func (i *Instance) Peers() ([]structs.Peer, uint64) {
	return i.view.Peers(), i.view.Generation()
}

// Tick processes the events up to now and returns the resulting commands.
// Messages of the instance to itself are delivered within the tick.
func (i *Instance) Tick(now time.Time, events []structs.Event) []structs.Command {
	i.commands = nil
	round := events
	for n := 0; n == 0 || len(round) > 0; n++ {
		if n == maxTickRounds {
			panic("invariant violated: the components of the instance did not settle within one tick")
		}
		round = i.runRound(now, round)
	}
	i.updateWatched()
	i.checkReady()
	i.checkDrained(now)
	return i.commands
}

// runRound ticks each component once and returns the messages among them as
// events.
func (i *Instance) runRound(now time.Time, events []structs.Event) []structs.Event {
	in := i.route(now, events)
	var cmds []structs.Command
	// The view goes first, since the others depend on it.
	cmds = append(cmds, i.view.Tick(now, in.view)...)
	cmds = append(cmds, i.proposer.Tick(now, in.settings)...)
	cmds = append(cmds, i.gateway.Tick(now, in.gateway)...)
	cmds = append(cmds, i.owner.Tick(now, in.owner)...)
	cmds = append(cmds, i.dispatch.Tick(now, in.dispatch)...)
	cmds = append(cmds, i.orders.Tick(now, in.orders)...)
	cmds = append(cmds, in.commands...)
	return i.collect(cmds)
}

// collect appends the commands for the adapters to i.commands and returns the
// messages to this instance as events.
func (i *Instance) collect(cmds []structs.Command) []structs.Event {
	var local []structs.Event
	for _, cmd := range cmds {
		send, ok := cmd.(structs.SendPeer)
		if !ok {
			i.commands = append(i.commands, cmd)
			continue
		}
		if send.To == i.cfg.Self.ID {
			local = append(local, structs.PeerMessage{From: send.To, Msg: send.Msg})
			continue
		}
		i.pendingReplies.recordSent(send.To, send.Msg)
		i.commands = append(i.commands, cmd)
	}
	return local
}

// NextWake returns the time of the earliest timer, zero if there is none.
func (i *Instance) NextWake() time.Time {
	var next time.Time
	for _, at := range []time.Time{
		i.view.NextWake(), i.proposer.NextWake(), i.gateway.NextWake(),
		i.owner.NextWake(), i.dispatch.NextWake(), i.orders.NextWake(), i.drainTime(),
	} {
		if next.IsZero() || (!at.IsZero() && at.Before(next)) {
			next = at
		}
	}
	return next
}

func (i *Instance) updateWatched() {
	if cmd, changed := i.pendingReplies.watchCommand(); changed {
		i.commands = append(i.commands, cmd)
	}
}

func (i *Instance) drainTime() time.Time {
	if !i.draining || i.drainDone {
		return time.Time{}
	}
	return i.drainAt
}
