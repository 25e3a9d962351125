// Package memlimit bounds the bytes that an instance holds for requests: their
// bodies, the conversations before them and answers that wait for slow callers.
package memlimit

import (
	"fmt"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/policy"
)

// LimitError tells that bytes were refused; nothing of the request has run for
// lack of them.
type LimitError struct {
	// Size was asked for while Held of Most were held, all in bytes.
	Size, Held, Most int64
	// UnderWay tells that the request belongs to a program under way.
	UnderWay bool
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%d bytes more do not fit: %d of %d are held for requests (program under way: %t)",
		e.Size, e.Held, e.Most, e.UnderWay)
}

// Limiter is what an instance may hold for requests. It is safe for concurrent
// use; a nil Bound has no limit.
type Limiter struct {
	mu    sync.Mutex
	bytes policy.RequestMemory

	held    tally.Gauge
	refused tally.Counter
}

// New makes a Bound of some bytes, 0 for none.
func New(most int64, scope tally.Scope) *Limiter {
	scope = scope.SubScope("request_bytes")
	scope.Gauge("most").Update(float64(most))
	return &Limiter{bytes: policy.RequestMemory{Max: most}, held: scope.Gauge("held"), refused: scope.Counter("refused")}
}

// Usage is what is held now.
func (b *Limiter) Usage() policy.RequestMemory {
	if b == nil {
		return policy.RequestMemory{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// hold takes some bytes, or returns a *LimitError.
func (b *Limiter) hold(size int64, underWay bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.bytes.Fits(size, underWay) {
		b.refused.Inc(1)
		return &LimitError{Size: size, Held: b.bytes.Held, Most: b.bytes.Max, UnderWay: underWay}
	}
	b.add(size)
	return nil
}

// add counts bytes. The mutex is held.
func (b *Limiter) add(size int64) {
	b.bytes.Held += size
	b.held.Update(float64(b.bytes.Held))
}

// Account is what is held for one request. It is not safe for concurrent use.
type Account struct {
	bound    *Limiter
	held     int64
	underWay bool
}

// NewAccount makes an Account that holds nothing.
func (b *Limiter) NewAccount() Account { return Account{bound: b} }

// SetInProgress tells whether what is held next is needed by a program under way,
// which may use the whole bound.
func (a *Account) SetInProgress(needed bool) { a.underWay = needed }

// Reserve takes some bytes more, or returns a *LimitError.
func (a *Account) Reserve(size int64) error {
	if a.bound == nil {
		return nil
	}
	if err := a.bound.hold(size, a.underWay); err != nil {
		return err
	}
	a.held += size
	return nil
}

// ForceReserve takes bytes that are there already, whether they fit or not.
func (a *Account) ForceReserve(size int64) {
	if a.bound == nil {
		return
	}
	a.bound.mu.Lock()
	defer a.bound.mu.Unlock()
	a.bound.add(size)
	a.held += size
}

// Close gives everything back.
func (a *Account) Close() {
	if a.held != 0 {
		a.ForceReserve(-a.held)
	}
}
