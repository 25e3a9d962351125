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
func (l *Limiter) Usage() policy.Bytes {
	if l == nil {
		return policy.Bytes{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// reserve takes some bytes, or returns a *LimitError.
func (l *Limiter) reserve(size int64, inProgress bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.bytes.Fits(size, inProgress) {
		l.refused.Inc(1)
		return &LimitError{Requested: size, Held: l.bytes.Held, Max: l.bytes.Most, InProgress: inProgress}
	}
	l.add(size)
	return nil
}

// add counts bytes. The mutex is held.
func (l *Limiter) add(size int64) {
	l.bytes.Held += size
	l.held.Update(float64(l.bytes.Held))
}

// Account is what is held for one request. It is not safe for concurrent use.
type Account struct {
	limiter    *Limiter
	held       int64
	inProgress bool
}

// NewAccount makes an Account that holds nothing.
func (l *Limiter) NewAccount() Account { return Account{limiter: l} }

// SetInProgress tells whether what is held next is needed by a program under way,
// which may use the whole bound.
func (a *Account) SetInProgress(inProgress bool) { a.inProgress = inProgress }

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
