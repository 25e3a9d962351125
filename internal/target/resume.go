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

// ResumeRun attaches to a chat stream from a piece index on. The text of the
// outcome begins at that piece, unless the answer has tool calls: then the
// stream is read again from its first piece, so that the outcome holds them
// whole, and only the pieces from the index on are posted.
func (r *Runner) ResumeRun(command structs.ResumeRun) {
	r.begin(command.Run, command.Target.ID, command.Timeout, nil, func(one *run) result {
		return r.resume(one, command)
	})
}

func (r *Runner) resume(one *run, command structs.ResumeRun) result {
	s := newChatStream(command.From, command.From, r.cfg.MaxAnswer)
	err := r.attach(one, command, s)
	if errors.Is(err, errToolsCut) {
		s = newChatStream(0, s.next, r.cfg.MaxAnswer)
		err = r.attach(one, command, s)
	}
	return s.end(one, err)
}

// attach reads a stream of an engine from the stream's first index on.
func (r *Runner) attach(one *run, command structs.ResumeRun, s *chatStream) error {
	address := streamURL(command.Target, command.Run) + "?from=" + strconv.Itoa(s.from)
	request, err := http.NewRequestWithContext(one.ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	reply, err := r.clients.control.Do(request)
	if err != nil {
		return err
	}
	defer closeBody(reply.Body)
	if reply.StatusCode != http.StatusOK {
		return errors.Newf("the engine cannot resume the stream: %s", http.StatusText(reply.StatusCode))
	}
	return r.follow(one, reply.Body, s)
}

func streamURL(target structs.Target, id structs.RunID) string {
	return joinURL(target.Address, wire.StreamsRoute) + "/" + url.PathEscape(string(id))
}

// CancelRun ends a run. If the run is in flight here, its RunEnded follows. An
// engine is told to stop the stream; a failed order is repeated a few times.
func (r *Runner) CancelRun(command structs.CancelRun) {
	engine := r.isEngine(command.Target)
	r.mu.Lock()
	defer r.mu.Unlock()
	if one := r.runs[command.Run]; one != nil {
		one.cancel(errCancelled)
	}
	if engine {
		r.spawn(func() { r.cancelStream(command) })
	}
}

func (r *Runner) cancelStream(command structs.CancelRun) {
	address := streamURL(command.Target, command.Run) + "/cancel"
	waits := backoff.NewExponentialBackOff(backoff.WithInitialInterval(r.cfg.CancelBackoff))
	limited := backoff.WithMaxRetries(waits, r.cfg.CancelRetries)
	err := backoff.Retry(func() error {
		return r.postJSON(address, nil, nil)
	}, backoff.WithContext(limited, r.ctx))
	if err != nil {
		r.metrics.cancelsFailed.Inc(1)
		r.logger.Warn("cancel failed", "run", command.Run, "target", command.Target.ID, "error", err)
	}
}

// QueryOutcome asks a target whether it ran the request with a program's key, in
// the form that StartRun sends. The answer is OutcomeQueried.
func (r *Runner) AskOutcome(command structs.QueryOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spawn(func() {
		asked := r.askOutcome(command)
		r.sink.Deliver(r.ctx, asked)
	})
}

func (r *Runner) askOutcome(command structs.QueryOutcome) structs.OutcomeQueried {
	asked := structs.OutcomeQueried{Run: command.Run}
	ctx, cancel := context.WithTimeout(r.ctx, r.cfg.ControlTimeout)
	defer cancel()
	sent := structs.Call{Program: command.Program, Key: command.Key}
	key := sent.TargetKey()
	address := joinURL(command.Target.Address, wire.OutcomesRoute) + "/" + url.PathEscape(key)
	status, body, err := r.get(ctx, address)
	if err != nil {
		r.logger.Warn("outcome cannot be asked", "run", command.Run, "target", command.Target.ID, "error", err)
		return asked
	}
	if status == http.StatusNotFound {
		asked.Reached = true
		return asked
	}
	var reply wire.OutcomeReply
	if status != http.StatusOK || json.Unmarshal(body, &reply) != nil || reply.Status == 0 {
		r.logger.Warn("unusable answer about an outcome", "run", command.Run, "target", command.Target.ID, "status", status)
		return asked
	}
	asked.Reached, asked.Found = true, true
	asked.Outcome = plainAnswer(reply.Status, reply.ContentType, reply.Body)
	return asked
}
