package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/internal/delay"
)

// Suffixes of the bodies of requests that end the target that runs them.
const (
	endsAtOnce = " ends its target at once"
	endsMidway = " ends its target midway"
	// endsSilently: the target sends nothing more and accepts no connections.
	endsSilently = " ends its target silently"
	// endsLater: the target ends some time after it received the request, also if that
	// was cancelled meanwhile.
	endsLater = " ends its target later"
)

// endsLaterDelay is the time from such a request until its target ends.
const endsLaterDelay = 100 * time.Millisecond

const (
	// maxDeadlyPause bounds the pause between two requests that end targets.
	maxDeadlyPause = 3 * time.Second
	// deadlyTries is the number of tries of such a request.
	deadlyTries = 6
	// deadlyPatience is how long its caller waits for the next event.
	deadlyPatience = 600 * time.Millisecond
	// deadlyLeaveTime is how long the caller of a target that ends later waits.
	deadlyLeaveTime = endsLaterDelay * 6 / 10
	// maxEndedTargets is the number of targets that may end under one request.
	maxEndedTargets = 3
	// targetsPerInstance replaces the usual number of targets of each service while
	// requests end them.
	targetsPerInstance = 4
)

// endsTarget reports whether a request ends the target that runs it, and whether that
// goes silent.
func endsTarget(body, suffix string) bool { return strings.HasSuffix(body, suffix) }

// isDeadly reports whether a request ends the target that runs it.
func isDeadly(body string) bool {
	return endsTarget(body, endsAtOnce) || endsTarget(body, endsMidway) || endsTarget(body, endsSilently) || endsTarget(body, endsLater)
}

// runDeadlyRequests sends requests that end targets until the context ends, each again and
// again through random instances.
func (d *deployment) runDeadlyRequests(ctx context.Context, rng *rand.Rand) {
	for number := 0; ctx.Err() == nil; number++ {
		delay.Sleep(ctx, time.Duration(rng.Int64N(int64(maxDeadlyPause))))
		suffix := []string{endsAtOnce, endsMidway, endsSilently}[rng.IntN(3)]
		program := fmt.Sprintf("deadly%d-%x", number, rng.Uint64())
		const budget = 100 * maxTurnTokens
		d.history.recordProgram(program, budget)
		req := newTurn(program, budget, eventsPerTurn, rng.Uint64())
		if rng.IntN(3) == 0 && suffix != endsMidway {
			req = request{kind: safe, path: "/safe/x", program: program, body: program}
		}
		patience := deadlyPatience
		if d.options.LateEnds && rng.IntN(2) == 0 {
			suffix, patience = endsLater, deadlyLeaveTime
		}
		req.body += suffix
		d.sendDeadly(ctx, req, rng.Uint64(), patience)
	}
}

// sendDeadly sends a request until it is refused for good. The caller leaves each try after
// its patience.
func (d *deployment) sendDeadly(ctx context.Context, req request, seed uint64, patience time.Duration) {
	c := d.newCaller(seed)
	defer c.transport.CloseIdleConnections()
	for range deadlyTries {
		tryCtx, cancel := context.WithTimeout(ctx, patience)
		a := c.send(tryCtx, req)
		cancel()
		if a.status == http.StatusBadRequest || ctx.Err() != nil {
			return
		}
		req = req.afterFailureOf(a)
		c.switchInstance()
		delay.Sleep(ctx, time.Duration(c.rng.IntN(300))*time.Millisecond)
	}
}

// endMidRun ends the target if the request does that at this point. It does not return
// then.
func (t *target) endMidRun(r *http.Request, exec *run, suffixes ...string) {
	for _, suffix := range suffixes {
		if !endsTarget(exec.body, suffix) {
			continue
		}
		t.history.recordTargetEnd(exec)
		t.silent.Store(suffix == endsSilently)
		t.ended(t, suffix == endsSilently)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// endLater ends the target some time after it received the request, if the request does
// that. It returns when the sender has left or the target has ended.
func (t *target) endLater(r *http.Request, exec *run) {
	if !endsTarget(exec.body, endsLater) {
		return
	}
	ended := make(chan struct{})
	time.AfterFunc(endsLaterDelay, func() {
		defer close(ended)
		t.history.recordTargetEnd(exec)
		t.ended(t, false)
	})
	select {
	case <-r.Context().Done():
	case <-ended:
	}
	panic(http.ErrAbortHandler)
}

// endTarget ends a target and replaces it, after a request has ended it.
func (d *deployment) endTarget(t *target, silently bool) {
	if silently {
		_ = t.listener.Close() // its connections stay open
	} else {
		t.stop()
	}
	d.ending.Go(func() { _ = d.replaceEnded(t) }) // the checks find what is missing
}

// work identifies what an attempt asks for over all attempts.
func (a *attempt) work() string { return fmt.Sprint(a.program, a.kind, a.previous, a.body) }

// recordTargetEnd records that a target ends under a run.
func (h *history) recordTargetEnd(r *run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.endedTarget = true
}

// recordAllKilled records that all instances were killed at once.
func (h *history) recordAllKilled() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.allKilled = append(h.allKilled, time.Now())
}

// checkEnds checks how many targets ended under each request, and that a request refused
// for good has met as many that ended.
func (h *history) checkEnds() []violation {
	runs, unanswered := make(map[string][]*run), make(map[string][]*target)
	refused := make(map[string]*attempt)
	for _, a := range h.attempts {
		runs[a.work()] = append(runs[a.work()], h.runs[a.id]...)
		unanswered[a.work()] = append(unanswered[a.work()], h.unanswered[a.id]...)
		if a.status == http.StatusBadRequest {
			refused[a.work()] = a
		}
	}
	var found []violation
	for work, all := range runs {
		ended := h.targetsEnded(all)
		if len(ended) > maxEndedTargets && len(ended) > h.allowedEnds(all) {
			found = append(found, violated(invariantEnds, "%v ended under %s", ended, work)...)
		}
	}
	for work, a := range refused {
		if lost := h.targetsLost(runs[work], unanswered[work]); lost < maxEndedTargets {
			found = append(found, violated(invariantRefusal, "%s (%s) was refused after %d targets ended", a.id, work, lost)...)
		}
	}
	return found
}

// targetsEnded lists the targets that runs have ended.
func (h *history) targetsEnded(runs []*run) []string {
	var ended []string
	for _, r := range runs {
		if r.endedTarget && !slices.Contains(ended, r.target.id) {
			ended = append(ended, r.target.id)
		}
	}
	return ended
}

// targetsLost counts the targets of runs that have ended for any reason, and those that
// did not answer: an instance cannot tell whether a target went silent before or after it
// received the request.
func (h *history) targetsLost(runs []*run, unanswered []*target) int {
	lost := make(map[string]bool)
	for _, r := range runs {
		if r.target.stopped.Load() || r.target.silent.Load() {
			lost[r.target.id] = true
		}
	}
	for _, t := range unanswered {
		lost[t.id] = true
	}
	return len(lost)
}

// allowedEnds returns the number of targets that may end under the runs of one request.
// Others cannot know of the first run of an instance that is killed under it, nor of any
// after all instances were killed at once.
func (h *history) allowedEnds(runs []*run) int {
	allowed := maxEndedTargets
	byStart := func(a, b *run) int { return a.start.Compare(b.start) }
	first, last := slices.MinFunc(runs, byStart), slices.MaxFunc(runs, byStart)
	if h.attemptsByID[first.request].incarnation.killed() {
		allowed++
	}
	for _, at := range h.allKilled {
		if at.After(first.start) && at.Before(last.start) {
			allowed += maxEndedTargets
		}
	}
	return allowed
}

// deadly counts the requests that end targets, the targets that ended under them, and
// other requests that were refused for good.
func (h *history) deadly() (requests, ended, innocent int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	works := make(map[string]bool)
	for _, a := range h.attempts {
		switch {
		case isDeadly(a.body):
			works[a.work()] = true
			ended += len(h.targetsEnded(h.runs[a.id]))
		case a.status == http.StatusBadRequest:
			innocent++
		}
	}
	return len(works), ended, innocent
}
