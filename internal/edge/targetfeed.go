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

// reregisterGrace is the time after an outage of the store within which targets whose
// registrations lapsed meanwhile may register again, before they are removed.
const reregisterGrace = 2 * time.Second

// minLapseHeartbeats is how long the store must have been unavailable for a registration to
// lapse, in intervals between heartbeats of a target. It lapses after three without one, of
// which up to one and a half may precede the outage, as heartbeats are irregular.
const minLapseHeartbeats = 1.5

// connections are the idle connections to targets.
type connections interface {
	// CloseIdle closes the connections to an address that carry no request.
	CloseIdle(address string)
}

// versionListener is notified when the software versions of the targets may have changed.
type versionListener interface{ VersionsChanged() }

// targetFeed applies the registrations of targets to the registry. A registration that
// ends around an outage of the store may only have lapsed, so its target is retained for
// reregisterGrace after the outage.
type targetFeed struct {
	registry    *targets.Registry
	connections connections
	versions    versionListener
	health      *feed.Health
	refusals    *refusals
	log         *slog.Logger
	// minLapse is the shortest outage in which a registration may lapse, 0 if unknown.
	minLapse time.Duration

	mu sync.Mutex
	// confirmedAt is when the registrations were last known to be current, interruptedUntil
	// the end of the last time of at least minLapse for which they were not.
	confirmedAt, interruptedUntil time.Time
	// lapsed holds the targets without a registration that are still retained.
	lapsed map[string]bool
	// starts holds the latest known starts of targets that report them.
	starts map[string]targetStart
}

// targetStart is the latest known start of a target.
type targetStart struct {
	unixMilli int64
	seenAt    time.Time
}

// startRetention is how long the start of a removed target is remembered, in order to
// refuse entries of earlier incarnations that take effect late.
const startRetention = time.Minute

func newTargetFeed(
	machine platform.Machine, registry *targets.Registry, connections connections, versions versionListener, health *feed.Health, scope tally.Scope, log *slog.Logger,
) *targetFeed {
	return &targetFeed{
		minLapse: time.Duration(minLapseHeartbeats * float64(machine.TargetHeartbeat)),
		registry: registry, connections: connections, versions: versions, health: health, refusals: newRefusals(scope, log), log: log,
		lapsed: make(map[string]bool), starts: make(map[string]targetStart),
	}
}

// apply applies one record of the topic.
func (f *targetFeed) apply(r platform.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(r.Value) == 0 {
		f.refusals.remove(r.Key)
		f.handleDrop(r.Key)
		return
	}
	entry, err := platform.DecodeTarget(r.Key, r.Value)
	if err != nil {
		f.refuse(r, causeOf(err))
		return
	}
	f.put(entry, r.Offset)
}

// put applies a well-formed entry of a target.
func (f *targetFeed) put(entry targets.Entry, offset int64) {
	known := f.starts[entry.ID].unixMilli
	if entry.Start == 0 && known != 0 {
		// A target that has reported its start reports it in each entry.
		f.refuse(platform.Record{Key: entry.ID, Offset: offset}, platform.CauseMissing)
		return
	}
	if entry.Start < known {
		f.refusals.record(entry.ID, offset, causeEarlierStart)
		return
	}
	f.refusals.remove(entry.ID)
	delete(f.lapsed, entry.ID)
	if entry.Start != 0 {
		f.starts[entry.ID] = targetStart{unixMilli: entry.Start, seenAt: time.Now()}
	}
	previous, replaces := f.registry.Entry(entry.ID)
	if replaces && (previous.Start != entry.Start || previous.Address != entry.Address) {
		f.connections.CloseIdle(previous.Address)
	}
	if f.registry.Put(entry) {
		f.versions.VersionsChanged()
		f.log.Debug("target changed", "target", entry.ID, "service", entry.Service, "address", entry.Address,
			"draining", entry.Draining, "start", entry.Start, "offset", offset)
	}
}

// refuse removes the target of a malformed entry, as an instance that starts now would
// read only the newest entry.
func (f *targetFeed) refuse(r platform.Record, cause platform.EntryCause) {
	f.refusals.record(r.Key, r.Offset, cause)
	f.remove(r.Key)
}

// handleDrop removes a target, or retains it if its registration ended around an outage.
func (f *targetFeed) handleDrop(id string) {
	if !f.registry.Has(id) {
		return
	}
	if f.mayHaveLapsed(time.Now()) {
		f.lapsed[id] = true
		return
	}
	f.remove(id)
}

// confirmed records that the registrations were current at a time.
func (f *targetFeed) confirmed(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.Sub(f.confirmedAt) >= f.minLapse {
		f.interruptedUntil = at
	}
	f.confirmedAt = at
}

// mayHaveLapsed reports whether a registration that ends now may have lapsed in an outage.
// In an outage shorter than minLapse only the target itself can have ended it.
func (f *targetFeed) mayHaveLapsed(now time.Time) bool {
	recoveredAt, ok := f.health.RecoveredAt(platform.TopicTargets)
	if ok && now.Sub(recoveredAt) >= reregisterGrace {
		return false
	}
	return now.Sub(f.confirmedAt) >= f.minLapse || now.Sub(f.interruptedUntil) < reregisterGrace
}

func (f *targetFeed) remove(id string) {
	delete(f.lapsed, id)
	if s, ok := f.starts[id]; ok {
		s.seenAt = time.Now()
		f.starts[id] = s
	}
	if f.registry.Remove(id) {
		f.log.Debug("target removed", "target", id)
	}
}

// sweep removes the lapsed targets whose grace period is over, and starts that are no
// longer needed.
func (f *targetFeed) sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	recoveredAt, ok := f.health.RecoveredAt(platform.TopicTargets)
	if !ok || now.Sub(recoveredAt) < reregisterGrace {
		return
	}
	for id := range f.lapsed {
		f.remove(id)
	}
	for id, s := range f.starts {
		if now.Sub(s.seenAt) > startRetention && !f.registry.Has(id) {
			delete(f.starts, id)
		}
	}
}
