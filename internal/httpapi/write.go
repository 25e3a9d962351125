package httpapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
)

// maxWriteSize is the maximum number of bytes written under one deadline.
const maxWriteSize = 64 << 10

// writeBody responds with a whole body and applies the write timeout to each
// piece. It aborts the request if the caller reads too slowly.
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

// writeCause returns the cause of a failed write: that of the context if it has
// ended, else errSlowCaller.
func writeCause(ctx context.Context) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return errSlowCaller
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// interruptWrites makes a blocked write fail once ctx ends. The handler must call
// stop before it returns.
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
