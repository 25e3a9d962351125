package peer

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// stampInterval is the minimum time between two stamps on one connection.
const stampInterval = 50 * time.Millisecond

// errStale ends a connection whose frames were delayed for longer than the
// liveness timeout, by a network partition or in the socket buffer of a paused
// process. The sender has reassigned the work by then, so these frames must not
// be processed.
var errStale = errors.New("frames were delayed for longer than the liveness timeout")

// delayEstimator estimates the transit delay of frames without comparing clocks.
// The writer sends stamps with the time since its own start of the session, and
// the reader subtracts them from the time since its own. The smallest difference
// so far is taken as the offset between the two start times.
type delayEstimator struct {
	started       time.Time
	minDifference time.Duration
}

// observe returns the delay of a stamp relative to the fastest stamp so far.
func (e *delayEstimator) observe(now time.Time, stamp time.Duration) time.Duration {
	difference := now.Sub(e.started) - stamp
	e.minDifference = min(e.minDifference, difference)
	return difference - e.minDifference
}

// stamp returns the stamp frame to write before the next frame, or nil if the
// last stamp is recent enough.
func (s *session) stamp(now time.Time) []byte {
	if now.Sub(s.lastStamp) < stampInterval {
		return nil
	}
	s.lastStamp = now
	elapsed := uint64(max(now.Sub(s.delay.started).Milliseconds(), 0))
	return binary.AppendUvarint([]byte{structs.ProtocolVersion, byte(kindStamp)}, elapsed)
}

// receiveStamp returns errStale if the frames after the stamp are stale.
func (s *session) receiveStamp(body []byte) error {
	elapsed, err := heartbeatNumber(body)
	if err != nil {
		return err
	}
	delay := s.delay.observe(time.Now(), time.Duration(elapsed)*time.Millisecond)
	if delay > s.transport.cfg.PeerTimeout {
		return errors.Wrapf(errStale, "delay %s", delay)
	}
	return nil
}
