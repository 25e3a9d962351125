package relay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	// avoidDuration is how long a relay is not polled after a failed query, or a reply
	// that it is refused by the store. refusedTolerance is how long it may be refused
	// while it gets fresh copies from others.
	avoidDuration    = 2 * time.Second
	refusedTolerance = time.Second
	// takeoverAfter is how long a relay has to be unresponsive or refused by the store
	// before its slot is taken.
	takeoverAfter = 3 * time.Second
	// storeServedValidity is how long an instance that the store has served counts as
	// served. It exceeds the time between two reads of a standby.
	storeServedValidity = 5 * time.Second
	// claimJitter is the range of the random delay before a claim on a machine with a
	// whole core; smaller machines wait longer.
	claimJitter = 100 * time.Millisecond
	// claimDelaysPerSlot is the number of claim delays added for each slot of the data
	// centre that is already held.
	claimDelaysPerSlot = 2
	// takeoverDelayFactor multiplies the claim delay for the slot of an unresponsive
	// relay, since other relays still serve the data centre.
	takeoverDelayFactor = 10
	// minCPUShare bounds the delays of small machines.
	minCPUShare = 0.1
	// noSourceInterval is the time between two queries while no relay is known.
	noSourceInterval = 100 * time.Millisecond
	// maxClaimDoublings bounds the backoff after conflicting claims.
	maxClaimDoublings = 4
	// claimTimeout bounds a call to the store for a slot.
	claimTimeout = 900 * time.Millisecond
	// claimBackoff is the minimum delay after a claim that failed for another reason than
	// a conflict.
	claimBackoff = time.Second
	// minDiscoveryBackoff and maxDiscoveryBackoff bound the time between two attempts to
	// read the slots.
	minDiscoveryBackoff = 50 * time.Millisecond
	maxDiscoveryBackoff = 800 * time.Millisecond
	// seedFallbackDelay is the time after which a seed reads the topics without knowing
	// the slots. Other instances, which query the seeds, wait for fallbackDelay plus a
	// random part of fallbackJitter.
	seedFallbackDelay = time.Second
	fallbackDelay     = 4 * time.Second
	fallbackJitter    = 2 * time.Second
	// fallbackInterval is the time between two checks whether only the slots are
	// unavailable.
	fallbackInterval = time.Second
)

// randomClaimDelay picks how long this instance waits before it claims a slot.
func (n *Node) randomClaimDelay() time.Duration {
	return time.Duration(rand.Float64() * float64(claimJitter) / n.cpuShare())
}

func (n *Node) cpuShare() float64 {
	if n.CPUShare <= 0 {
		return 1
	}
	return min(max(n.CPUShare, minCPUShare), 1)
}

// scheduleFallback picks the time from which the topics may be read without knowing the
// slots.
func (n *Node) scheduleFallback() {
	wait := fallbackDelay + time.Duration(rand.Float64()*float64(fallbackJitter)/n.cpuShare())
	if n.isSeed() {
		wait = seedFallbackDelay
	}
	n.fallbackAt = time.Now().Add(wait)
}

// isSeed reports whether this instance is one of the seeds, or no seeds are configured.
func (n *Node) isSeed() bool {
	return len(n.Seeds) == 0 || slices.Contains(n.Seeds, n.Self.Address)
}

// onlySlotsUnavailable reports whether the store serves another topic but not the slots,
// once the fallback time has passed.
func (n *Node) onlySlotsUnavailable(ctx context.Context) bool {
	if n.slots.Loaded() || time.Now().Before(n.fallbackAt) {
		return false
	}
	n.fallbackAt = time.Now().Add(fallbackInterval)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if _, _, err := n.Store.NewestPage(ctx, n.Topics[0].Topic.Name, 0, ""); err != nil {
		return false
	}
	// The store may have recovered between the two reads.
	_, err := n.readSlots(ctx)
	return err != nil
}

// discoverSlots tries once to read the slots, from the store or else from another
// instance, and backs off after a failure.
func (n *Node) discoverSlots(ctx context.Context) {
	recovered := n.Health.Recovered()
	_, err := n.readSlots(ctx)
	n.Health.SetFailing(SlotsTopic, err != nil, time.Now())
	if err == nil {
		return
	}
	n.Log.Debug("failed to read the slots", "error", err.Error())
	n.queryAny(ctx, n.timing.pollWait)
	if n.slots.Loaded() {
		return
	}
	wait := min(minDiscoveryBackoff<<min(n.slotReadFailures, 8), maxDiscoveryBackoff)
	n.slotReadFailures++
	timer := time.NewTimer(wait/2 + rand.N(wait))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-recovered:
	case <-timer.C:
	}
}

// readSlots reads the slots from the store and returns the end offset of their topic.
func (n *Node) readSlots(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	list, more, err := n.Store.NewestPage(ctx, SlotsTopic, 0, "")
	for err == nil && more {
		var page platform.Newest
		page, more, err = n.Store.NewestPage(ctx, SlotsTopic, 0, list.Records[len(list.Records)-1].Key)
		list.Records = append(list.Records, page.Records...)
	}
	if err != nil {
		return 0, err
	}
	n.slots.Replace(list)
	return list.End, nil
}

// pollRelay sends one query to a relay, or to any instance if no relay is known.
func (n *Node) pollRelay(ctx context.Context) {
	source, ok := n.nextSource(time.Now())
	if !ok {
		n.queryAny(ctx, 0)
		delay.Sleep(ctx, noSourceInterval)
		return
	}
	n.pollSource(ctx, source)
	delay.Sleep(ctx, pollInterval)
}

// runClaims claims a slot whenever a claim is due. It runs beside the polling of relays,
// so that a slow or unresponsive store does not delay updates. It returns when the
// context ends or this instance holds a slot.
func (n *Node) runClaims(ctx context.Context) {
	for ctx.Err() == nil && !n.holdsSlot() {
		now := time.Now()
		due := n.nextClaimTime(now)
		switch {
		case due.IsZero():
			delay.Sleep(ctx, slotCheckInterval)
		case now.Before(due):
			delay.Sleep(ctx, min(due.Sub(now), slotCheckInterval))
		default:
			n.claim(ctx)
		}
	}
}

// followRelays polls relays until this instance holds a slot.
func (n *Node) followRelays(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() {
		n.runClaims(ctx)
		cancel()
	})
	work.Go(func() { n.keepFresh(ctx) })
	for ctx.Err() == nil {
		n.pollRelay(ctx)
	}
	work.Wait()
}

// pollSource polls one relay and records the result.
func (n *Node) pollSource(ctx context.Context, source Holder) {
	n.source.Store(&source.Address)
	reply, err := n.queryAll(ctx, source.Address, n.nextPollWait(source, time.Now()))
	if ctx.Err() == nil {
		n.recordReply(source, reply, err)
	}
}

// nextPollWait returns how long a relay may hold the next poll. One that was unresponsive
// or refused is probed without a wait, so that several of them are soon passed over.
// A poll ends early when the copies get old, so that its reply comes before they have to
// be refreshed.
func (n *Node) nextPollWait(source Holder, now time.Time) time.Duration {
	n.mu.Lock()
	f := n.failures[source.Address]
	n.mu.Unlock()
	age := n.copyAge(now)
	switch {
	case f.isLasting() && !f.avoidUntil.IsZero() && now.After(f.avoidUntil):
		return 0
	case age >= n.timing.refreshAge:
		return n.timing.pollWait
	}
	return min(max(n.timing.pollAge-age, n.timing.refreshInterval), n.timing.pollWait)
}

// recordReply records whether a relay is unresponsive, refused by the store or stale.
func (n *Node) recordReply(source Holder, reply Reply, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	before, f := n.failures[source.Address], failure{}
	if err == nil && n.isRefused(reply) {
		f.refusedSince = earliest(before.refusedSince, now)
	}
	switch {
	case err != nil:
		f.unresponsiveSince, f.avoidUntil = earliest(before.unresponsiveSince, now), now.Add(avoidDuration)
		if before.unresponsiveSince.IsZero() {
			n.Log.Info("relay does not answer", "address", source.Address, "error", err.Error())
		}
	case !f.refusedSince.IsZero() && (n.isStale(reply) || now.Sub(f.refusedSince) > refusedTolerance):
		f.avoidUntil = now.Add(avoidDuration)
	case n.isStale(reply):
		f.avoidUntil = now.Add(n.timing.pollWait)
	}
	if f == (failure{}) {
		delete(n.failures, source.Address)
		return
	}
	n.failures[source.Address] = f
}

// earliest returns the first of two times, where the zero time stands for none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// nextSource returns the relay to poll: the first one that is not avoided, else the one
// that has been stale or refused the longest. It returns false if there is none.
func (n *Node) nextSource(now time.Time) (Holder, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var stale Holder
	for _, holder := range n.table.sources(n.Self) {
		f := n.failures[holder.Address]
		if now.After(f.avoidUntil) {
			return holder, true
		}
		if f.unresponsiveSince.IsZero() && (stale.Address == "" || f.avoidUntil.Before(n.failures[stale.Address].avoidUntil)) {
			stale = holder
		}
	}
	return stale, stale.Address != ""
}

// nextClaimTime returns when this instance should claim a slot, zero if none can be
// claimed.
func (n *Node) nextClaimTime(now time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	var due time.Time
	if _, free := n.table.freeSlot(n.Self); free {
		if n.vacantSince.IsZero() {
			n.vacantSince = now
		}
		// The first relay of a data centre is urgent, the last one is not.
		held := len(n.table.holdersBefore(n.Self.DataCentre, SlotsPerDataCentre))
		due = n.vacantSince.Add(n.claimDelay * time.Duration(1+claimDelaysPerSlot*held))
	} else {
		n.vacantSince = time.Time{}
		if _, since, ok := n.failedSlot(); ok {
			due = since.Add(takeoverAfter + takeoverDelayFactor*n.claimDelay)
		}
	}
	if !due.IsZero() && due.Before(n.nextClaimAt) {
		due = n.nextClaimAt
	}
	return due
}

// failedSlot returns the slot of this data centre whose holder has been unresponsive, or
// refused by a store that serves this instance, the longest, and since when. n.mu is held.
func (n *Node) failedSlot() (string, time.Time, bool) {
	served := n.isServedByStore(time.Now())
	var longest string
	var since time.Time
	for number := range SlotsPerDataCentre {
		key := slotKey(n.Self.DataCentre, number)
		f := n.failures[n.table[key].Address]
		failedSince := f.unresponsiveSince
		if failedSince.IsZero() && served {
			failedSince = f.refusedSince
		}
		if !failedSince.IsZero() && (longest == "" || failedSince.Before(since)) {
			longest, since = key, failedSince
		}
	}
	return longest, since, longest != ""
}

// isServedByStore reports whether the store has served this instance recently.
func (n *Node) isServedByStore(now time.Time) bool {
	at := n.storeServedAt.Load()
	return at != nil && now.Sub(*at) < storeServedValidity
}

// claim reads the slots again and takes one if one can still be claimed.
func (n *Node) claim(ctx context.Context) {
	n.recheckFailedSlot(ctx)
	end, err := n.readSlots(ctx)
	if err == nil {
		err = n.claimAt(ctx, end)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.claimDelay = n.randomClaimDelay()
	switch {
	case err == nil:
		n.claimConflicts = 0
	case errors.Is(err, platform.ErrCondition):
		// Another instance wrote first, often one of another data centre.
		n.claimConflicts++
		n.nextClaimAt = time.Now().Add(n.claimDelay << min(n.claimConflicts, maxClaimDoublings))
	default:
		n.nextClaimAt = time.Now().Add(claimBackoff + n.claimDelay)
		n.Log.Info("failed to take a slot", "error", err.Error())
	}
}

// recheckFailedSlot queries the holder of the slot that is about to be taken, which may
// have recovered since it was last queried.
func (n *Node) recheckFailedSlot(ctx context.Context) {
	n.mu.Lock()
	key, _, failed := n.failedSlot()
	holder := n.table[key]
	n.mu.Unlock()
	if failed {
		n.querySource(ctx, holder)
	}
}

// claimAt takes a slot on the condition that the slots' topic still ends at an offset.
func (n *Node) claimAt(ctx context.Context, end int64) error {
	key, ok := n.claimableSlot()
	if !ok {
		return nil
	}
	value, err := json.Marshal(n.Self)
	if err != nil {
		return errors.Wrap(err, "encode the holder of the slot")
	}
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	record := platform.Record{Key: key, Value: value}
	record.Offset, err = n.Store.Append(call, platform.Append{Topic: SlotsTopic, ExpectedEnd: &end, Records: []platform.Record{record}})
	if err != nil {
		return errors.Wrapf(err, "take slot %s", key)
	}
	n.slots.Merge([]platform.Record{record})
	n.Log.Info("slot taken", "slot", key)
	return nil
}

// claimableSlot returns the slot that this instance may take now.
func (n *Node) claimableSlot() (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, holds := n.table.slotOf(n.Self); holds {
		return "", false
	}
	if key, free := n.table.freeSlot(n.Self); free {
		return key, true
	}
	key, since, ok := n.failedSlot()
	return key, ok && time.Since(since) > takeoverAfter
}
