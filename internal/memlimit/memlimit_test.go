package memlimit

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"
)

// TestBuffersStayWithinTheBound reads bodies of unknown length, one of which is
// far larger than what is left.
func TestBuffersStayWithinTheBound(t *testing.T) {
	bound := New(100<<10, tally.NoopScope)
	large := bound.NewAccount()
	b, err := NewBuffer(&large, 0)
	if err != nil {
		t.Fatal(err)
	}
	var short *LimitError
	if err := b.ReadAll(bytes.NewReader(make([]byte, 1<<20))); !errors.As(err, &short) {
		t.Fatalf("%v: a body of 1 MB was read into a bound of 100 KB", err)
	}
	if held := bound.Usage().Held; held == 0 || held > 100<<10 {
		t.Errorf("%d bytes are held", held)
	}
	large.Close()
	if held := bound.Usage().Held; held != 0 {
		t.Errorf("%d bytes are held after the end", held)
	}
}

// TestABodyOfKnownLengthTakesItsLength reads one.
func TestABodyOfKnownLengthTakesItsLength(t *testing.T) {
	bound := New(100<<10, tally.NoopScope)
	account := bound.NewAccount()
	b, err := NewBuffer(&account, 1000)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.ReadAll(strings.NewReader(strings.Repeat("x", 1000))); err != nil || len(b.Bytes()) != 1000 {
		t.Fatal(len(b.Bytes()), err)
	}
	if held := bound.Usage().Held; held != 1001 {
		t.Errorf("%d bytes are held", held)
	}
}
