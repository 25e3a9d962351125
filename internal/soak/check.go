package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// violation is a promise that was broken.
type violation struct {
	promise string
	detail  string
}

func (v violation) String() string { return v.promise + ": " + v.detail }

// Promises that are checked.
const (
	promiseOnce     = "a request that must not repeat runs once"
	promiseNotRun   = "a refusal that says 'not run' is true"
	promiseWhole    = "an answer is one target's whole answer to this request"
	promiseOrder    = "the events of a stream are in order, each once"
	promiseBudget   = "a program gets its budget and the most of one turn at the most"
	promiseTargets  = "an attempt runs at as many targets as its route allows"
	promiseUnasked  = "a target runs what a caller sent"
	promiseSettings = "settings never get older in one life of an instance"
	promiseDrain    = "a shutdown cuts no request"
	promiseKept     = "a turn whose end was seen can be continued for its retention"
	promiseAlive    = "no instance ends by itself"
	promiseEntries  = "only what a target wrote of itself names a target to use"
	promiseKeys     = "a target runs what a key lets in, told its organisation and not the key"
	promiseLimits   = "an organisation stays within its limit, over all instances"
)

// check finds the promises that a history breaks.
func check(h *history) []violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []violation
	for _, a := range h.attempts {
		found = append(found, h.checkAttempt(a)...)
	}
	for _, l := range h.alone {
		found = append(found, broken(promiseAlive, "%s; the end of its log:\n%s", l.machine.name, l.process.Log())...)
	}
	for _, s := range h.strays {
		found = append(found, broken(promiseEntries, "request %s", s)...)
	}
	found = append(found, h.checkRuns()...)
	found = append(found, h.checkBudgets()...)
	found = append(found, h.checkOrganisations()...)
	return append(found, h.checkSettings()...)
}

func broken(promise, format string, args ...any) []violation {
	return []violation{{promise, fmt.Sprintf(format, args...)}}
}

// checkAttempt judges one attempt that has ended.
func (h *history) checkAttempt(a *attempt) []violation {
	runs := h.runs[a.id]
	switch {
	case a.status == statusNotFound && h.mustKnow(a):
		return broken(promiseKept, "%s got 404 for turn %s at %s", a.id, a.previous, a.life.machine.name)
	case a.kind == once && len(runs) > 1:
		return broken(promiseOnce, "%s ran %d times", a.id, len(runs))
	case notRun(a) && len(runs) > 0:
		return broken(promiseNotRun, "%s (%s) got %d and ran", a.id, a.kind, a.status)
	case h.targetsOf(a) > allowed(a.kind):
		return broken(promiseTargets, "%s (%s) ran at %d targets", a.id, a.kind, h.targetsOf(a))
	case !inOrder(a.events):
		return broken(promiseOrder, "%s received events %v", a.id, a.events)
	}
	if at, ok := a.life.drained(); ok && a.cut && !a.left && a.end.After(at) && soundRun(runs) && !a.timedOut() {
		return broken(promiseDrain, "%s was cut %s after SIGTERM of %s", a.id, a.end.Sub(at), a.life.machine.name)
	}
	if a.whole && a.status == statusOK {
		return checkWhole(a, runs)
	}
	return nil
}

// timedOut tells whether an attempt was cut at its route's timeout: the end of a
// kept turn waits that long for a store that takes no records.
func (a *attempt) timedOut() bool { return a.end.Sub(a.start) >= routeTimeout }

// notRun tells whether an answer promises that the request does not run.
func notRun(a *attempt) bool {
	if a.status == http.StatusPaymentRequired {
		return true
	}
	refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
	return refused && a.kind == once
}

func allowed(k kind) int {
	if k == safe {
		return maxTargets
	}
	return 1
}

// targetsOf counts the targets that ran an attempt and have not ended.
func (h *history) targetsOf(a *attempt) int {
	var ids []string
	for _, r := range h.runs[a.id] {
		if !r.target.gone.Load() && !slices.Contains(ids, r.target.id) {
			ids = append(ids, r.target.id)
		}
	}
	return len(ids)
}

// soundRun tells whether a target that is still there ran the request and did
// not break off.
func soundRun(runs []*run) bool {
	for _, r := range runs {
		if r.faulty || r.target.gone.Load() {
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

// checkWhole judges an answer that looked complete.
func checkWhole(a *attempt, runs []*run) []violation {
	signed := false
	for _, r := range runs {
		signed = signed || a.signed == r.target.id+"."+a.id
	}
	switch {
	case !signed:
		return broken(promiseWhole, "%s got an answer signed %q", a.id, a.signed)
	case a.kind != turn && a.received != answerOf(a.id, a.body):
		return broken(promiseWhole, "%s received %q", a.id, a.received)
	case a.kind == turn && len(a.events) != eventsOf(a.body):
		return broken(promiseWhole, "%s ended after %d of %d events", a.id, len(a.events), eventsOf(a.body))
	case a.kind == turn && a.received != a.body:
		return broken(promiseWhole, "%s received events of %q", a.id, a.received)
	}
	return nil
}

// checkRuns judges what targets ran.
func (h *history) checkRuns() []violation {
	for id, runs := range h.runs {
		asked, ok := h.known[id]
		for _, r := range runs {
			if !ok || !h.askedFor(asked, r.body) {
				return broken(promiseUnasked, "%s ran with body %q at %s", id, r.body, r.target.id)
			}
		}
	}
	return nil
}

// askedFor tells whether a target was sent what the caller asked: the body, with
// the conversation before it if the system keeps that.
func (h *history) askedFor(a *attempt, body string) bool {
	if !a.kept {
		return body == a.body
	}
	_, input, ok := h.conversation(a.id)
	return ok && body == input
}

// mustKnow tells whether the turn that an attempt names had ended, for its
// caller, before the attempt began, and may still be named.
func (h *history) mustKnow(a *attempt) bool {
	named, ok := h.known[a.previous]
	return ok && named.organisation == a.organisation && named.served() && named.end.Before(a.start) && a.end.Sub(named.end) < retention
}

func (h *history) checkBudgets() []violation {
	received := make(map[string]int)
	for _, a := range h.attempts {
		received[a.program] += a.tokens()
	}
	for program, budget := range h.programs {
		if received[program] > budget+turnMost {
			return broken(promiseBudget, "%s received %d tokens of %d", program, received[program], budget)
		}
	}
	return nil
}

// rollbackSlack is how long after a version was seen an older one may still
// answer: requests that were under way.
const rollbackSlack = 250 * time.Millisecond

func (h *history) checkSettings() []violation {
	type sight struct {
		version int
		at      time.Time
	}
	newest := make(map[*life]sight)
	ordered := slices.Clone(h.probes)
	slices.SortStableFunc(ordered, func(a, b probe) int { return a.start.Compare(b.start) })
	for _, p := range ordered {
		seen, ok := newest[p.life]
		late := ok && p.start.After(seen.at.Add(rollbackSlack))
		_, replaced := h.published[p.version+1]
		switch {
		case late && p.inForce && p.version < seen.version:
			return broken(promiseSettings, "%s served version %d after %d", p.life.machine.name, p.version, seen.version)
		case late && !p.inForce && p.version == seen.version && !replaced:
			return broken(promiseSettings, "%s no longer served version %d", p.life.machine.name, p.version)
		}
		if p.inForce && p.version > seen.version {
			newest[p.life] = sight{p.version, p.end}
		}
	}
	return nil
}
