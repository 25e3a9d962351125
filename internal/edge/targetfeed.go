package edge

import (
	"log/slog"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/internal/targets"
	"github.com/banyanglade/banyanglade/platform"
)

// returnTime is how long after an outage of the store the registrations that
// lapsed meanwhile may take to come back; a target without one is then gone.
const returnTime = 2 * time.Second

// targetFeed brings the registrations of targets into the registry. A
// registration that goes around an outage of the store may only have lapsed:
// its target is kept until the time to come back has passed.
type targetFeed struct {
	registry *targets.Registry
	health   *feed.Health
	log      *slog.Logger

	mu sync.Mutex
	// lapsed are targets without a registration that are still kept.
	lapsed map[string]bool
}

func newTargetFeed(registry *targets.Registry, health *feed.Health, log *slog.Logger) *targetFeed {
	return &targetFeed{registry: registry, health: health, log: log, lapsed: make(map[string]bool)}
}

// apply takes one record of the topic.
func (f *targetFeed) apply(r platform.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(r.Value) == 0 {
		f.drop(r.Key)
		return
	}
	entry, err := platform.DecodeTarget(r.Key, r.Value)
	if err != nil {
		f.log.Error("registration ignored", "target", r.Key, "offset", r.Offset, "error", err.Error())
		return
	}
	delete(f.lapsed, r.Key)
	if f.registry.Put(entry) {
		f.log.Info("target changed", "target", entry.ID, "service", entry.Service, "address", entry.Address,
			"draining", entry.Draining, "offset", r.Offset)
	}
}

// drop removes a target, or keeps it for a while around an outage.
func (f *targetFeed) drop(id string) {
	if !f.registry.Has(id) {
		return
	}
	back, ok := f.health.BackSince(platform.TopicTargets)
	if !ok || time.Since(back) < returnTime {
		f.lapsed[id] = true
		return
	}
	f.remove(id)
}

func (f *targetFeed) remove(id string) {
	delete(f.lapsed, id)
	if f.registry.Remove(id) {
		f.log.Info("target removed", "target", id)
	}
}

// sweep removes the lapsed targets that had their time to come back.
func (f *targetFeed) sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	back, ok := f.health.BackSince(platform.TopicTargets)
	if !ok || now.Sub(back) < returnTime {
		return
	}
	for id := range f.lapsed {
		f.remove(id)
	}
}
