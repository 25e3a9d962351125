package dispatch

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// target is the state of one target of a pool.
type target struct {
	info structs.Target
	// unlisted is set when the membership no longer lists the target.
	unlisted bool
	running  []*call
	// foreign estimates the calls at the target without a permit of this
	// dispatcher.
	foreign int
	// peak and lastPeak are the maximum number of permits since the latest load
	// report and in the interval before it. Load reports lag, so both are
	// compared with a report.
	peak, lastPeak int
	// prefillUntil is when the prefill granted so far is expected to be done.
	prefillUntil time.Time
	health       policy.Health
	cache        cacheIndex
	// lowCacheReports counts consecutive load reports with far less cache in
	// use than indexed, which indicate that the target has lost its cache.
	lowCacheReports int
	// awaitedPrefill is the prefill of waiting calls that chose to wait for
	// this target in the current grant pass.
	awaitedPrefill time.Duration
}

func newTarget(info structs.Target, capacity int64) *target {
	return &target{info: info, health: policy.NewHealth(), cache: newCacheIndex(capacity)}
}

// load returns the number of calls at the target.
func (t *target) load() int { return len(t.running) + t.foreign }

// eligible reports whether the target may get new work.
func (t *target) eligible() bool {
	return !t.unlisted && !t.info.Leaving && t.health.State != policy.Ejected
}

// backlog returns the expected time until the granted prefill is done.
func (t *target) backlog(now time.Time) time.Duration {
	return max(0, t.prefillUntil.Sub(now))
}

func (t *target) add(c *call) {
	t.running = append(t.running, c)
	t.peak = max(t.peak, len(t.running))
}

func (t *target) remove(c *call) {
	if i := slices.Index(t.running, c); i >= 0 {
		t.running = slices.Delete(t.running, i, i+1)
	}
}

// maxLowCacheReports is the number of consecutive low reports after which the
// cache index is cleared.
const maxLowCacheReports = 3

// applyLoad combines a load report with the dispatcher's own permits. Reports
// lag, so only calls above the recent maximum of permits count as foreign.
func (t *target) applyLoad(_ time.Time, p *pool, load wire.EngineLoad) {
	t.foreign = max(0, load.Running+load.Waiting-max(t.peak, t.lastPeak))
	t.lastPeak, t.peak = t.peak, len(t.running)
	if load.CacheCapacity > 0 {
		t.cache.capacity = load.CacheCapacity
	}
	if load.CacheTokens*2 >= t.cache.used {
		t.lowCacheReports = 0
		return
	}
	t.lowCacheReports++
	if t.lowCacheReports >= maxLowCacheReports && len(t.running) == 0 {
		t.cache.clear()
		t.lowCacheReports = 0
	}
}
