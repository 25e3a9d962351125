package httpapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
)

// maxWriteSize is the most that one write deadline covers, in bytes.
const maxWriteSize = 64 << 10

// writeBody answers with a whole body, each piece within the write timeout. A
// caller that does not read it is cut off.
func (s *Server) writeBody(c *gin.Context, status int, contentType string, body []byte) {
	if contentType != "" {
		c.Header("Content-Type", contentType)
	}
	s.setWriteDeadline(c.Writer)
	if c.Request.Method == http.MethodHead || !bodyAllowed(status) {
		c.Writer.WriteHeader(status)
		c.Writer.WriteHeaderNow()
		return
	}
	c.Header("Content-Length", strconv.Itoa(len(body)))
	c.Writer.WriteHeader(status)
	c.Writer.WriteHeaderNow()
	for len(body) > 0 {
		piece := body[:min(len(body), maxWriteSize)]
		s.setWriteDeadline(c.Writer)
		if _, err := c.Writer.Write(piece); err != nil {
			s.abort(c, writeCause(c.Request.Context()))
		}
		body = body[len(piece):]
	}
}

// writeCause gives the cause of a failed write: the one for which the request's
// context ended, else a caller that reads too slowly.
func writeCause(ctx context.Context) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return errSlowCaller
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// interruptWrites ends a write that blocks once ctx ends. The function
// returned must be called before the handler returns.
func interruptWrites(ctx context.Context, w http.ResponseWriter) (stop func()) {
	done := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(done)
		_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
	})
	return func() {
		if !cancel() {
			<-done
		}
	}
}
