// Package gateway is the part of an instance that callers meet: it finds the
// owner of a program's shard, hands the call over, relays the answer and hands
// the call over again when the owner is lost. It keeps nothing that must last.
//
// It answers each request exactly once. "Not run" is answered only when every
// owner that was sent the call said that it did not take it; otherwise the
// owner's own word or "outcome unknown" is answered.
package gateway

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// endGrace is how long after a caller's deadline the gateway waits for
	// the owner's own final word, which tells more than the gateway knows.
	endGrace = 250 * time.Millisecond
	// retryMin and retryMax bound the time between two searches for an owner.
	retryMin = 20 * time.Millisecond
	retryMax = 500 * time.Millisecond
	// searchLimit is how long a gateway looks for an owner to take a call
	// before it gives up.
	searchLimit = 8 * time.Second
	// retryAfterSearch is what a caller is told when no owner was found.
	retryAfterSearch = 2 * time.Second
)

// Gateway is the table of the requests under way at this instance.
type Gateway struct {
	cfg     structs.InstanceConfig
	members structs.Members
	pending map[structs.RequestID]*pending
	gathers map[structs.RequestID]*gather
	// owners remembers who took a request of a shard last.
	owners map[structs.ShardRef]structs.InstanceID
	// wake is a lower bound of the timers of the pending requests, zero if
	// there are none: a tick without a due timer looks at no row.
	wake time.Time
	// cmds collects the commands of the present tick.
	cmds []structs.Command
}

// New returns a gateway without requests.
func New(cfg structs.InstanceConfig, members structs.Members) *Gateway {
	return &Gateway{
		cfg:     cfg,
		members: members,
		pending: map[structs.RequestID]*pending{},
		gathers: map[structs.RequestID]*gather{},
		owners:  map[structs.ShardRef]structs.InstanceID{},
	}
}

// InFlight is the number of callers that wait for an answer.
func (g *Gateway) InFlight() int { return len(g.pending) + len(g.gathers) }

// Tick takes in events and runs the timers that are due.
func (g *Gateway) Tick(now time.Time, events []structs.Event) []structs.Command {
	g.cmds = nil
	for _, ev := range events {
		g.apply(now, ev)
	}
	g.runTimers(now)
	return g.cmds
}

// NextWake gives the earliest timer, zero if there is none.
func (g *Gateway) NextWake() time.Time {
	next := g.wake
	for _, c := range g.gathers {
		next = earliest(next, c.deadline)
	}
	return next
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (g *Gateway) apply(now time.Time, ev structs.Event) {
	switch ev := ev.(type) {
	case structs.CallerSubmit:
		g.submit(now, ev)
	case structs.CallerProgram:
		g.programRequest(now, ev)
	case structs.CallerPrograms:
		g.gatherPrograms(now, ev)
	case structs.SettingsApplied:
		g.gatherApplied(now, ev)
	case structs.CallerDisconnected:
		g.callerGone(ev.Request)
	case structs.PeerDown:
		g.peerDown(now, ev.Peer)
	case structs.PeerMessage:
		g.message(now, ev)
	}
}

func (g *Gateway) message(now time.Time, ev structs.PeerMessage) {
	switch msg := ev.Msg.(type) {
	case *structs.SubmitAccepted:
		g.accepted(ev.From, msg.Request)
	case *structs.CallChunk:
		g.chunk(ev.From, msg)
	case *structs.CallEnd:
		g.callEnd(now, ev.From, msg)
	case *structs.ProgramReply:
		g.programReply(ev.From, msg)
	case *structs.NotOwner:
		g.notOwner(now, ev.From, msg)
	case *structs.ProgramsReply:
		g.programsReply(ev.From, msg)
	case *structs.AppliedReply:
		g.appliedReply(ev.From, msg)
	}
}

func (g *Gateway) emit(cmd structs.Command) { g.cmds = append(g.cmds, cmd) }

// runTimers runs in order of request id, so that equal inputs give equal
// outputs.
func (g *Gateway) runTimers(now time.Time) {
	g.gatherTimers(now)
	if g.wake.IsZero() || g.wake.After(now) {
		return
	}
	for _, id := range g.due(now) {
		g.pendingTimer(now, g.pending[id])
	}
	g.wake = time.Time{}
	for _, p := range g.pending {
		g.wakeAt(p.wake())
	}
}

// due lists the requests with a due timer in order of id.
func (g *Gateway) due(now time.Time) []structs.RequestID {
	var due []structs.RequestID
	for id, p := range g.pending {
		if !p.wake().After(now) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// wakeAt keeps the bound of the timers below a new one.
func (g *Gateway) wakeAt(at time.Time) { g.wake = earliest(g.wake, at) }
