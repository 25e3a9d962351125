package load

import (
	"sync"
	"sync/atomic"
	"time"
)

// ClassStats holds the results of one class. Times are in milliseconds.
type ClassStats struct {
	Started, Finished, Failed int64
	Latency, Slowdown         Quantiles
	FirstToken, BetweenTokens Quantiles
	Refusals, Retries         int64
	Unknown                   int64
	Refused                   map[string]int64
	PromptTokens              int64
	// RecomputedTokens is the number of prompt tokens that the program had sent
	// before and that were not cached.
	RecomputedTokens int64
}

// classRecorder collects the measurements of one class.
type classRecorder struct {
	started, finished, failed             atomic.Int64
	latency, firstToken, tokenGap         *histogram
	slowdown                              *histogram
	refusals, retries, unknown            atomic.Int64
	promptTokens, recomputedTokens, calls atomic.Int64

	mu      sync.Mutex
	refused map[string]int64
}

func newClassRecorder() *classRecorder {
	return &classRecorder{
		latency: newDurations(), firstToken: newDurations(), tokenGap: newDurations(),
		slowdown: newRatios(), refused: make(map[string]int64),
	}
}

// recordFinished records a program that finished; idle is its latency on an
// idle system.
func (c *classRecorder) recordFinished(latency, idle time.Duration) {
	c.finished.Add(1)
	c.latency.recordDuration(latency)
	c.slowdown.recordRatio(float64(latency) / float64(idle))
}

func (c *classRecorder) recordRefusal(reason string) {
	c.refusals.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[reason]++
}

// recordChunks records the arrival times of the chunks of a streamed response,
// relative to the request.
func (c *classRecorder) recordChunks(times []time.Duration) {
	if len(times) == 0 {
		return
	}
	c.firstToken.recordDuration(times[0])
	for i := 1; i < len(times); i++ {
		c.tokenGap.recordDuration(times[i] - times[i-1])
	}
}

// merge adds the measurements of another recorder.
func (c *classRecorder) merge(other *classRecorder) {
	c.latency.merge(other.latency)
	c.slowdown.merge(other.slowdown)
	c.firstToken.merge(other.firstToken)
	c.tokenGap.merge(other.tokenGap)
	for _, counter := range []struct{ to, from *atomic.Int64 }{
		{&c.started, &other.started}, {&c.finished, &other.finished}, {&c.failed, &other.failed},
		{&c.refusals, &other.refusals}, {&c.retries, &other.retries}, {&c.unknown, &other.unknown},
		{&c.promptTokens, &other.promptTokens}, {&c.recomputedTokens, &other.recomputedTokens},
	} {
		counter.to.Add(counter.from.Load())
	}
	from := other.stats().Refused
	c.mu.Lock()
	defer c.mu.Unlock()
	for reason, count := range from {
		c.refused[reason] += count
	}
}

func (c *classRecorder) stats() ClassStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	refused := make(map[string]int64, len(c.refused))
	for reason, count := range c.refused {
		refused[reason] = count
	}
	return ClassStats{
		Started: c.started.Load(), Finished: c.finished.Load(), Failed: c.failed.Load(),
		Latency: c.latency.quantiles(), Slowdown: c.slowdown.quantiles(),
		FirstToken: c.firstToken.quantiles(), BetweenTokens: c.tokenGap.quantiles(),
		Refusals: c.refusals.Load(), Retries: c.retries.Load(), Unknown: c.unknown.Load(),
		Refused: refused, PromptTokens: c.promptTokens.Load(), RecomputedTokens: c.recomputedTokens.Load(),
	}
}
