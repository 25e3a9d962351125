package peer

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrQueueFull is returned when the send queue of an instance is full.
var ErrQueueFull = errors.New("send queue is full")

// maxUrgent bounds the queued heartbeats.
const maxUrgent = 16

// sendQueue queues the frames for one instance, bounded by count and bytes.
// Heartbeats take precedence over other frames.
type sendQueue struct {
	maxFrames int
	maxBytes  int
	// wake holds a token if there may be frames to write.
	wake chan struct{}

	mu     sync.Mutex
	frames [][]byte
	urgent [][]byte
	bytes  int
	// finished is true if the connection ends after the queued frames.
	finished bool
}

func newSendQueue(maxFrames, maxBytes int) *sendQueue {
	return &sendQueue{maxFrames: maxFrames, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// push adds a frame without blocking. It returns ErrQueueFull if a bound would
// be exceeded.
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

// pushUrgent adds a heartbeat, or drops it if too many are queued.
func (q *sendQueue) pushUrgent(frame []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.urgent) >= maxUrgent {
		return
	}
	q.urgent = append(q.urgent, frame)
	q.signal()
}

// finish marks the end of the queue: the writer closes the connection once all
// queued frames are written.
func (q *sendQueue) finish() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.finished = true
	q.signal()
}

// drained reports whether the queue is finished and has no frames left.
func (q *sendQueue) drained() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.finished && len(q.frames) == 0
}

func (q *sendQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// pop removes and returns the next frame, heartbeats first, or nil if the queue
// is empty.
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

// size returns the number of queued frames and their total size, without
// heartbeats.
func (q *sendQueue) size() (frames, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.frames), q.bytes
}
