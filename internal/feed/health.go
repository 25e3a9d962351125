package feed

import (
	"log/slog"
	"sync"
	"time"
)

// Health tracks whether the store responds to this instance. It is safe for concurrent
// use.
type Health struct {
	mu sync.Mutex
	// failing maps each failing topic to the time of its first failed read.
	failing map[string]time.Time
	// recoveredAt maps each topic to the time of its last successful read after a
	// failure.
	recoveredAt map[string]time.Time
	// lastReserved is the time of the retry that was reserved last.
	lastReserved time.Time
	// recovered is closed and replaced when a topic recovers after an outage.
	recovered chan struct{}
}

// NewHealth returns a Health without failing topics.
func NewHealth() *Health {
	return &Health{failing: make(map[string]time.Time), recoveredAt: make(map[string]time.Time), recovered: make(chan struct{})}
}

// recordResult records the result of a read and logs the start and the end of a failure.
func (h *Health) recordResult(topic string, err error, now time.Time, log *slog.Logger) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since, failing := h.failing[topic]
	switch {
	case err != nil && !failing:
		h.failing[topic] = now
		log.Warn("store lost", "topic", topic, "error", err.Error())
	case err == nil && failing:
		delete(h.failing, topic)
		h.recoveredAt[topic] = now
		h.lastReserved = now
		if now.Sub(since) >= minOutage {
			close(h.recovered)
			h.recovered = make(chan struct{})
		}
		log.Info("store is back", "topic", topic, "away_ms", now.Sub(since).Milliseconds())
	}
}

// OK reports whether no topic is failing.
func (h *Health) OK() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.failing) == 0
}

// minOutage is how long reads of a topic have to fail for its recovery to wake other
// topics. Occasional refusals are no outage.
const minOutage = 300 * time.Millisecond

// Recovered returns a channel that is closed when a topic next recovers from an outage.
// Calls that failed, or that hang on a cut connection, are worth a retry then.
func (h *Health) Recovered() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.recovered
}

// reserveRetry reserves the next retry of a failing topic, a pause after the retry that
// was reserved last, and returns the time until then.
func (h *Health) reserveRetry(now time.Time, pause time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastReserved.Before(now) {
		h.lastReserved = now
	}
	h.lastReserved = h.lastReserved.Add(pause)
	return h.lastReserved.Sub(now)
}

// RecoveredAt returns when a topic last recovered from a failure, and false if its reads
// fail now.
func (h *Health) RecoveredAt(topic string) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, failing := h.failing[topic]
	return h.recoveredAt[topic], !failing
}

// SetFailing records another instance's report that reads of a topic fail or succeed.
func (h *Health) SetFailing(topic string, failing bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, before := h.failing[topic]
	switch {
	case failing && !before:
		h.failing[topic] = now
	case !failing && before:
		delete(h.failing, topic)
		h.recoveredAt[topic] = now
		close(h.recovered)
		h.recovered = make(chan struct{})
	}
}
