package memlimit

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"
)

// Reading a body of unknown length fails at the limit, and Close releases what was
// read.
func TestBuffersStayWithinTheLimit(t *testing.T) {
	limiter := New(100<<10, tally.NoopScope)
	large := limiter.NewAccount()
	b, err := NewBuffer(&large, 0)
	if err != nil {
		t.Fatal(err)
	}
	var limitErr *LimitError
	if err := b.ReadAll(bytes.NewReader(make([]byte, 1<<20))); !errors.As(err, &limitErr) {
		t.Fatalf("got error %v for a body of 1 MB with a limit of 100 KB, want a *LimitError", err)
	}
	if used := limiter.Usage().Held; used == 0 || used > 100<<10 {
		t.Errorf("%d bytes are held", used)
	}
	large.Close()
	if used := limiter.Usage().Held; used != 0 {
		t.Errorf("%d bytes are held after Close", used)
	}
}

// A body of known length reserves its size without growing.
func TestKnownLengthReservesItsSize(t *testing.T) {
	limiter := New(100<<10, tally.NoopScope)
	account := limiter.NewAccount()
	b, err := NewBuffer(&account, 1000)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.ReadAll(strings.NewReader(strings.Repeat("x", 1000))); err != nil || len(b.Bytes()) != 1000 {
		t.Fatal(len(b.Bytes()), err)
	}
	if used := limiter.Usage().Held; used != 1001 {
		t.Errorf("%d bytes are held", used)
	}
}
