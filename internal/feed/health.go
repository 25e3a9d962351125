package feed

import (
	"log/slog"
	"sync"
	"time"
)

// Health is whether the store answers this instance. It is safe for concurrent
// use.
type Health struct {
	mu sync.Mutex
	// failing holds when each topic's reads began to fail.
	failing map[string]time.Time
	// back is when each topic was last read again after a failure.
	back map[string]time.Time
	// tries is when the last try that was reserved is made.
	tries time.Time
	// returned is closed and replaced when a topic is read again after a failure.
	returned chan struct{}
}

// NewHealth makes a Health that finds the store in order.
func NewHealth() *Health {
	return &Health{failing: make(map[string]time.Time), back: make(map[string]time.Time), returned: make(chan struct{})}
}

// note takes the outcome of a read and logs when the store is lost and when it
// is back.
func (h *Health) note(topic string, err error, now time.Time, log *slog.Logger) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since, failing := h.failing[topic]
	switch {
	case err != nil && !failing:
		h.failing[topic] = now
		log.Warn("store lost", "topic", topic, "error", err.Error())
	case err == nil && failing:
		delete(h.failing, topic)
		h.back[topic] = now
		h.tries = now
		if now.Sub(since) >= leastOutage {
			close(h.returned)
			h.returned = make(chan struct{})
		}
		log.Info("store is back", "topic", topic, "away_ms", now.Sub(since).Milliseconds())
	}
}

// OK tells whether no read fails.
func (h *Health) OK() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.failing) == 0
}

// leastOutage is how long a topic's reads fail at least for their return to wake
// others: single refusals among answers are no outage.
const leastOutage = 300 * time.Millisecond

// Recovered is closed when a topic is next read again after an outage: what else
// failed, or hangs on a connection that is cut, is worth another try then.
func (h *Health) Recovered() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.returned
}

// reserve keeps the next try to read for a topic that fails, a pause behind the try
// that was reserved last, and returns how long that is from now.
func (h *Health) reserve(now time.Time, pause time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tries.Before(now) {
		h.tries = now
	}
	h.tries = h.tries.Add(pause)
	return h.tries.Sub(now)
}

// RecoveredAt is when a topic was last read again after a failure, and false if
// its reads fail now.
func (h *Health) RecoveredAt(topic string) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, failing := h.failing[topic]
	return h.back[topic], !failing
}

// SetFailing takes what another instance says of the store: that nobody whom it asks could
// read a topic lately, or that somebody can.
func (h *Health) SetFailing(topic string, failing bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, before := h.failing[topic]
	switch {
	case failing && !before:
		h.failing[topic] = now
	case !failing && before:
		delete(h.failing, topic)
		h.back[topic] = now
		close(h.returned)
		h.returned = make(chan struct{})
	}
}
