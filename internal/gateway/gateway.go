// Package gateway routes callers' requests to the owners of their programs. It
// finds the owner of a program's shard, hands the call over, relays the reply,
// and hands the call to another owner if the first one fails. Its state is
// volatile.
//
// Each request gets exactly one final reply. "Not run" is returned only if every
// instance that was sent the call confirmed that it did not take it; otherwise
// the caller gets the owner's outcome or "outcome unknown".
package gateway

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// deadlineGrace is how long after a caller's deadline the gateway waits
	// for the owner's outcome, which is more specific than its own.
	deadlineGrace = 250 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the time between two searches for
	// an owner.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxSearchTime is how long the gateway searches for an owner before it
	// fails the request.
	maxSearchTime = 8 * time.Second
	// noOwnerRetryAfter is the RetryAfter delay if no owner was found.
	noOwnerRetryAfter = 2 * time.Second
)

// Gateway holds the requests in flight at this instance. It is not safe for
// concurrent use.
type Gateway struct {
	cfg     structs.InstanceConfig
	members structs.Members
	pending map[structs.RequestID]*pending
	fanouts map[structs.RequestID]*fanout
	// owners holds, by shard, the instance that last answered a call.
	owners map[structs.ShardRef]structs.InstanceID
	// nextTimer is a lower bound of the timers of the pending requests, zero if
	// there are none. A tick before it skips the scan of pending.
	nextTimer time.Time
	// cmds collects the commands of the current tick.
	cmds []structs.Command
}

// New returns an empty gateway.
func New(cfg structs.InstanceConfig, members structs.Members) *Gateway {
	return &Gateway{
		cfg:     cfg,
		members: members,
		pending: map[structs.RequestID]*pending{},
		fanouts: map[structs.RequestID]*fanout{},
		owners:  map[structs.ShardRef]structs.InstanceID{},
	}
}

// InFlight returns the number of requests that have no final reply yet.
func (g *Gateway) InFlight() int { return len(g.pending) + len(g.fanouts) }

// Tick applies events, runs the due timers and returns the resulting commands.
func (g *Gateway) Tick(now time.Time, events []structs.Event) []structs.Command {
	g.cmds = nil
	for _, ev := range events {
		g.apply(now, ev)
	}
	g.runTimers(now)
	return g.cmds
}

// NextWake returns the time of the earliest timer, zero if there is none.
func (g *Gateway) NextWake() time.Time {
	next := g.nextTimer
	for _, f := range g.fanouts {
		next = earliest(next, f.deadline)
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
		g.handleSubmit(now, ev)
	case structs.CallerProgram:
		g.handleProgram(now, ev)
	case structs.CallerPrograms:
		g.queryPrograms(now, ev)
	case structs.SettingsApplied:
		g.queryApplied(now, ev)
	case structs.CallerDisconnected:
		g.handleCallerDisconnected(ev.Request)
	case structs.PeerDown:
		g.handlePeerDown(now, ev.Peer)
	case structs.PeerMessage:
		g.handleMessage(now, ev)
	}
}

func (g *Gateway) handleMessage(now time.Time, ev structs.PeerMessage) {
	switch msg := ev.Msg.(type) {
	case *structs.SubmitAccepted:
		g.handleAccepted(ev.From, msg.Request)
	case *structs.CallChunk:
		g.handleChunk(ev.From, msg)
	case *structs.CallEnd:
		g.handleCallEnd(now, ev.From, msg)
	case *structs.ProgramReply:
		g.handleProgramReply(ev.From, msg)
	case *structs.NotOwner:
		g.handleNotOwner(now, ev.From, msg)
	case *structs.ProgramsReply:
		g.handleProgramsReply(ev.From, msg)
	case *structs.AppliedReply:
		g.handleAppliedReply(ev.From, msg)
	}
}

func (g *Gateway) emit(cmd structs.Command) { g.cmds = append(g.cmds, cmd) }

// runTimers runs the due timers in order of request id, which keeps the output
// deterministic.
func (g *Gateway) runTimers(now time.Time) {
	g.runFanoutTimers(now)
	if g.nextTimer.IsZero() || g.nextTimer.After(now) {
		return
	}
	for _, id := range g.dueRequests(now) {
		g.runPendingTimer(now, g.pending[id])
	}
	g.nextTimer = time.Time{}
	for _, p := range g.pending {
		g.scheduleTimer(p.nextTimer())
	}
}

// dueRequests returns the requests with a due timer in order of id.
func (g *Gateway) dueRequests(now time.Time) []structs.RequestID {
	var due []structs.RequestID
	for id, p := range g.pending {
		if !p.nextTimer().After(now) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// scheduleTimer lowers nextTimer to at if at is earlier.
func (g *Gateway) scheduleTimer(at time.Time) { g.nextTimer = earliest(g.nextTimer, at) }
