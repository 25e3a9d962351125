package logqueue

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// stalledWriter is a writer that blocks until it is released.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	close(out.release)
	w := New(out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		if _, err := w.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	if out.b.String() != "a\nb\nc\n" {
		t.Errorf("got %q", out.b.String())
	}
}

func TestStalledWriterDropsLinesWithoutBlocking(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	w := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 3 * maxQueuedBytes / 1024
	for range lines {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	dropped := w.Dropped()
	if dropped == 0 || dropped >= lines {
		t.Errorf("%d of %d lines dropped", dropped, lines)
	}
	close(out.release)
	w.Close()
	if !strings.Contains(out.b.String(), `"log lines dropped","count":`) {
		t.Error("the output does not report the dropped lines")
	}
}
