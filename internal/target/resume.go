package target

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cenkalti/backoff/v4"
	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// ResumeRun attaches to a chat stream at a piece index. The text of the outcome
// starts at that piece. If the response has tool calls, the stream is read from its
// first piece instead, so that the outcome contains the complete calls, and only
// the pieces from the index on are delivered.
func (r *Runner) ResumeRun(command structs.ResumeRun) {
	r.begin(command.Run, command.Target.ID, command.Timeout, nil, func(run *activeRun) result {
		return r.resume(run, command)
	})
}

func (r *Runner) resume(run *activeRun, command structs.ResumeRun) result {
	s := newChatStream(command.From, command.From, r.cfg.MaxResponseBytes)
	err := r.attach(run, command, s)
	if errors.Is(err, errPartialToolCalls) {
		s = newChatStream(0, s.next, r.cfg.MaxResponseBytes)
		err = r.attach(run, command, s)
	}
	return s.result(run, err)
}

// attach reads a run's stream from index s.from on.
func (r *Runner) attach(run *activeRun, command structs.ResumeRun, s *chatStream) error {
	address := streamURL(command.Target, command.Run) + "?from=" + strconv.Itoa(s.from)
	request, err := http.NewRequestWithContext(run.ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	response, err := r.clients.control.Do(request)
	if err != nil {
		return err
	}
	defer closeBody(response.Body)
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the engine cannot resume the stream: %s", http.StatusText(response.StatusCode))
	}
	return r.follow(run, response.Body, s)
}

func streamURL(target structs.Target, id structs.RunID) string {
	return joinURL(target.Address, wire.StreamsRoute) + "/" + url.PathEscape(string(id))
}

// CancelRun ends a run. If the run is in flight here, its RunEnded follows. For an
// engine it also cancels the stream there, with up to Config.CancelRetries retries.
func (r *Runner) CancelRun(command structs.CancelRun) {
	engine := r.isEngine(command.Target)
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.runs[command.Run]; run != nil {
		run.cancel(errCancelled)
	}
	if engine {
		r.spawn(func() { r.cancelStream(command) })
	}
}

func (r *Runner) cancelStream(command structs.CancelRun) {
	address := streamURL(command.Target, command.Run) + "/cancel"
	policy := backoff.NewExponentialBackOff(backoff.WithInitialInterval(r.cfg.CancelBackoff))
	limited := backoff.WithMaxRetries(policy, r.cfg.CancelRetries)
	err := backoff.Retry(func() error {
		return r.postJSON(address, nil, nil)
	}, backoff.WithContext(limited, r.ctx))
	if err != nil {
		r.metrics.cancelsFailed.Inc(1)
		r.logger.Warn("cancel failed", "run", command.Run, "target", command.Target.ID, "error", err)
	}
}

// QueryOutcome queries a target for the outcome of the request that StartRun sent with
// a program's idempotency key, and delivers the result as OutcomeQueried.
func (r *Runner) QueryOutcome(command structs.QueryOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spawn(func() {
		event := r.queryOutcome(command)
		r.sink.Deliver(r.ctx, event)
	})
}

func (r *Runner) queryOutcome(command structs.QueryOutcome) structs.OutcomeQueried {
	event := structs.OutcomeQueried{Run: command.Run}
	ctx, cancel := context.WithTimeout(r.ctx, r.cfg.ControlTimeout)
	defer cancel()
	sent := structs.Call{Program: command.Program, Key: command.Key}
	key := sent.TargetKey()
	address := joinURL(command.Target.Address, wire.OutcomesRoute) + "/" + url.PathEscape(key)
	status, body, err := r.get(ctx, address)
	if err != nil {
		r.logger.Warn("outcome query failed", "run", command.Run, "target", command.Target.ID, "error", err)
		return event
	}
	if status == http.StatusNotFound {
		event.Reached = true
		return event
	}
	var reply wire.OutcomeReply
	if status != http.StatusOK || json.Unmarshal(body, &reply) != nil || reply.Status == 0 {
		r.logger.Warn("unusable answer about an outcome", "run", command.Run, "target", command.Target.ID, "status", status)
		return event
	}
	event.Reached, event.Found = true, true
	event.Outcome = responseOutcome(reply.Status, reply.ContentType, reply.Body)
	return event
}
