package lostruns

import (
	"context"
	"sync"
)

// freshReads joins concurrent reads: each caller gets one that began after its call.
type freshReads struct {
	read func(ctx context.Context) error

	// reading is held during a read.
	reading sync.Mutex
	mu      sync.Mutex
	// next is the read that has not begun.
	next *freshRead
}

// freshRead is a read; err is set before done is closed.
type freshRead struct {
	done chan struct{}
	err  error
}

// wait waits until a read that began after the call has ended, and returns its error or
// that of the context.
func (f *freshReads) wait(ctx context.Context) error {
	f.mu.Lock()
	read := f.next
	if read == nil {
		read = &freshRead{done: make(chan struct{})}
		f.next = read
		go f.run(read)
	}
	f.mu.Unlock()
	select {
	case <-read.done:
		return read.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (f *freshReads) run(read *freshRead) {
	f.reading.Lock()
	defer f.reading.Unlock()
	f.mu.Lock()
	f.next = nil
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	read.err = f.read(ctx)
	close(read.done)
}
