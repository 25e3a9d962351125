// Package logqueue makes a log that never holds its callers back: lines go
// through a bounded queue to one writer. Lines that find the queue full are
// dropped and counted, and the next line written says how many.
package logqueue

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedBytes bounds what waits to be written: about a thousand lines.
	maxQueuedBytes = 256 << 10
	// writeInterval is how long lines are gathered before one write, which
	// costs a system call.
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

// New starts a Writer in front of out. Close must be called.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full.
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

// Dropped counts the lines dropped so far.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDrops
}

// Close writes what waits, bounded by a second if the reader stalls.
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

// flush writes what waits. A failed write is not repeated: there is nowhere
// else to report it.
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
