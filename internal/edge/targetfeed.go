package edge

import (
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/internal/targets"
	"github.com/banyanglade/banyanglade/platform"
)

// returnTime is how long after an outage of the store the registrations that
// lapsed meanwhile may take to come back; a target without one is then gone.
const returnTime = 2 * time.Second

// connections are the kept connections to targets.
type connections interface {
	// CloseIdle closes those to an address that carry no request.
	CloseIdle(address string)
}

// targetFeed brings the registrations of targets into the registry. A
// registration that goes around an outage of the store may only have lapsed:
// its target is kept until the time to come back has passed.
type targetFeed struct {
	registry    *targets.Registry
	connections connections
	health      *feed.Health
	refusals    *refusals
	log         *slog.Logger

	mu sync.Mutex
	// lapsed are targets without a registration that are still kept.
	lapsed map[string]bool
	// starts are the latest known starts of targets that tell theirs.
	starts map[string]start
}

// start is the latest known start of a target, in Unix milliseconds.
type start struct {
	at   int64
	seen time.Time
}

// startMemory is how long the start of a target that is gone is remembered: an
// entry that an earlier start wrote takes effect within seconds.
const startMemory = time.Minute

func newTargetFeed(
	registry *targets.Registry, connections connections, health *feed.Health, scope tally.Scope, log *slog.Logger,
) *targetFeed {
	return &targetFeed{
		registry: registry, connections: connections, health: health, refusals: newRefusals(scope, log), log: log,
		lapsed: make(map[string]bool), starts: make(map[string]start),
	}
}

// apply takes one record of the topic.
func (f *targetFeed) apply(r platform.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(r.Value) == 0 {
		f.refusals.forget(r.Key)
		f.drop(r.Key)
		return
	}
	entry, err := platform.DecodeTarget(r.Key, r.Value)
	if err != nil {
		f.refuse(r, causeOf(err))
		return
	}
	f.put(entry, r.Offset)
}

// put takes an entry that a target can have written.
func (f *targetFeed) put(entry targets.Entry, offset int64) {
	known := f.starts[entry.ID].at
	if entry.Start == 0 && known != 0 {
		// A target that told its start tells it always.
		f.refuse(platform.Record{Key: entry.ID, Offset: offset}, platform.CauseMissing)
		return
	}
	if entry.Start < known {
		f.refusals.note(entry.ID, offset, causeEarlierStart)
		return
	}
	f.refusals.forget(entry.ID)
	delete(f.lapsed, entry.ID)
	if entry.Start != 0 {
		f.starts[entry.ID] = start{at: entry.Start, seen: time.Now()}
	}
	former, replaces := f.registry.Entry(entry.ID)
	if replaces && (former.Start != entry.Start || former.Address != entry.Address) {
		f.connections.CloseIdle(former.Address)
	}
	if f.registry.Put(entry) {
		f.log.Debug("target changed", "target", entry.ID, "service", entry.Service, "address", entry.Address,
			"draining", entry.Draining, "start", entry.Start, "offset", offset)
	}
}

// refuse drops the target that an entry no longer names: the newest entry is
// all that an instance which starts now would read.
func (f *targetFeed) refuse(r platform.Record, cause platform.EntryCause) {
	f.refusals.note(r.Key, r.Offset, cause)
	f.remove(r.Key)
}

// drop removes a target, or keeps it for a while around an outage.
func (f *targetFeed) drop(id string) {
	if !f.registry.Has(id) {
		return
	}
	back, ok := f.health.RecoveredAt(platform.TopicTargets)
	if !ok || time.Since(back) < returnTime {
		f.lapsed[id] = true
		return
	}
	f.remove(id)
}

func (f *targetFeed) remove(id string) {
	delete(f.lapsed, id)
	if s, ok := f.starts[id]; ok {
		s.seen = time.Now()
		f.starts[id] = s
	}
	if f.registry.Remove(id) {
		f.log.Debug("target removed", "target", id)
	}
}

// sweep removes the lapsed targets that had their time to come back.
func (f *targetFeed) sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	back, ok := f.health.RecoveredAt(platform.TopicTargets)
	if !ok || now.Sub(back) < returnTime {
		return
	}
	for id := range f.lapsed {
		f.remove(id)
	}
	for id, s := range f.starts {
		if now.Sub(s.seen) > startMemory && !f.registry.Has(id) {
			delete(f.starts, id)
		}
	}
}
