package httpapi

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// readBody reads a request's body within the limits on its size, its time and
// the total size of all bodies. release returns its share of the total and must
// be called at the end of the request; it is never nil.
func (s *Server) readBody(c *gin.Context) (body []byte, release func(), problem *Problem) {
	size := s.config.MaxBody
	if length := c.Request.ContentLength; length > size {
		return nil, func() {}, refusal(structs.ReasonTooLarge, "the body is larger than %d bytes", size)
	} else if length >= 0 {
		size = length
	}
	if !s.limits.bodies.TryAcquire(size) {
		return nil, func() {}, overloaded(c.Request.Header, "too many bytes of requests are in flight at this instance")
	}
	body, problem = s.readWithin(c, size)
	unused := size - int64(len(body))
	s.limits.bodies.Release(unused)
	return body, func() { s.limits.bodies.Release(size - unused) }, problem
}

// readWithin reads at most size bytes of the body, before the deadline set by
// checkRequest.
func (s *Server) readWithin(c *gin.Context, size int64) ([]byte, *Problem) {
	if c.Request.Body == http.NoBody {
		return nil, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, size))
	if err == nil {
		infoOf(c).bodyRead = true
		// Later reads only detect that the caller disconnects.
		_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusal(structs.ReasonTooLarge, "the body is larger than %d bytes", size)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal(ReasonTimeout, "the body did not come within %s", s.config.BodyTimeout)
	}
	return nil, refusal(structs.ReasonInvalid, "the body could not be read to its end")
}
