package httpapi

import (
	"log/slog"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const infoKey = "banyanglade.request"

// Outcomes in the access log besides those of responses.
const (
	outcomeDone               = "done"
	outcomeCallerDisconnected = "caller-gone"
	outcomeCutOff             = "cut-off"
)

// probeRoutes are polled frequently, so their access log lines have debug level.
var probeRoutes = map[string]bool{healthRoute: true, readyRoute: true, metricsRoute: true}

// requestInfo describes a request for the response headers, the access log and
// the metrics. It holds neither keys nor bodies.
type requestInfo struct {
	id        structs.RequestID
	started   time.Time
	principal Principal
	program   structs.ProgramID
	team      structs.Team
	service   structs.ServiceName
	lane      structs.Lane
	number    uint64
	// bodyRead is set once the whole body has been read.
	bodyRead bool
	outcome  string
	reason   structs.Reason
}

func infoOf(c *gin.Context) *requestInfo {
	return c.MustGet(infoKey).(*requestInfo)
}

// observe assigns a request its identifier, and logs and counts its end.
func (s *Server) observe(c *gin.Context) {
	info := &requestInfo{id: s.ids.next(), started: s.config.Now(), outcome: outcomeDone}
	c.Set(infoKey, info)
	c.Header(HeaderRequest, string(info.id))
	s.metrics.begin()
	defer s.finish(c, info)
	c.Next()
}

func (s *Server) finish(c *gin.Context, info *requestInfo) {
	elapsed := s.config.Now().Sub(info.started)
	route := c.FullPath()
	s.metrics.end(route, c.Writer.Status(), info.outcome, elapsed)
	level := slog.LevelInfo
	if probeRoutes[route] {
		level = slog.LevelDebug
	}
	s.log.LogAttrs(c.Request.Context(), level, "request",
		slog.String("request", string(info.id)),
		slog.String("method", c.Request.Method),
		slog.String("route", route),
		slog.Int("status", c.Writer.Status()),
		slog.String("outcome", info.outcome),
		slog.String("reason", string(info.reason)),
		slog.String("principal", info.principal.Name),
		slog.String("team", string(info.team)),
		slog.String("program", string(info.program)),
		slog.String("lane", string(info.lane)),
		slog.Uint64("call", info.number),
		slog.String("service", string(info.service)),
		slog.Float64("ms", float64(elapsed.Microseconds())/1000),
	)
}

// recoverPanic responds with an unknown outcome if the handler of a request
// panics.
func (s *Server) recoverPanic(c *gin.Context) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			panic(http.ErrAbortHandler)
		}
		s.metrics.panics.Inc(1)
		s.log.Error("handler panicked", "request", infoOf(c).id, "panic", cause, "stack", string(debug.Stack()))
		if c.Writer.Written() {
			panic(http.ErrAbortHandler)
		}
		s.fail(c, newProblem(ReasonInternal, outcomeUnknown, "the instance failed while it handled the request"))
	}()
	c.Next()
}

// checkRequest rejects requests with invalid headers and sets the deadline for
// reading the body, which also applies if no handler reads it.
func (s *Server) checkRequest(c *gin.Context) {
	if c.Request.Body != http.NoBody {
		_ = http.NewResponseController(c.Writer).SetReadDeadline(s.config.Now().Add(s.config.BodyTimeout))
	}
	if problem := checkHeaders(c.Request.Header); problem != nil {
		s.fail(c, problem)
		return
	}
	c.Next()
}

// limitConcurrency limits the callers' requests in flight.
func (s *Server) limitConcurrency(c *gin.Context) {
	if !s.limits.requests.TryAcquire(1) {
		s.fail(c, overloaded(c.Request.Header, "too many requests are in flight at this instance"))
		return
	}
	defer s.limits.requests.Release(1)
	c.Next()
}

// fail responds with a problem document and ends the request.
func (s *Server) fail(c *gin.Context, problem *Problem) {
	s.recordProblem(c, problem)
	closeIfBodyUnread(c)
	s.setWriteDeadline(c.Writer)
	problem.write(c.Writer)
	c.Abort()
}

// closeIfBodyUnread closes the connection after the response if the body was not
// read. Otherwise the server would wait for the rest of the body before it sends
// the response, in order to reuse the connection.
func closeIfBodyUnread(c *gin.Context) {
	if infoOf(c).bodyRead || c.Request.Body == http.NoBody {
		return
	}
	c.Header("Connection", "close")
}

// recordProblem sets the request's identifier in a problem, and the outcome and
// reason in the access log.
func (s *Server) recordProblem(c *gin.Context, problem *Problem) {
	info := infoOf(c)
	problem.Instance = string(info.id)
	info.outcome = problem.Outcome
	info.reason = structs.Reason(problem.Type[len(problemTypePrefix):])
	if info.program != "" {
		c.Header(HeaderProgram, string(info.program))
	}
}

// abort closes the connection of a request that can no longer be answered. It
// panics with http.ErrAbortHandler.
func (s *Server) abort(c *gin.Context, cause error) {
	info := infoOf(c)
	info.outcome = outcomeCallerDisconnected
	if errors.Is(cause, errSlowCaller) {
		info.outcome = outcomeCutOff
		s.metrics.cutOff.Inc(1)
	}
	panic(http.ErrAbortHandler)
}

func (s *Server) setWriteDeadline(w http.ResponseWriter) {
	// Only writers in tests do not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(s.config.Now().Add(s.config.WriteTimeout))
}
