package serve

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// stallCheckInterval is the interval at which a blocked write checks whether the caller
// reads.
const stallCheckInterval = time.Second

// stalledError indicates that a caller stopped reading its response.
type stalledError struct {
	stalled time.Duration
	// unsent is the number of bytes of the write that the caller did not read.
	unsent int
}

func (e *stalledError) Error() string {
	return fmt.Sprintf("the caller read nothing for %s, with %d bytes unsent", e.stalled, e.unsent)
}

// Write implements net.Conn. A write may take any time while the caller reads, and
// fails once the caller has read nothing for the stall timeout.
func (c *callerConn) Write(p []byte) (int, error) {
	written, stalled := 0, time.Duration(0)
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(stallCheckInterval)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		stalled += stallCheckInterval
		if n > 0 {
			stalled = 0
		}
		if stalled >= c.memory.Usage().StallTimeout() {
			return written, &stalledError{stalled: stalled, unsent: len(p) - written}
		}
	}
}
