package serve

import (
	"sync"
	"time"
)

// maxCompletedWorks bounds the works that are remembered as completed.
const maxCompletedWorks = 4096

// completedWorks remembers which works that several callers may ask for were completed by
// a target recently. Such work does not end targets: many requests for one page are lost
// whenever targets crash, and none is the cause.
type completedWorks struct {
	mu sync.Mutex
	// until holds the time until which a work is remembered.
	until map[string]time.Time
	// swept is the time of the last sweep.
	swept time.Time
}

// record remembers that a target completed a work. If the table is full of others, nothing
// is remembered.
func (c *completedWorks) record(work Work, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.until == nil {
		c.until = make(map[string]time.Time)
	}
	if _, known := c.until[work.ID]; !known && len(c.until) >= maxCompletedWorks && !c.sweep(now) {
		return
	}
	c.until[work.ID] = now.Add(work.Lifetime)
}

// sweepPause is the least time between two sweeps of a full table.
const sweepPause = time.Second

// sweep drops the works whose time is over and reports whether there is space.
func (c *completedWorks) sweep(now time.Time) bool {
	if now.Sub(c.swept) < sweepPause {
		return false
	}
	c.swept = now
	for id, until := range c.until {
		if now.After(until) {
			delete(c.until, id)
		}
	}
	return len(c.until) < maxCompletedWorks
}

// contains reports whether a work was completed within its lifetime.
func (c *completedWorks) contains(work Work, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.until[work.ID]
	return ok && !now.After(until)
}
