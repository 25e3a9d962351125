package httpapi

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// errNoReply means that the core did not reply by the deadline of a request.
var errNoReply = errors.New("no reply of the core")

// pendingRequest is a request posted to the core.
type pendingRequest struct {
	server   *Server
	ctx      context.Context
	exchange *exchange
	timer    *time.Timer
}

// post registers the request and posts its event. On success the caller must
// call close. limit is the size in bytes of the chunks to buffer, 0 to drop all
// chunks.
func (s *Server) post(c *gin.Context, event structs.Event, deadline time.Time, limit int) (*pendingRequest, *Problem) {
	ctx, cancel := context.WithCancelCause(c.Request.Context())
	e := newExchange(infoOf(c).id, limit, cancel)
	s.exchanges.add(e)
	posted := false
	defer func() {
		// Also runs if the core panics.
		if !posted {
			s.exchanges.remove(e.id)
			cancel(nil)
		}
	}()
	posted = s.core.Post(event)
	if !posted {
		return nil, overloaded(c.Request.Header, "the instance's queue is full or the instance has stopped")
	}
	timeout := deadline.Sub(s.config.Now()) + s.config.ReplyGrace
	return &pendingRequest{server: s, ctx: ctx, exchange: e, timer: time.NewTimer(timeout)}, nil
}

// close removes the request, and posts CallerDisconnected to the core if the
// request has not ended.
func (p *pendingRequest) close() {
	p.timer.Stop()
	p.server.exchanges.remove(p.exchange.id)
	p.exchange.cancel(nil)
	if p.exchange.ended() {
		return
	}
	if !p.server.core.Post(structs.CallerDisconnected{Request: p.exchange.id}) {
		p.server.metrics.disconnectsNotPosted.Inc(1)
	}
}

// next waits for chunks or for the command that ends the request. It returns
// errNoReply after the deadline, or the cause if the request's context ended.
func (p *pendingRequest) next() ([]structs.Chunk, structs.Command, error) {
	for {
		chunks, final := p.exchange.take()
		if len(chunks) > 0 || final != nil {
			return chunks, final, nil
		}
		select {
		case <-p.exchange.wake:
		case <-p.ctx.Done():
			return nil, nil, context.Cause(p.ctx)
		case <-p.timer.C:
			return nil, nil, errNoReply
		}
	}
}

// waitFinal waits for the command that ends the request.
func (p *pendingRequest) waitFinal() (structs.Command, error) {
	for {
		_, command, err := p.next()
		if err != nil || command != nil {
			return command, err
		}
	}
}

// noReplyProblem returns the problem that corresponds to errNoReply.
func noReplyProblem() *Problem {
	return newProblem(structs.ReasonDeadline, outcomeUnknown, "the instance did not answer by the deadline")
}

// postAndWait posts an event and waits for the reply. On failure it responds
// with the problem and returns false.
func postAndWait[T structs.Command](s *Server, c *gin.Context, event structs.Event, deadline time.Time) (T, bool) {
	var zero T
	p, problem := s.post(c, event, deadline, 0)
	if problem != nil {
		s.fail(c, problem)
		return zero, false
	}
	defer p.close()
	command, err := p.waitFinal()
	if errors.Is(err, errNoReply) {
		s.fail(c, noReplyProblem())
		return zero, false
	}
	if err != nil {
		s.abort(c, err)
	}
	reply, ok := command.(T)
	if !ok {
		s.log.Error("unexpected type of reply from the core", "request", infoOf(c).id)
		s.fail(c, newProblem(ReasonInternal, outcomeUnknown, "the instance gave an answer of another kind"))
	}
	return reply, ok
}
