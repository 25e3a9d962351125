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
	// avoidDuration is how long a relay is not asked after it did not answer.
	avoidDuration = 2 * time.Second
	// takeoverAfter is how long a relay does not answer before its slot is taken.
	takeoverAfter = 3 * time.Second
	// claimJitter is the time over which the claims of instances of a whole core are
	// spread; smaller machines wait longer.
	claimJitter = 100 * time.Millisecond
	// claimDelaysPerSlot is by how many times the claims of each further slot of a data
	// centre are spread longer.
	claimDelaysPerSlot = 2
	// takeoverDelayFactor is how many times longer the claims of a silent relay's slot are
	// spread: others still answer meanwhile.
	takeoverDelayFactor = 10
	// minCPUShare bounds the waits of small machines.
	minCPUShare = 0.1
	// noSourceInterval is the time between two questions while no relay is known.
	noSourceInterval = 100 * time.Millisecond
	// maxClaimDoublings bounds the waits of instances that write to the slots at once.
	maxClaimDoublings = 4
	// claimTimeout bounds a call to the store for a slot.
	claimTimeout = 900 * time.Millisecond
	// claimBackoff is the time until the next try after one that failed.
	claimBackoff = time.Second
	// minDiscoveryBackoff and maxDiscoveryBackoff bound the time between two tries to read the slots.
	minDiscoveryBackoff = 50 * time.Millisecond
	maxDiscoveryBackoff = 800 * time.Millisecond
	// seedFallbackDelay and fallbackDelay are when a seed, which others ask, and another
	// instance read the topics without knowing the slots.
	seedFallbackDelay = time.Second
	fallbackDelay     = 4 * time.Second
	fallbackJitter    = 2 * time.Second
	// fallbackInterval is the time between two tries to read another topic meanwhile.
	fallbackInterval = time.Second
)

// randomClaimDelay draws how long this instance waits before it takes a slot.
func (n *Node) randomClaimDelay() time.Duration {
	return time.Duration(rand.Float64() * float64(claimJitter) / n.cpuShare())
}

func (n *Node) cpuShare() float64 {
	if n.CPUShare <= 0 {
		return 1
	}
	return min(max(n.CPUShare, minCPUShare), 1)
}

// scheduleFallback draws when the topics are read without knowing the slots.
func (n *Node) scheduleFallback() {
	wait := fallbackDelay + time.Duration(rand.Float64()*float64(fallbackJitter)/n.cpuShare())
	if n.isSeed() {
		wait = seedFallbackDelay
	}
	n.fallbackAt = time.Now().Add(wait)
}

// isSeed tells whether others know this instance from their start on, or nobody is.
func (n *Node) isSeed() bool {
	return len(n.Seeds) == 0 || slices.Contains(n.Seeds, n.Self.Address)
}

// onlySlotsUnavailable tells whether the store has served other topics for a while and not the
// slots.
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
	// The store may have come back between the two reads.
	_, err := n.readSlots(ctx)
	return err != nil
}

// discoverSlots reads the slots once, from the store or from a seed.
func (n *Node) discoverSlots(ctx context.Context) {
	recovered := n.Health.Recovered()
	_, err := n.readSlots(ctx)
	n.Health.SetFailing(SlotsTopic, err != nil, time.Now())
	if err == nil {
		return
	}
	n.Log.Debug("slots not read", "error", err.Error())
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

// readSlots reads the slots from the store and returns where their topic ends.
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

// pollRelay asks a relay once.
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

// runClaims takes a slot whenever it is time to, beside the questions to
// relays: the store may take long to answer, or not answer at all, and what is new must
// not wait for that. It ends with the context or once this instance holds a slot.
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

// followRelays follows relays until this instance holds a slot.
func (n *Node) followRelays(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() {
		n.runClaims(ctx)
		cancel()
	})
	for ctx.Err() == nil {
		n.pollRelay(ctx)
	}
	work.Wait()
}

// pollSource asks one relay.
func (n *Node) pollSource(ctx context.Context, source Holder) {
	n.source.Store(&source.Address)
	err := n.queryAll(ctx, source.Address, n.timing.pollWait)
	if ctx.Err() != nil {
		return
	}
	stale := n.hasStaleTopics(time.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	switch {
	case err != nil:
		since := now
		if before, ok := n.failures[source.Address]; ok && !before.unresponsiveSince.IsZero() {
			since = before.unresponsiveSince
		} else {
			n.Log.Info("relay does not answer", "address", source.Address, "error", err.Error())
		}
		n.failures[source.Address] = failure{unresponsiveSince: since, avoidUntil: now.Add(avoidDuration)}
	case stale:
		n.failures[source.Address] = failure{avoidUntil: now.Add(n.timing.pollWait)}
	default:
		delete(n.failures, source.Address)
	}
}

// nextSource is the relay to ask: the first one that is in order, or the one that was
// stale the longest time ago. It returns false if none may be asked now.
func (n *Node) nextSource(now time.Time) (Holder, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var stale Holder
	for _, e := range n.table.sources(n.Self) {
		f := n.failures[e.Address]
		if now.After(f.avoidUntil) {
			return e, true
		}
		if f.unresponsiveSince.IsZero() && (stale.Address == "" || f.avoidUntil.Before(n.failures[stale.Address].avoidUntil)) {
			stale = e
		}
	}
	return stale, stale.Address != ""
}

// nextClaimTime is when this instance should take a slot; zero if there is none to take.
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
		if _, since, ok := n.unresponsiveSlot(); ok {
			due = since.Add(takeoverAfter + takeoverDelayFactor*n.claimDelay)
		}
	}
	if !due.IsZero() && due.Before(n.nextClaimAt) {
		due = n.nextClaimAt
	}
	return due
}

// unresponsiveSlot is the slot of the data centre whose holder has not answered for the
// longest time, and since when. The mutex is held.
func (n *Node) unresponsiveSlot() (string, time.Time, bool) {
	var longest string
	var since time.Time
	for number := range SlotsPerDataCentre {
		key := slotKey(n.Self.DataCentre, number)
		f := n.failures[n.table[key].Address]
		if !f.unresponsiveSince.IsZero() && (longest == "" || f.unresponsiveSince.Before(since)) {
			longest, since = key, f.unresponsiveSince
		}
	}
	return longest, since, longest != ""
}

// claim reads the slots again and takes one, if there still is one to take.
func (n *Node) claim(ctx context.Context) {
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
		// Another instance wrote first, probably for another data centre.
		n.claimConflicts++
		n.nextClaimAt = time.Now().Add(n.claimDelay << min(n.claimConflicts, maxClaimDoublings))
	default:
		n.nextClaimAt = time.Now().Add(claimBackoff + n.claimDelay)
		n.Log.Info("slot not taken", "error", err.Error())
	}
}

// claimAt takes a slot if nobody has written since the slots were read up to an end.
func (n *Node) claimAt(ctx context.Context, end int64) error {
	key, ok := n.claimableSlot()
	if !ok {
		return nil
	}
	value, err := json.Marshal(n.Self)
	if err != nil {
		return errors.Wrap(err, "encode the holder of a slot")
	}
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	record := platform.Record{Key: key, Value: value}
	record.Offset, err = n.Store.Append(call, platform.Append{Topic: SlotsTopic, At: &end, Records: []platform.Record{record}})
	if err != nil {
		return errors.Wrapf(err, "take slot %s", key)
	}
	n.slots.Merge([]platform.Record{record})
	n.Log.Info("slot taken", "slot", key)
	return nil
}

// claimableSlot is the slot that this instance may take.
func (n *Node) claimableSlot() (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, holds := n.table.slotOf(n.Self); holds {
		return "", false
	}
	if key, free := n.table.freeSlot(n.Self); free {
		return key, true
	}
	key, since, ok := n.unresponsiveSlot()
	return key, ok && time.Since(since) > takeoverAfter
}
