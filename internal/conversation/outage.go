package conversation

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/platform"
)

// outage tells whether turns can be kept at all. While they cannot, one of those
// that wait tries on for all of them: tries of each would take all the calls that
// the store allows. The mutex of the Keeper guards it.
type outage struct {
	// since is when the last round of tries failed after one had succeeded,
	// zero if none has.
	since time.Time
	// whole tells that more than single partitions failed: its end is news to
	// others, and all partitions may be tried again.
	whole bool
	// pause is the time until the next round.
	pause time.Duration
	// full tells that the store had no room in the last round, at tried.
	full  bool
	tried time.Time
	// through is when a turn last began that is not expected to be kept.
	through time.Time
	// probing tells that somebody tries.
	probing bool
	// changed is closed and replaced when one of these changes.
	changed chan struct{}
}

func (o *outage) signal() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// awaitTry waits until the caller may try to keep its turn. It tells whether
// the caller tries for others as well, who wait until endTry.
func (k *Manager) awaitTry(ctx context.Context) (prober bool, err error) {
	for {
		k.mu.Lock()
		if k.outage.since.IsZero() {
			k.mu.Unlock()
			return false, nil
		}
		if !k.outage.probing {
			k.outage.probing = true
			k.mu.Unlock()
			return true, nil
		}
		changed := k.outage.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}

// pauseTry waits before the next round of tries, unless the outage ends.
func (k *Manager) pauseTry(ctx context.Context, wait time.Duration) {
	k.mu.Lock()
	ended, changed := k.outage.since.IsZero(), k.outage.changed
	k.mu.Unlock()
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

// endTry lets the next one try.
func (k *Manager) endTry(prober bool) {
	if !prober {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outage.probing = false
	k.outage.signal()
}

const (
	// appendRetryFirst and appendRetryMost bound the pause between two rounds
	// of tries; it doubles over an outage. Refused calls are priced.
	appendRetryFirst = 20 * time.Millisecond
	appendRetryMost  = 320 * time.Millisecond
)

// noteRound notes whether a round of tries over instances and partitions
// failed, and logs when that changes. It returns the pause before the next one.
func (k *Manager) noteRound(err error) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	o := &k.outage
	o.full, o.tried = errors.Is(err, platform.ErrFull), time.Now()
	failing := !o.since.IsZero()
	switch {
	case err != nil && !failing:
		o.since, o.pause = time.Now(), appendRetryFirst
		o.whole = k.path.InOutage(o.since)
		k.log.Warn("turns cannot be kept", "error", err.Error())
	case err != nil:
		o.pause = min(2*o.pause, appendRetryMost)
	case failing:
		whole := o.whole
		k.endOutage()
		if whole {
			k.tellBack()
		}
	}
	return o.pause
}

// endOutage has all that wait try again. The mutex is held.
func (k *Manager) endOutage() {
	o := &k.outage
	if o.since.IsZero() {
		return
	}
	k.log.Info("turns can be kept again", "away_ms", time.Since(o.since).Milliseconds())
	o.since = time.Time{}
	if o.whole {
		for _, p := range k.partitions {
			p.awayUntil = time.Time{}
		}
	}
	o.signal()
}

// fullPause is the time between two turns that are let through while none is
// expected to be kept, to find out whether that still is so.
const fullPause = time.Second

// Accepts tells whether a turn that begins now can be kept before its caller
// leaves, as far as is known. While the store is full none can, for as long as
// nobody makes room. While it is away turns are accepted if it is expected back
// in time: their callers get the text as it comes, and the end once it is back.
func (k *Manager) Accepts(left time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	o := &k.outage
	now := time.Now()
	if o.full {
		return now.Sub(o.tried) > fullPause
	}
	if o.since.IsZero() || policy.AllowTurnDuringOutage(now.Sub(o.since), left) {
		return true
	}
	if now.Sub(o.through) <= fullPause {
		return false
	}
	o.through = now
	return true
}
