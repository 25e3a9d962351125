package peer

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrQueueFull is the error of a send queue that is full.
var ErrQueueFull = errors.New("send queue is full")

// maxUrgent bounds the heartbeats that wait to be written.
const maxUrgent = 16

// sendQueue holds the frames that wait to be written to one instance, bounded
// by count and bytes. Heartbeats go before other frames.
type sendQueue struct {
	maxFrames int
	maxBytes  int
	// wake holds a token while frames wait.
	wake chan struct{}

	mu     sync.Mutex
	frames [][]byte
	urgent [][]byte
	bytes  int
	// closed tells that no frame follows those that wait.
	closed bool
}

func newSendQueue(maxFrames, maxBytes int) *sendQueue {
	return &sendQueue{maxFrames: maxFrames, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// push adds a frame. It never blocks and returns ErrQueueFull if there is no
// room.
func (q *sendQueue) push(frame []byte) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) >= q.maxFrames || q.bytes+len(frame) > q.maxBytes {
		return ErrQueueFull
	}
	q.frames = append(q.frames, frame)
	q.bytes += len(frame)
	q.signal()
	return nil
}

// pushUrgent adds a heartbeat; one too many is dropped.
func (q *sendQueue) pushUrgent(frame []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.urgent) >= maxUrgent {
		return
	}
	q.urgent = append(q.urgent, frame)
	q.signal()
}

// close lets the connection close once all that waits is written.
func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.signal()
}

// drained tells whether the queue was ended and nothing waits.
func (q *sendQueue) drained() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed && len(q.frames) == 0
}

func (q *sendQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// pop removes the next frame, heartbeats first; nil if none waits.
func (q *sendQueue) pop() []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.urgent) > 0 {
		frame := q.urgent[0]
		q.urgent = q.urgent[1:]
		return frame
	}
	if len(q.frames) == 0 {
		return nil
	}
	frame := q.frames[0]
	q.frames[0] = nil
	q.frames = q.frames[1:]
	q.bytes -= len(frame)
	return frame
}

// size returns the number of waiting frames and their bytes.
func (q *sendQueue) size() (frames, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.frames), q.bytes
}
