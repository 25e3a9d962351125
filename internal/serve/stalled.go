package serve

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// stallStep is the time between two looks at a caller that reads nothing.
const stallStep = time.Second

// stalledError tells that a caller read nothing of its answer for a time.
type stalledError struct {
	stalled time.Duration
	// unsent is the part of a write that it did not take, in bytes.
	unsent int
}

func (e *stalledError) Error() string {
	return fmt.Sprintf("the caller read nothing for %s, with %d bytes unsent", e.stalled, e.unsent)
}

// Write sends to the caller. A caller that reads slowly has all the time that it
// takes; one that reads nothing is cut.
func (c *watchedConn) Write(p []byte) (int, error) {
	written, stalled := 0, time.Duration(0)
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(stallStep)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		stalled += stallStep
		if n > 0 {
			stalled = 0
		}
		if stalled >= c.memory.Usage().StallTimeout() {
			return written, &stalledError{stalled: stalled, unsent: len(p) - written}
		}
	}
}
