package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// violation is a violated invariant.
type violation struct {
	invariant string
	detail    string
}

func (v violation) String() string { return v.invariant + ": " + v.detail }

// Invariants.
const (
	invariantOnce        = "a request that must not be repeated runs at most once"
	invariantNotRun      = "a request refused as not run does not run"
	invariantComplete    = "an answer is the complete answer of one target to this request"
	invariantOrder       = "the events of a stream arrive in order, each once"
	invariantVersion     = "a stream has events of one software version"
	invariantBudget      = "a program receives at most its budget and the maximum of one turn"
	invariantTargets     = "an attempt runs at no more targets than its route allows"
	invariantSent        = "a target runs only what a caller sent"
	invariantSettings    = "settings never revert to an older version within one incarnation of an instance"
	invariantShutdown    = "a graceful shutdown aborts no request"
	invariantStoredTurns = "a turn whose end was seen can be continued for its retention"
	invariantNoCrash     = "no instance exits by itself"
	invariantEntries     = "only entries that a target wrote itself are used"
	invariantKeys        = "a target runs only requests with a valid key, and receives their organisation but not the key"
	invariantEnds        = "at most three targets end under a request over all of its attempts"
	invariantRefusal     = "a request is refused for good only after three targets ended under it"
	invariantLimits      = "an organisation stays within its limit over all instances"
)

// check returns the violations in a history.
func check(h *history) []violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []violation
	for _, a := range h.attempts {
		found = append(found, h.checkAttempt(a)...)
	}
	for _, inc := range h.crashed {
		found = append(found, violated(invariantNoCrash, "%s exited; the end of its log:\n%s", inc.instance.name, inc.process.Log())...)
	}
	for _, s := range h.misrouted {
		found = append(found, violated(invariantEntries, "request %s", s)...)
	}
	found = append(found, h.checkRuns()...)
	found = append(found, h.checkVersions()...)
	found = append(found, h.checkBudgets()...)
	found = append(found, h.checkEnds()...)
	found = append(found, h.checkOrganisations()...)
	return append(found, h.checkSettings()...)
}

func violated(invariant, format string, args ...any) []violation {
	return []violation{{invariant, fmt.Sprintf(format, args...)}}
}

// checkAttempt checks one attempt that has ended.
func (h *history) checkAttempt(a *attempt) []violation {
	runs := h.runs[a.id]
	switch {
	case a.status == statusNotFound && h.mustFindPrevious(a):
		return violated(invariantStoredTurns, "%s got 404 for turn %s at %s", a.id, a.previous, a.incarnation.instance.name)
	case a.kind == once && len(runs) > 1:
		return violated(invariantOnce, "%s ran %d times", a.id, len(runs))
	case claimsNotRun(a) && len(runs) > 0:
		return violated(invariantNotRun, "%s (%s) got %d and ran", a.id, a.kind, a.status)
	case h.countTargets(a) > maxTargetsOf(a.kind):
		return violated(invariantTargets, "%s (%s) ran at %d targets", a.id, a.kind, h.countTargets(a))
	case !inOrder(a.events, a.after):
		return violated(invariantOrder, "%s received events %v", a.id, a.events)
	}
	at, ok := a.incarnation.cleanShutdown()
	if ok && a.aborted && !a.cancelled && a.end.After(at) && ranCleanly(runs) && !a.timedOut() &&
		a.end.Before(a.incarnation.instance.requestsMayBeCut(at)) {
		return violated(invariantShutdown, "%s was aborted %s after SIGTERM of %s", a.id, a.end.Sub(at), a.incarnation.instance.name)
	}
	if a.complete && a.status == statusOK {
		return checkComplete(a, runs)
	}
	return nil
}

// timedOut reports whether an attempt lasted until its route's timeout. The end of a
// stored turn waits that long if the store accepts no records.
func (a *attempt) timedOut() bool { return a.end.Sub(a.start) >= routeTimeout }

// claimsNotRun reports whether the response guarantees that the request does not run.
func claimsNotRun(a *attempt) bool {
	if a.status == http.StatusPaymentRequired {
		return true
	}
	refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
	return refused && a.kind == once
}

func maxTargetsOf(k kind) int {
	if k == safe {
		return maxTargets
	}
	return 1
}

// countTargets counts the targets that ran an attempt and have not been stopped.
func (h *history) countTargets(a *attempt) int {
	var ids []string
	for _, r := range h.runs[a.id] {
		if !r.target.stopped.Load() && !slices.Contains(ids, r.target.id) {
			ids = append(ids, r.target.id)
		}
	}
	return len(ids)
}

// ranCleanly reports whether the request ran, and only at targets that neither
// injected a fault into it nor have been stopped.
func ranCleanly(runs []*run) bool {
	for _, r := range runs {
		if r.faulted || r.target.stopped.Load() {
			return false
		}
	}
	return len(runs) > 0
}

func inOrder(events []int, after int) bool {
	for i, n := range events {
		if n != after+i+1 {
			return false
		}
	}
	return true
}

// checkComplete checks a response that the caller received in full.
func checkComplete(a *attempt, runs []*run) []violation {
	signed := false
	for _, r := range runs {
		signed = signed || a.signature == r.target.id+"."+a.id
	}
	switch {
	case !signed:
		return violated(invariantComplete, "%s received an answer with signature %q", a.id, a.signature)
	case a.kind != turn && a.received != responseBody(a.id, a.body):
		return violated(invariantComplete, "%s received %q", a.id, a.received)
	case a.kind == turn && a.after+len(a.events) != eventCount(a.body):
		return violated(invariantComplete, "%s ended after %d of %d events", a.id, a.after+len(a.events), eventCount(a.body))
	case a.kind == turn && len(a.events) > 0 && a.received != a.body:
		return violated(invariantComplete, "%s received events of %q", a.id, a.received)
	}
	return nil
}

// checkRuns checks that targets ran only requests that were sent.
func (h *history) checkRuns() []violation {
	for id, runs := range h.runs {
		sent, ok := h.attemptsByID[id]
		for _, r := range runs {
			if !ok || !h.matchesSent(sent, r.body) {
				return violated(invariantSent, "%s ran with body %q at %s", id, r.body, r.target.id)
			}
		}
	}
	return nil
}

// matchesSent reports whether the body at the target is the one that the caller sent,
// preceded by the conversation so far for a stored turn.
func (h *history) matchesSent(a *attempt, body string) bool {
	if !a.stored {
		return body == a.body
	}
	_, input, ok := h.conversation(a.id)
	return ok && body == input
}

// mustFindPrevious reports whether the previous turn named by an attempt was served
// before the attempt started and is within its retention.
func (h *history) mustFindPrevious(a *attempt) bool {
	previous, ok := h.attemptsByID[a.previous]
	return ok && previous.organisation == a.organisation && previous.served() && previous.end.Before(a.start) && a.end.Sub(previous.end) < retention
}

func (h *history) checkBudgets() []violation {
	received := make(map[string]int)
	for _, a := range h.attempts {
		received[a.program] += a.tokens()
	}
	for program, budget := range h.programs {
		if received[program] > budget+maxTurnTokens {
			return violated(invariantBudget, "%s received %d tokens of %d", program, received[program], budget)
		}
	}
	return nil
}

// rollbackTolerance is how long after a version was observed an older one may still
// be, because of requests in flight.
const rollbackTolerance = 250 * time.Millisecond

func (h *history) checkSettings() []violation {
	type observation struct {
		version int
		at      time.Time
	}
	latest := make(map[*incarnation]observation)
	ordered := slices.Clone(h.probes)
	slices.SortStableFunc(ordered, func(a, b probe) int { return a.start.Compare(b.start) })
	for _, p := range ordered {
		seen, ok := latest[p.incarnation]
		settled := ok && p.start.After(seen.at.Add(rollbackTolerance))
		_, replaced := h.published[p.version+1]
		switch {
		case settled && p.inForce && p.version < seen.version:
			return violated(invariantSettings, "%s served version %d after %d", p.incarnation.instance.name, p.version, seen.version)
		case settled && !p.inForce && p.version == seen.version && !replaced:
			return violated(invariantSettings, "%s no longer served version %d", p.incarnation.instance.name, p.version)
		}
		if p.inForce && p.version > seen.version {
			latest[p.incarnation] = observation{p.version, p.end}
		}
	}
	return nil
}
