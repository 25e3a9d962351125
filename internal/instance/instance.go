// Package instance composes the pure core of one instance: membership view,
// gateway, owner, dispatcher and settings. One call of Tick takes in events and
// gives commands; there is no I/O, clock or goroutine inside, so that a test
// can drive many instances from one process with a virtual clock. A restart is
// a new value.
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

// maxRounds bounds the rounds of one tick in which components of the instance
// answer each other. More rounds mean that two of them disagree for good.
const maxRounds = 64

// Instance is the core of one instance.
type Instance struct {
	cfg      structs.InstanceConfig
	view     *members.View
	gateway  *gateway.Gateway
	owner    *owner.Owner
	dispatch *dispatch.Dispatcher
	orders   *orders.Controller
	tree     *settings.Tree
	proposer *settings.Proposer
	interest *interest

	ready      readiness
	draining   bool
	drainUntil time.Time
	drainDone  bool
	// out collects the commands of the present tick.
	out []structs.Command
}

// New returns the core of an instance that knows nothing yet. Its first tick
// starts the catch-up with the settings stream.
func New(cfg structs.InstanceConfig) *Instance {
	view := members.New(cfg.Self)
	tree := settings.NewTree()
	return &Instance{
		cfg:      cfg,
		view:     view,
		gateway:  gateway.New(cfg, view),
		owner:    owner.New(cfg, view, tree),
		dispatch: dispatch.New(cfg, view, tree),
		orders:   orders.New(cfg, view, tree),
		tree:     tree,
		proposer: settings.NewProposer(cfg, tree, view),
		interest: newInterest(cfg.Self.ID),
	}
}

// Tree is the settings tree; it changes only in Tick.
func (i *Instance) Tree() *settings.Tree { return i.tree }

// Peers lists the known instances; the slice is not changed later. The number
// grows with each change of it.
func (i *Instance) Peers() ([]structs.Peer, uint64) {
	return i.view.Peers(), i.view.Generation()
}

// Tick takes in events that happened by now and gives the commands that follow.
// Messages of the instance to itself are delivered within the tick.
func (i *Instance) Tick(now time.Time, events []structs.Event) []structs.Command {
	i.out = nil
	round := events
	for n := 0; n == 0 || len(round) > 0; n++ {
		if n == maxRounds {
			panic("invariant broken: the instance's components do not come to rest in one tick")
		}
		round = i.round(now, round)
	}
	i.watch()
	i.checkReady()
	i.checkDrained(now)
	return i.out
}

// round runs each component once and returns the events that the components
// have for each other.
func (i *Instance) round(now time.Time, events []structs.Event) []structs.Event {
	in := i.route(now, events)
	var cmds []structs.Command
	// The view goes first: the others decide by it.
	cmds = append(cmds, i.view.Tick(now, in.view)...)
	cmds = append(cmds, i.proposer.Tick(now, in.settings)...)
	cmds = append(cmds, i.gateway.Tick(now, in.gateway)...)
	cmds = append(cmds, i.owner.Tick(now, in.owner)...)
	cmds = append(cmds, i.dispatch.Tick(now, in.dispatch)...)
	cmds = append(cmds, i.orders.Tick(now, in.orders)...)
	cmds = append(cmds, in.replies...)
	return i.collect(cmds)
}

// collect keeps commands for the adapters and turns messages to this instance
// into events.
func (i *Instance) collect(cmds []structs.Command) []structs.Event {
	var local []structs.Event
	for _, cmd := range cmds {
		send, ok := cmd.(structs.SendPeer)
		if !ok {
			i.out = append(i.out, cmd)
			continue
		}
		if send.To == i.cfg.Self.ID {
			local = append(local, structs.PeerMessage{From: send.To, Msg: send.Msg})
			continue
		}
		i.interest.sent(send.To, send.Msg)
		i.out = append(i.out, cmd)
	}
	return local
}

// NextWake gives the time of the earliest timer, zero if there is none.
func (i *Instance) NextWake() time.Time {
	var next time.Time
	for _, at := range []time.Time{
		i.view.NextWake(), i.proposer.NextWake(), i.gateway.NextWake(),
		i.owner.NextWake(), i.dispatch.NextWake(), i.orders.NextWake(), i.drainWake(),
	} {
		if next.IsZero() || (!at.IsZero() && at.Before(next)) {
			next = at
		}
	}
	return next
}

func (i *Instance) watch() {
	if cmd, changed := i.interest.watch(); changed {
		i.out = append(i.out, cmd)
	}
}

func (i *Instance) drainWake() time.Time {
	if !i.draining || i.drainDone {
		return time.Time{}
	}
	return i.drainUntil
}
