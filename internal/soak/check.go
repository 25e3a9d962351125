package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// violation is a promise that was broken.
type violation struct {
	invariant string
	detail    string
}

func (v violation) String() string { return v.invariant + ": " + v.detail }

// Promises that are checked.
const (
	invariantOnce        = "a request that must not repeat runs once"
	invariantNotRun      = "a refusal that says 'not run' is true"
	invariantComplete    = "an answer is one target's whole answer to this request"
	invariantOrder       = "the events of a stream are in order, each once"
	invariantBudget      = "a program gets its budget and the most of one turn at the most"
	invariantTargets     = "an attempt runs at as many targets as its route allows"
	invariantSent        = "a target runs what a caller sent"
	invariantSettings    = "settings never get older in one life of an instance"
	invariantShutdown    = "a shutdown cuts no request"
	invariantStoredTurns = "a turn whose end was seen can be continued for its retention"
	invariantNoCrash     = "no instance ends by itself"
	invariantEntries     = "only what a target wrote of itself names a target to use"
	invariantKeys        = "a target runs what a key lets in, told its organisation and not the key"
	invariantLimits      = "an organisation stays within its limit, over all instances"
)

// check finds the promises that a history breaks.
func check(h *history) []violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []violation
	for _, a := range h.attempts {
		found = append(found, h.checkAttempt(a)...)
	}
	for _, inc := range h.crashed {
		found = append(found, violated(invariantNoCrash, "%s; the end of its log:\n%s", inc.instance.name, inc.process.Log())...)
	}
	for _, s := range h.misrouted {
		found = append(found, violated(invariantEntries, "request %s", s)...)
	}
	found = append(found, h.checkRuns()...)
	found = append(found, h.checkBudgets()...)
	found = append(found, h.checkOrganisations()...)
	return append(found, h.checkSettings()...)
}

func violated(invariant, format string, args ...any) []violation {
	return []violation{{invariant, fmt.Sprintf(format, args...)}}
}

// checkAttempt judges one attempt that has ended.
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
	case !inOrder(a.events):
		return violated(invariantOrder, "%s received events %v", a.id, a.events)
	}
	if at, ok := a.incarnation.cleanShutdown(); ok && a.aborted && !a.cancelled && a.end.After(at) && ranCleanly(runs) && !a.timedOut() {
		return violated(invariantShutdown, "%s was cut %s after SIGTERM of %s", a.id, a.end.Sub(at), a.incarnation.instance.name)
	}
	if a.complete && a.status == statusOK {
		return checkComplete(a, runs)
	}
	return nil
}

// timedOut tells whether an attempt was cut at its route's timeout: the end of a
// kept turn waits that long for a store that takes no records.
func (a *attempt) timedOut() bool { return a.end.Sub(a.start) >= routeTimeout }

// claimsNotRun tells whether an answer promises that the request does not run.
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

// countTargets counts the targets that ran an attempt and have not ended.
func (h *history) countTargets(a *attempt) int {
	var ids []string
	for _, r := range h.runs[a.id] {
		if !r.target.stopped.Load() && !slices.Contains(ids, r.target.id) {
			ids = append(ids, r.target.id)
		}
	}
	return len(ids)
}

// ranCleanly tells whether a target that is still there ran the request and did
// not break off.
func ranCleanly(runs []*run) bool {
	for _, r := range runs {
		if r.faulted || r.target.stopped.Load() {
			return false
		}
	}
	return len(runs) > 0
}

func inOrder(events []int) bool {
	for i, n := range events {
		if n != i+1 {
			return false
		}
	}
	return true
}

// checkComplete judges an answer that looked complete.
func checkComplete(a *attempt, runs []*run) []violation {
	signed := false
	for _, r := range runs {
		signed = signed || a.signature == r.target.id+"."+a.id
	}
	switch {
	case !signed:
		return violated(invariantComplete, "%s got an answer signed %q", a.id, a.signature)
	case a.kind != turn && a.received != responseBody(a.id, a.body):
		return violated(invariantComplete, "%s received %q", a.id, a.received)
	case a.kind == turn && len(a.events) != eventCount(a.body):
		return violated(invariantComplete, "%s ended after %d of %d events", a.id, len(a.events), eventCount(a.body))
	case a.kind == turn && a.received != a.body:
		return violated(invariantComplete, "%s received events of %q", a.id, a.received)
	}
	return nil
}

// checkRuns judges what targets ran.
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

// matchesSent tells whether a target was sent what the caller asked: the body, with
// the conversation before it if the system keeps that.
func (h *history) matchesSent(a *attempt, body string) bool {
	if !a.stored {
		return body == a.body
	}
	_, input, ok := h.conversation(a.id)
	return ok && body == input
}

// mustFindPrevious tells whether the turn that an attempt names had ended, for its
// caller, before the attempt began, and may still be named.
func (h *history) mustFindPrevious(a *attempt) bool {
	named, ok := h.attemptsByID[a.previous]
	return ok && named.organisation == a.organisation && named.served() && named.end.Before(a.start) && a.end.Sub(named.end) < retention
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

// rollbackTolerance is how long after a version was seen an older one may still
// answer: requests that were under way.
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
