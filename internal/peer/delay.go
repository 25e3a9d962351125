package peer

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// stampInterval is the least time between two stamps of one connection.
const stampInterval = 50 * time.Millisecond

// errStale ends a connection whose frames lay longer than the liveness timeout
// on their way: in a cut network, or in the socket buffer of a paused process.
// By then the sender has given this instance up and handed its work to another,
// so what such frames ask for must not be done.
var errStale = errors.New("frames were longer on their way than the liveness timeout")

// delayEstimator measures how long frames are on their way, without comparing clocks.
// The writer stamps the connection with the time since its own start of the
// session; the reader subtracts that from its own time. The smallest difference
// so far is taken for the offset of the two starts.
type delayEstimator struct {
	started       time.Time
	minDifference time.Duration
}

// observe gives how much longer than the fastest stamp so far one was on its way.
func (l *delayEstimator) observe(now time.Time, stamp time.Duration) time.Duration {
	difference := now.Sub(l.started) - stamp
	l.minDifference = min(l.minDifference, difference)
	return difference - l.minDifference
}

// stamp gives the frame that stamps what is written next, nil if the last stamp
// is new enough.
func (s *session) stamp(now time.Time) []byte {
	if now.Sub(s.lastStamp) < stampInterval {
		return nil
	}
	s.lastStamp = now
	elapsed := uint64(max(now.Sub(s.delay.started).Milliseconds(), 0))
	return binary.AppendUvarint([]byte{structs.ProtocolVersion, byte(kindStamp)}, elapsed)
}

// receiveStamp returns errStale if what follows was too long on its way.
func (s *session) receiveStamp(body []byte) error {
	elapsed, err := heartbeatNumber(body)
	if err != nil {
		return err
	}
	delay := s.delay.observe(time.Now(), time.Duration(elapsed)*time.Millisecond)
	if delay > s.transport.cfg.PeerTimeout {
		return errors.Wrapf(errStale, "by %s", delay)
	}
	return nil
}
