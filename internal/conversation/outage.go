package conversation

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/platform"
)

// outage tracks whether turns can be stored at all. During an outage one
// waiting write retries on behalf of all, because retries of each would exhaust
// the store's call limit. Guarded by Manager.mu.
type outage struct {
	// since is when the outage began, zero outside an outage.
	since time.Time
	// storeWide is set if the outage is not limited to single partitions. Its
	// end is then broadcast, and all partitions may be tried again.
	storeWide bool
	// retryDelay is the delay before the next round.
	retryDelay time.Duration
	// full is set if the store was out of space in the last round.
	full      bool
	lastRound time.Time
	// lastProbeTurn is when a turn was last accepted only to detect the end of
	// the outage.
	lastProbeTurn time.Time
	// probing is set while a write retries on behalf of all.
	probing bool
	// changed is closed and replaced when the state changes.
	changed chan struct{}
}

func (o *outage) signal() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// awaitAttempt waits until the caller may try to store its turn. prober is true
// if the caller retries on behalf of all; the others then wait until endProbe.
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

// waitBeforeRetry waits before the next round, unless the outage ends.
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

// endProbe allows the next waiting write to retry.
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
	// minRetryDelay and maxRetryDelay bound the delay between rounds, which
	// doubles during an outage. Refused calls are billed too.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 320 * time.Millisecond
)

// recordRound records the outcome of a round, logs the start and end of an
// outage, and returns the delay before the next round.
func (m *Manager) recordRound(err error) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := &m.outage
	o.full, o.lastRound = errors.Is(err, platform.ErrFull), time.Now()
	failing := !o.since.IsZero()
	switch {
	case err != nil && !failing:
		o.since, o.retryDelay = time.Now(), minRetryDelay
		o.storeWide = m.storeMonitor.InOutage(o.since)
		m.log.Warn("turns cannot be kept", "error", err.Error())
	case err != nil:
		o.retryDelay = min(2*o.retryDelay, maxRetryDelay)
	case failing:
		storeWide := o.storeWide
		m.endOutage()
		if storeWide {
			m.notifyRecovery()
		}
	}
	return o.retryDelay
}

// endOutage ends the outage and wakes all waiting writes. The caller must hold
// m.mu.
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

// probeTurnInterval is the time between two turns that are accepted during an
// outage to detect its end.
const probeTurnInterval = time.Second

// Accepts reports whether a turn that begins now is expected to be stored
// before its caller's time left runs out. While the store is full no turn is
// accepted, except for occasional probes. During other outages a turn is
// accepted if the store is expected to recover in time: the caller receives the
// text as it is generated, and the end once the turn is stored.
func (m *Manager) Accepts(left time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := &m.outage
	now := time.Now()
	if o.full {
		return now.Sub(o.lastRound) > probeTurnInterval
	}
	if o.since.IsZero() || policy.AllowTurnDuringOutage(now.Sub(o.since), left) {
		return true
	}
	if now.Sub(o.lastProbeTurn) <= probeTurnInterval {
		return false
	}
	o.lastProbeTurn = now
	return true
}
