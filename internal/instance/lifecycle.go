package instance

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// ReasonDraining is the reason in the Ready command of a draining instance.
const ReasonDraining = "draining"

// notReadyRetryAfter is the RetryAfter of requests rejected while the instance
// starts or drains.
const notReadyRetryAfter = time.Second

// readiness is the last reported readiness of the instance.
type readiness struct {
	reported bool
	ready    bool
	reason   string
}

// admit passes a caller's request to the gateway, or rejects it as not run while
// the instance starts or after the drain delay. During the drain delay requests
// are still relayed, because the load balancer may not have removed the
// instance yet.
func (i *Instance) admit(now time.Time, in *inputs, ev structs.Event) {
	reason := structs.ReasonNone
	switch {
	case i.draining && !now.Before(i.drainAt):
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
		in.commands = append(in.commands, structs.ReplyOutcome{Request: ev.Request, Outcome: ev.Call.Refusal(reason, notReadyRetryAfter)})
	case structs.CallerProgram:
		out := structs.Outcome{Kind: structs.OutcomeNotRun, Reason: reason, RetryAfter: notReadyRetryAfter}
		in.commands = append(in.commands, structs.ReplyProgram{Request: ev.Request, Outcome: out})
	}
}

// checkReady reports a change of readiness. An instance accepts no traffic until
// it has caught up with the settings stream and received a membership list;
// otherwise it could act on settings that have been replaced.
func (i *Instance) checkReady() {
	current := readiness{reported: true, ready: true}
	switch {
	case i.draining:
		current = readiness{reported: true, reason: ReasonDraining}
	case !i.proposer.CaughtUp():
		current = readiness{reported: true, reason: "settings not caught up"}
	case !i.view.ListReceived():
		current = readiness{reported: true, reason: "no membership list yet"}
	}
	if current == i.ready {
		return
	}
	i.ready = current
	i.commands = append(i.commands, structs.Ready{Ready: current.ready, Reason: current.reason})
}

// startDrain announces the drain to the peers, so that they send no new work.
// Work in flight completes.
func (i *Instance) startDrain(now time.Time, in *inputs, ev structs.Event) {
	if i.draining {
		return
	}
	i.draining = true
	i.drainAt = now.Add(i.cfg.DrainDelay)
	in.broadcast(ev)
	for _, p := range i.view.Peers() {
		if p.ID == i.cfg.Self.ID {
			continue
		}
		in.commands = append(in.commands, structs.SendPeer{To: p.ID, Msg: &structs.Leaving{}})
	}
}

func (i *Instance) checkDrained(now time.Time) {
	if !i.draining || i.drainDone || now.Before(i.drainAt) {
		return
	}
	if i.gateway.InFlight() > 0 || i.owner.InFlight() > 0 || i.dispatch.Waiting() > 0 {
		return
	}
	i.drainDone = true
	i.commands = append(i.commands, structs.DrainDone{})
}
