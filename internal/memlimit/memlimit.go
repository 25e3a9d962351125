// Package memlimit limits the memory that an instance holds for requests: their
// bodies, conversation histories and responses that wait for slow callers.
package memlimit

import (
	"fmt"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/policy"
)

// LimitError reports that a reservation exceeded the limit. Nothing of the request
// was run.
type LimitError struct {
	// Requested bytes were refused while Held of Max were held.
	Requested, Held, Max int64
	// Shortage is the number of bytes that must be released before Requested ones fit.
	Shortage int64
	// InProgress indicates that the request belongs to a program in progress.
	InProgress bool
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("reservation of %d bytes exceeds the memory limit for requests: %d of %d bytes held (program under way: %t)",
		e.Requested, e.Held, e.Max, e.InProgress)
}

// Limiter limits the bytes held for requests. It is safe for concurrent use; a nil
// Limiter has no limit.
type Limiter struct {
	mu    sync.Mutex
	bytes policy.RequestMemory

	held    tally.Gauge
	refused tally.Counter
}

// New returns a Limiter of limit bytes, 0 for no limit.
func New(limit int64, scope tally.Scope) *Limiter {
	scope = scope.SubScope("request_bytes")
	scope.Gauge("most").Update(float64(limit))
	return &Limiter{bytes: policy.RequestMemory{Max: limit}, held: scope.Gauge("held"), refused: scope.Counter("refused")}
}

// Usage returns the bytes held now and the limit.
func (l *Limiter) Usage() policy.RequestMemory {
	if l == nil {
		return policy.RequestMemory{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// reserve reserves size bytes, or returns a *LimitError. The mutex must be held.
func (l *Limiter) reserve(size int64, inProgress bool) error {
	if !l.bytes.Fits(size, inProgress) {
		l.refused.Inc(1)
		return &LimitError{
			Requested: size, Held: l.bytes.Held, Max: l.bytes.Max, Shortage: l.bytes.Shortage(size, inProgress), InProgress: inProgress,
		}
	}
	l.add(size)
	return nil
}

// add adjusts the held bytes. The mutex must be held.
func (l *Limiter) add(size int64) {
	l.bytes.Held += size
	l.held.Update(float64(l.bytes.Held))
}

// Account tracks the bytes held for one request. Except for Held it is not safe for
// concurrent use.
type Account struct {
	limiter *Limiter
	// held is guarded by the mutex of the Limiter.
	held       int64
	inProgress bool
}

// NewAccount returns an empty Account.
func (l *Limiter) NewAccount() Account { return Account{limiter: l} }

// SetInProgress sets whether later reservations are for a program in progress,
// which may use the whole limit.
func (a *Account) SetInProgress(inProgress bool) { a.inProgress = inProgress }

// Reserve reserves size bytes, or returns a *LimitError.
func (a *Account) Reserve(size int64) error {
	if a.limiter == nil {
		return nil
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	if err := a.limiter.reserve(size, a.inProgress); err != nil {
		return err
	}
	a.held += size
	return nil
}

// ForceReserve counts bytes that are already allocated, even beyond the limit. A
// negative size releases bytes.
func (a *Account) ForceReserve(size int64) {
	if a.limiter == nil {
		return
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.limiter.add(size)
	a.held += size
}

// Held returns the number of bytes held. It may be called at any time.
func (a *Account) Held() int64 {
	if a.limiter == nil {
		return 0
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	return a.held
}

// Close releases everything held.
func (a *Account) Close() {
	if held := a.Held(); held != 0 {
		a.ForceReserve(-held)
	}
}
