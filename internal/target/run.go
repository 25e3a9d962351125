package target

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// activeRun is a run in flight.
type activeRun struct {
	id     structs.RunID
	target structs.TargetID
	ctx    context.Context
	cancel context.CancelCauseFunc
	// gate guards the send. It is nil for a resumed run.
	gate    *gate
	started time.Time
	// firstToken is the time from the send to the first piece, 0 before that.
	firstToken time.Duration
}

// sentAt returns the time when the request was sent, or else when the run started.
func (r *activeRun) sentAt() time.Time {
	if r.gate == nil {
		return r.started
	}
	if at, sent := r.gate.sentTime(); sent {
		return at
	}
	return r.started
}

// result is the result of a run.
type result struct {
	failure structs.RunFailure
	outcome structs.Outcome
	detail  string
}

// failed returns the result of a run that ended with an error.
func (r *activeRun) failed(err error) result {
	detail := err.Error()
	if r.gate != nil {
		if _, sent := r.gate.revoke(); !sent {
			return result{failure: structs.RunNotSent, detail: r.notSentDetail(detail)}
		}
	}
	switch cause := context.Cause(r.ctx); {
	case errors.Is(cause, errCancelled):
		return result{failure: structs.RunCancelled, detail: cause.Error()}
	case errors.Is(cause, errTimeout):
		return result{failure: structs.RunTimeout, detail: cause.Error()}
	}
	return result{failure: structs.RunBroken, detail: detail}
}

func (r *activeRun) notSentDetail(detail string) string {
	if r.gate.isExpired() {
		return ErrNotAfterPassed.Error()
	}
	if cause := context.Cause(r.ctx); cause != nil {
		return cause.Error()
	}
	return detail
}

// begin registers a run and executes it on a new goroutine. It ignores a run that
// is already in flight.
func (r *Runner) begin(id structs.RunID, target structs.TargetID, timeout time.Duration, g *gate, execute func(*activeRun) result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	if _, running := r.runs[id]; running {
		r.metrics.runsDuplicate.Inc(1)
		r.logger.Error("run is in flight already", "run", id, "target", target)
		return
	}
	timeout = cmp.Or(timeout, r.cfg.RunTimeout)
	run := &activeRun{id: id, target: target, gate: g, started: r.cfg.Now()}
	if len(r.runs) >= r.cfg.MaxRuns {
		r.spawn(func() { r.deliverEnd(run, run.rejected()) })
		return
	}
	run.ctx, run.cancel = context.WithCancelCause(r.ctx)
	r.runs[id] = run
	r.metrics.runsStarted.Inc(1)
	r.spawn(func() { r.execute(run, timeout, execute) })
}

// rejected returns the result of a run that exceeds Config.MaxRuns.
func (r *activeRun) rejected() result {
	if r.gate == nil {
		return result{failure: structs.RunBroken, detail: errTooManyRuns.Error()}
	}
	return result{failure: structs.RunNotSent, detail: errTooManyRuns.Error()}
}

func (r *Runner) execute(run *activeRun, timeout time.Duration, execute func(*activeRun) result) {
	ctx, stop := context.WithTimeoutCause(run.ctx, timeout, errTimeout)
	defer stop()
	run.ctx = ctx
	ended := execute(run)
	run.cancel(nil)
	r.mu.Lock()
	delete(r.runs, run.id)
	r.mu.Unlock()
	r.deliverEnd(run, ended)
}

// deliverEnd records and delivers the end of a run.
func (r *Runner) deliverEnd(run *activeRun, ended result) {
	took := r.cfg.Now().Sub(run.sentAt())
	r.metrics.runsEnded[ended.failure].Inc(1)
	r.metrics.took.Record(took)
	if ended.failure != structs.RunOK {
		r.logger.Warn("run failed", "run", run.id, "target", run.target,
			"failure", failureNames[ended.failure], "detail", ended.detail)
	}
	r.sink.Deliver(r.ctx, structs.RunEnded{
		Run: run.id, Target: run.target, Failure: ended.failure,
		Outcome: ended.outcome, Detail: ended.detail,
		Took: took, FirstToken: run.firstToken,
	})
}
