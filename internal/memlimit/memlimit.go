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
	// Requested was asked for while Held of Most were held, all in bytes.
	Requested, Held, Max int64
	// InProgress tells that the request belongs to a program under way.
	InProgress bool
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%d bytes more do not fit: %d of %d are held for requests (program under way: %t)",
		e.Requested, e.Held, e.Max, e.InProgress)
}

// Limiter is what an instance may hold for requests. It is safe for concurrent
// use; a nil Bound has no limit.
type Limiter struct {
	mu    sync.Mutex
	bytes policy.Bytes

	held    tally.Gauge
	refused tally.Counter
}

// New makes a Bound of some bytes, 0 for none.
func New(limit int64, scope tally.Scope) *Limiter {
	scope = scope.SubScope("request_bytes")
	scope.Gauge("most").Update(float64(limit))
	return &Limiter{bytes: policy.Bytes{Most: limit}, held: scope.Gauge("held"), refused: scope.Counter("refused")}
}

// Usage is what is held now.
func (b *Limiter) Usage() policy.Bytes {
	if b == nil {
		return policy.Bytes{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// reserve takes some bytes, or returns a *LimitError.
func (b *Limiter) reserve(size int64, inProgress bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.bytes.Fits(size, inProgress) {
		b.refused.Inc(1)
		return &LimitError{Requested: size, Held: b.bytes.Held, Max: b.bytes.Most, InProgress: inProgress}
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
	limiter    *Limiter
	held       int64
	inProgress bool
}

// NewAccount makes an Account that holds nothing.
func (b *Limiter) NewAccount() Account { return Account{limiter: b} }

// SetInProgress tells whether what is held next is needed by a program under way,
// which may use the whole bound.
func (a *Account) SetInProgress(needed bool) { a.inProgress = needed }

// Reserve takes some bytes more, or returns a *LimitError.
func (a *Account) Reserve(size int64) error {
	if a.limiter == nil {
		return nil
	}
	if err := a.limiter.reserve(size, a.inProgress); err != nil {
		return err
	}
	a.held += size
	return nil
}

// ForceReserve takes bytes that are there already, whether they fit or not.
func (a *Account) ForceReserve(size int64) {
	if a.limiter == nil {
		return
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.limiter.add(size)
	a.held += size
}

// Close gives everything back.
func (a *Account) Close() {
	if a.held != 0 {
		a.ForceReserve(-a.held)
	}
}
