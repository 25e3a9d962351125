package instance

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// ReasonDraining is the reason of a Ready command while the instance drains.
const ReasonDraining = "draining"

// retryAfterStart is what callers are told while the instance starts or drains.
const retryAfterStart = time.Second

// readiness is whether the instance takes traffic, as last reported.
type readiness struct {
	reported bool
	ready    bool
	reason   string
}

// admit lets a caller's request in, or refuses it as not run while the
// instance starts or has drained. In the first moments of a drain the gateway
// still relays to other owners: the balancer has not noticed yet.
func (i *Instance) admit(now time.Time, in *inputs, ev structs.Event) {
	reason := structs.ReasonNone
	switch {
	case i.draining && !now.Before(i.drainUntil):
		reason = structs.ReasonDraining
	case !i.draining && !i.ready.ready:
		reason = structs.ReasonStarting
	}
	if reason == structs.ReasonNone {
		in.gateway = append(in.gateway, ev)
		return
	}
	switch ev := ev.(type) {
	case structs.CallerSubmit:
		in.replies = append(in.replies, structs.ReplyOutcome{Request: ev.Request, Outcome: ev.Call.Refusal(reason, retryAfterStart)})
	case structs.CallerProgram:
		out := structs.Outcome{Kind: structs.OutcomeNotRun, Reason: reason, RetryAfter: retryAfterStart}
		in.replies = append(in.replies, structs.ReplyProgram{Request: ev.Request, Outcome: out})
	}
}

// checkReady reports a change of readiness. An instance takes no traffic before
// it has caught up with the settings and seen a membership list: with older
// settings it would bring back values that were replaced.
func (i *Instance) checkReady() {
	now := readiness{reported: true, ready: true}
	switch {
	case i.draining:
		now = readiness{reported: true, reason: ReasonDraining}
	case !i.proposer.CaughtUp():
		now = readiness{reported: true, reason: "settings not caught up"}
	case !i.view.Listed():
		now = readiness{reported: true, reason: "no membership list yet"}
	}
	if now == i.ready {
		return
	}
	i.ready = now
	i.out = append(i.out, structs.Ready{Ready: now.ready, Reason: now.reason})
}

// startDrain tells the peers, so that they send no new work, and lets what is
// in flight end.
func (i *Instance) startDrain(now time.Time, in *inputs, ev structs.Event) {
	if i.draining {
		return
	}
	i.draining = true
	i.drainUntil = now.Add(i.cfg.DrainDelay)
	in.all(ev)
	for _, p := range i.view.Peers() {
		if p.ID == i.cfg.Self.ID {
			continue
		}
		in.replies = append(in.replies, structs.SendPeer{To: p.ID, Msg: &structs.Leaving{}})
	}
}

func (i *Instance) checkDrained(now time.Time) {
	if !i.draining || i.drainDone || now.Before(i.drainUntil) {
		return
	}
	if i.gateway.InFlight() > 0 || i.owner.InFlight() > 0 || i.dispatch.Waiting() > 0 {
		return
	}
	i.drainDone = true
	i.out = append(i.out, structs.DrainDone{})
}
