// Package logqueue provides a non-blocking log writer. Lines pass through a
// bounded queue to one goroutine that writes them. Lines are dropped while the
// queue is full, and the next write reports their number.
package logqueue

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedBytes bounds the queue, to about a thousand lines.
	maxQueuedBytes = 256 << 10
	// writeInterval is how long lines are batched into one write, to save system
	// calls.
	writeInterval = 50 * time.Millisecond
)

// Writer is an io.Writer that never blocks. It is safe for concurrent use.
type Writer struct {
	out io.Writer

	mu              sync.Mutex
	queued          bytes.Buffer
	unreportedDrops int64
	totalDrops      int64
	wake            chan struct{}
	done            chan struct{}
	closed          bool
}

// New starts a Writer that writes to out. Close must be called.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full. It never returns an
// error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || w.queued.Len()+len(line) > maxQueuedBytes {
		w.unreportedDrops++
		w.totalDrops++
		w.mu.Unlock()
		return len(line), nil
	}
	w.queued.Write(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	w.mu.Unlock()
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDrops
}

// Close writes the queued lines. It waits at most one second if out blocks.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(time.Second):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(writeInterval)
		w.flush()
	}
	w.flush()
}

// flush writes the queued lines. A failed write is ignored, since there is no
// other place to report it.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.queued.Bytes())
	w.queued.Reset()
	dropped := w.unreportedDrops
	w.unreportedDrops = 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
	if len(lines) == 0 {
		return
	}
	_, _ = w.out.Write(lines)
}
