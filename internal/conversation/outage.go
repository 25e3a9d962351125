package conversation

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/platform"
)

// outage tells whether turns can be kept at all. While they cannot, one of those
// that wait tries on for all of them: tries of each would take all the calls that
// the store allows. The mutex of the Keeper guards it.
type outage struct {
	// since is when the last round of tries failed after one had succeeded,
	// zero if none has.
	since time.Time
	// storeWide tells that more than single partitions failed: its end is news to
	// others, and all partitions may be tried again.
	storeWide bool
	// retryDelay is the time until the next round.
	retryDelay time.Duration
	// full tells that the store had no room in the last round, at tried.
	full      bool
	lastRound time.Time
	// lastProbeTurn is when a turn last began that is not expected to be kept.
	lastProbeTurn time.Time
	// probing tells that somebody tries.
	probing bool
	// changed is closed and replaced when one of these changes.
	changed chan struct{}
}

func (o *outage) signal() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// awaitAttempt waits until the caller may try to keep its turn. It tells whether
// the caller tries for others as well, who wait until endProbe.
func (m *Manager) awaitAttempt(ctx context.Context) (prober bool, err error) {
	for {
		m.mu.Lock()
		if m.outage.since.IsZero() {
			m.mu.Unlock()
			return false, nil
		}
		if !m.outage.probing {
			m.outage.probing = true
			m.mu.Unlock()
			return true, nil
		}
		changed := m.outage.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}

// waitBeforeRetry waits before the next round of tries, unless the outage ends.
func (m *Manager) waitBeforeRetry(ctx context.Context, wait time.Duration) {
	m.mu.Lock()
	ended, changed := m.outage.since.IsZero(), m.outage.changed
	m.mu.Unlock()
	if ended {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// endProbe lets the next one try.
func (m *Manager) endProbe(prober bool) {
	if !prober {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outage.probing = false
	m.outage.signal()
}

const (
	// minRetryDelay and maxRetryDelay bound the pause between two rounds
	// of tries; it doubles over an outage. Refused calls are priced.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 320 * time.Millisecond
)

// recordRound notes whether a round of tries over instances and partitions
// failed, and logs when that changes. It returns the pause before the next one.
func (m *Manager) recordRound(err error) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := &m.outage
	o.full, o.lastRound = errors.Is(err, platform.ErrFull), time.Now()
	failing := !o.since.IsZero()
	switch {
	case err != nil && !failing:
		o.since, o.retryDelay = time.Now(), minRetryDelay
		o.storeWide = m.path.InOutage(o.since)
		m.log.Warn("turns cannot be kept", "error", err.Error())
	case err != nil:
		o.retryDelay = min(2*o.retryDelay, maxRetryDelay)
	case failing:
		whole := o.storeWide
		m.endOutage()
		if whole {
			m.notifyRecovery()
		}
	}
	return o.retryDelay
}

// endOutage has all that wait try again. The mutex is held.
func (m *Manager) endOutage() {
	o := &m.outage
	if o.since.IsZero() {
		return
	}
	m.log.Info("turns can be kept again", "away_ms", time.Since(o.since).Milliseconds())
	o.since = time.Time{}
	if o.storeWide {
		for _, p := range m.partitions {
			p.unavailableUntil = time.Time{}
		}
	}
	o.signal()
}

// fullProbeInterval is the time between two turns that are let through while none is
// expected to be kept, to find out whether that still is so.
const fullProbeInterval = time.Second

// Accepts tells whether a turn that begins now can be kept before its caller
// leaves, as far as is known. While the store is full none can, for as long as
// nobody makes room. While it is away turns are accepted if it is expected back
// in time: their callers get the text as it comes, and the end once it is back.
func (m *Manager) Accepts(left time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := &m.outage
	now := time.Now()
	if o.full {
		return now.Sub(o.lastRound) > fullProbeInterval
	}
	if o.since.IsZero() || policy.AllowTurnDuringOutage(now.Sub(o.since), left) {
		return true
	}
	if now.Sub(o.lastProbeTurn) <= fullProbeInterval {
		return false
	}
	o.lastProbeTurn = now
	return true
}
