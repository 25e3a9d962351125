package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/internal/rendezvous"
)

// While no relay has fresh copies, a few other instances, the standbys, read the store,
// and the rest query the standbys. All instances that know the same addresses choose the
// same standbys.

const (
	// minStandbys is the minimum number of standbys. Larger deployments have one for
	// instancesPerStandby instances, which bounds the queries that each answers.
	minStandbys         = 8
	instancesPerStandby = 16
	standbyKey          = "standby"
	// standbyFanout is the number of standbys queried in the first of standbyRounds; each
	// further round queries twice as many.
	standbyFanout = 2
	standbyRounds = 2
	// readSpacing is the mean time between the reads of two instances that turn to the
	// store because no standby has fresh copies either.
	readSpacing = 2 * time.Millisecond
	// maxStandbyDoublings bounds the backoff after failed attempts to get fresh copies,
	// maxReadDoublings that of own reads of the store.
	maxStandbyDoublings = 3
	maxReadDoublings    = 5
)

// storeFallback gets fresh copies while the relays have none. It is used by one goroutine.
type storeFallback struct {
	*Node
	// attempts counts consecutive attempts without fresh copies, readFailures consecutive
	// failed reads of the store.
	attempts, readFailures int
	nextReadAt             time.Time
}

// run gets fresh copies, where the queries of relays did not, until the context ends.
func (f *storeFallback) run(ctx context.Context) {
	for f.sleepUntilAge(ctx, f.timing.standbyAge) {
		if f.attempt(ctx) {
			f.attempts = 0
			now := time.Now()
			f.refreshedAt.Store(&now)
			continue
		}
		backoff := f.timing.pollWait << min(f.attempts, maxStandbyDoublings)
		f.attempts++
		if !delay.Sleep(ctx, backoff/2+rand.N(backoff)) {
			return
		}
	}
}

// attempt reports whether it got fresh copies.
func (f *storeFallback) attempt(ctx context.Context) bool {
	standbys := f.standbys()
	if slices.Contains(standbys, f.Self.Address) {
		return f.read(ctx) || f.queryStandbys(ctx, standbys)
	}
	if f.queryStandbys(ctx, standbys) {
		return true
	}
	return delay.Sleep(ctx, rand.N(f.readSpread())) && (f.fresh() || f.read(ctx))
}

func (f *storeFallback) fresh() bool { return f.copyAge(time.Now()) < f.timing.standbyAge }

// readSpread returns the time over which the instances spread their reads of the store.
func (f *storeFallback) readSpread() time.Duration {
	peers := len(f.PeerAddresses())
	if peers == 0 {
		return fallbackJitter
	}
	return max(time.Duration(peers)*readSpacing, 2*f.timing.refreshInterval)
}

// standbys lists the standbys, none while the other instances are not known.
func (f *storeFallback) standbys() []string {
	peers := f.PeerAddresses()
	if len(peers) == 0 {
		return nil
	}
	addresses := append(slices.Clone(peers), f.Self.Address)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	count := max(minStandbys, len(addresses)/instancesPerStandby)
	relays := f.slotHolders()
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return relays.holds(address) })
	ordered := orderFor(standbyKey, addresses)
	return ordered[:min(count, len(ordered))]
}

// orderFor orders addresses by their rendezvous scores for a key.
func orderFor(key string, addresses []string) []string {
	candidates := make([]rendezvous.Candidate[string], len(addresses))
	for i, address := range addresses {
		candidates[i] = rendezvous.Candidate[string]{ID: address, Score: rendezvous.Score(key, address)}
	}
	return rendezvous.Order(candidates)
}

// queryStandbys queries some of the standbys, different ones for each instance, and
// reports whether the copies are fresh then.
func (f *storeFallback) queryStandbys(ctx context.Context, standbys []string) bool {
	var queries sync.WaitGroup
	defer queries.Wait()
	others := slices.DeleteFunc(slices.Clone(standbys), func(address string) bool { return address == f.Self.Address })
	others = orderFor(f.Self.Machine, others)
	for round := range standbyRounds {
		// The standbys read the store meanwhile.
		if !delay.Sleep(ctx, f.timing.refreshInterval) || f.fresh() {
			return ctx.Err() == nil
		}
		count := min(standbyFanout<<round, len(others))
		for _, address := range others[:count] {
			queries.Go(func() {
				if _, err := f.queryAll(ctx, address, 0); err != nil && !errors.Is(err, errNotRelay) {
					f.Log.Debug("standby does not answer", "address", address, "error", err.Error())
				}
			})
		}
		others = others[count:]
	}
	return delay.Sleep(ctx, f.timing.refreshInterval) && f.fresh()
}

// read reads the changes of the bounded topics from the store, unless earlier reads have
// failed recently, and reports whether it succeeded.
func (f *storeFallback) read(ctx context.Context) bool {
	if time.Now().Before(f.nextReadAt) {
		return false
	}
	if err := f.readBounded(ctx); err != nil {
		backoff := f.timing.pollWait << min(f.readFailures, maxReadDoublings)
		f.readFailures++
		f.nextReadAt = time.Now().Add(backoff/2 + rand.N(backoff))
		f.Log.Debug("failed to refresh the topics from the store", "error", err.Error())
		return false
	}
	f.readFailures = 0
	now := time.Now()
	f.storeServedAt.Store(&now)
	return true
}

// readBounded reads the changes of all loaded bounded topics at once.
func (f *storeFallback) readBounded(ctx context.Context) error {
	errs := make([]error, len(f.Topics))
	var reads sync.WaitGroup
	for i, topic := range f.Topics {
		if topic.Bounded && topic.Topic.Loaded() {
			reads.Go(func() { errs[i] = f.readTopic(ctx, topic.Topic) })
		}
	}
	reads.Wait()
	return errors.Join(errs...)
}

func (f *storeFallback) readTopic(ctx context.Context, topic *feed.Topic) error {
	follower := feed.Follower{Store: f.Store, Topic: topic}
	return errors.Wrapf(follower.Refresh(ctx), "refresh topic %s", topic.Name)
}
