package target

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// run is one run in flight.
type run struct {
	id     structs.RunID
	target structs.TargetID
	ctx    context.Context
	cancel context.CancelCauseFunc
	// gate guards the send; it is nil for a resumed run.
	gate    *gate
	started time.Time
	// firstToken is the time from the send to the first piece.
	firstToken time.Duration
}

// sentAt is when the request was sent, or when the run started.
func (r *run) sentAt() time.Time {
	if r.gate == nil {
		return r.started
	}
	if at, sent := r.gate.sentTime(); sent {
		return at
	}
	return r.started
}

// result is how a run ended.
type result struct {
	failure structs.RunFailure
	outcome structs.Outcome
	detail  string
}

// failed makes the result of a run that an error ended.
func (r *run) failed(err error) result {
	detail := err.Error()
	if r.gate != nil {
		if _, sent := r.gate.close(); !sent {
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

func (r *run) notSentDetail(detail string) string {
	if r.gate.isExpired() {
		return ErrNotAfterPassed.Error()
	}
	if cause := context.Cause(r.ctx); cause != nil {
		return cause.Error()
	}
	return detail
}

// begin registers a run and executes it. A run that is in flight already is not
// begun again.
func (r *Runner) begin(id structs.RunID, target structs.TargetID, timeout time.Duration, g *gate, execute func(*run) result) {
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
	one := &run{id: id, target: target, gate: g, started: r.cfg.Now()}
	if len(r.runs) >= r.cfg.MaxRuns {
		r.spawn(func() { r.deliverEnd(one, one.rejected()) })
		return
	}
	one.ctx, one.cancel = context.WithCancelCause(r.ctx)
	r.runs[id] = one
	r.metrics.runsStarted.Inc(1)
	r.spawn(func() { r.execute(one, timeout, execute) })
}

// rejected is the result of a run that was one too many.
func (r *run) rejected() result {
	if r.gate == nil {
		return result{failure: structs.RunBroken, detail: errTooManyRuns.Error()}
	}
	return result{failure: structs.RunNotSent, detail: errTooManyRuns.Error()}
}

func (r *Runner) execute(one *run, timeout time.Duration, execute func(*run) result) {
	ctx, stop := context.WithTimeoutCause(one.ctx, timeout, errTimeout)
	defer stop()
	one.ctx = ctx
	ended := execute(one)
	one.cancel(nil)
	r.mu.Lock()
	delete(r.runs, one.id)
	r.mu.Unlock()
	r.deliverEnd(one, ended)
}

// deliverEnd reports the end of a run.
func (r *Runner) deliverEnd(one *run, ended result) {
	took := r.cfg.Now().Sub(one.sentAt())
	r.metrics.runsEnded[ended.failure].Inc(1)
	r.metrics.took.Record(took)
	if ended.failure != structs.RunOK {
		r.logger.Warn("run failed", "run", one.id, "target", one.target,
			"failure", failureNames[ended.failure], "detail", ended.detail)
	}
	r.sink.Deliver(r.ctx, structs.RunEnded{
		Run: one.id, Target: one.target, Failure: ended.failure,
		Outcome: ended.outcome, Detail: ended.detail,
		Took: took, FirstToken: one.firstToken,
	})
}
