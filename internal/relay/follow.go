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
	// avoidTime is how long a relay is not asked after it did not answer.
	avoidTime = 2 * time.Second
	// takeoverAfter is how long a relay does not answer before its slot is taken.
	takeoverAfter = 3 * time.Second
	// claimSpan is the time over which the claims of instances of a whole core are
	// spread; smaller machines wait longer.
	claimSpan = 100 * time.Millisecond
	// claimSpansMore is by how many times the claims of each further slot of a data
	// centre are spread longer.
	claimSpansMore = 2
	// takeoverSpans is how many times longer the claims of a silent relay's slot are
	// spread: others still answer meanwhile.
	takeoverSpans = 10
	// leastPower bounds the waits of small machines.
	leastPower = 0.1
	// noSourcePause is the time between two questions while no relay is known.
	noSourcePause = 100 * time.Millisecond
	// mostClaimDoublings bounds the waits of instances that write to the slots at once.
	mostClaimDoublings = 4
	// claimTimeout bounds a call to the store for a slot.
	claimTimeout = 900 * time.Millisecond
	// claimBackoff is the time until the next try after one that failed.
	claimBackoff = time.Second
	// learnFirst and learnMost bound the time between two tries to read the slots.
	learnFirst = 50 * time.Millisecond
	learnMost  = 800 * time.Millisecond
	// seedAlone and othersAlone are when a seed, which others ask, and another
	// instance read the topics without knowing the slots.
	seedAlone   = time.Second
	othersAlone = 4 * time.Second
	aloneSpan   = 2 * time.Second
	// aloneInterval is the time between two tries to read another topic meanwhile.
	aloneInterval = time.Second
)

// drawClaimPause draws how long this instance waits before it takes a slot.
func (n *Node) drawClaimPause() time.Duration {
	return time.Duration(rand.Float64() * float64(claimSpan) / n.power())
}

func (n *Node) power() float64 {
	if n.CPUShare <= 0 {
		return 1
	}
	return min(max(n.CPUShare, leastPower), 1)
}

// setReadAlone draws when the topics are read without knowing the slots.
func (n *Node) setReadAlone() {
	wait := othersAlone + time.Duration(rand.Float64()*float64(aloneSpan)/n.power())
	if n.isSeed() {
		wait = seedAlone
	}
	n.readAlone = time.Now().Add(wait)
}

// isSeed tells whether others know this instance from their start on, or nobody is.
func (n *Node) isSeed() bool {
	return len(n.Seeds) == 0 || slices.Contains(n.Seeds, n.Self.Address)
}

// slotsAlone tells whether the store has served other topics for a while and not the
// slots.
func (n *Node) slotsAlone(ctx context.Context) bool {
	if n.slots.Loaded() || time.Now().Before(n.readAlone) {
		return false
	}
	n.readAlone = time.Now().Add(aloneInterval)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if _, _, err := n.Store.NewestPage(ctx, n.Topics[0].Topic.Name, 0, ""); err != nil {
		return false
	}
	// The store may have come back between the two reads.
	_, err := n.readSlots(ctx)
	return err != nil
}

// learnSlots reads the slots once, from the store or from a seed.
func (n *Node) learnSlots(ctx context.Context) {
	returned := n.Health.Recovered()
	_, err := n.readSlots(ctx)
	n.Health.SetFailing(SlotsTopic, err != nil, time.Now())
	if err == nil {
		return
	}
	n.Log.Debug("slots not read", "error", err.Error())
	n.askAnyone(ctx, n.times.poll)
	if n.slots.Loaded() {
		return
	}
	wait := min(learnFirst<<min(n.learning, 8), learnMost)
	n.learning++
	timer := time.NewTimer(wait/2 + rand.N(wait))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-returned:
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

// follow asks a relay once.
func (n *Node) follow(ctx context.Context) {
	source, ok := n.nextSource(time.Now())
	if !ok {
		n.askAnyone(ctx, 0)
		delay.Sleep(ctx, noSourcePause)
		return
	}
	n.followFrom(ctx, source)
	delay.Sleep(ctx, pollPause)
}

// claimWhileFollowing takes a slot whenever it is time to, beside the questions to
// relays: the store may take long to answer, or not answer at all, and what is new must
// not wait for that. It ends with the context or once this instance holds a slot.
func (n *Node) claimWhileFollowing(ctx context.Context) {
	for ctx.Err() == nil && !n.holdsSlot() {
		now := time.Now()
		due := n.claimDue(now)
		switch {
		case due.IsZero():
			delay.Sleep(ctx, roleInterval)
		case now.Before(due):
			delay.Sleep(ctx, min(due.Sub(now), roleInterval))
		default:
			n.claim(ctx)
		}
	}
}

// followWhile follows relays until this instance holds a slot.
func (n *Node) followWhile(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() {
		n.claimWhileFollowing(ctx)
		cancel()
	})
	for ctx.Err() == nil {
		n.follow(ctx)
	}
	work.Wait()
}

// followFrom asks one relay.
func (n *Node) followFrom(ctx context.Context, source Holder) {
	n.source.Store(&source.Address)
	err := n.askAll(ctx, source.Address, n.times.poll)
	if ctx.Err() != nil {
		return
	}
	stale := n.staleTopics(time.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	switch {
	case err != nil:
		since := now
		if before, ok := n.failures[source.Address]; ok && !before.since.IsZero() {
			since = before.since
		} else {
			n.Log.Info("relay does not answer", "address", source.Address, "error", err.Error())
		}
		n.failures[source.Address] = failure{since: since, until: now.Add(avoidTime)}
	case stale:
		n.failures[source.Address] = failure{until: now.Add(n.times.poll)}
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
		if now.After(f.until) {
			return e, true
		}
		if f.since.IsZero() && (stale.Address == "" || f.until.Before(n.failures[stale.Address].until)) {
			stale = e
		}
	}
	return stale, stale.Address != ""
}

// claimDue is when this instance should take a slot; zero if there is none to take.
func (n *Node) claimDue(now time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	var due time.Time
	if _, free := n.table.free(n.Self); free {
		if n.vacant.IsZero() {
			n.vacant = now
		}
		// The first relay of a data centre is urgent, the last one is not.
		held := len(n.table.earlier(n.Self.DataCentre, SlotsPerDataCentre))
		due = n.vacant.Add(n.claimPause * time.Duration(1+claimSpansMore*held))
	} else {
		n.vacant = time.Time{}
		if _, since, ok := n.silentSlot(); ok {
			due = since.Add(takeoverAfter + takeoverSpans*n.claimPause)
		}
	}
	if !due.IsZero() && due.Before(n.claimAfter) {
		due = n.claimAfter
	}
	return due
}

// silentSlot is the slot of the data centre whose holder has not answered for the
// longest time, and since when. The mutex is held.
func (n *Node) silentSlot() (string, time.Time, bool) {
	var longest string
	var since time.Time
	for number := range SlotsPerDataCentre {
		key := slot(n.Self.DataCentre, number)
		f := n.failures[n.table[key].Address]
		if !f.since.IsZero() && (longest == "" || f.since.Before(since)) {
			longest, since = key, f.since
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
	n.claimPause = n.drawClaimPause()
	switch {
	case err == nil:
		n.claimsLost = 0
	case errors.Is(err, platform.ErrCondition):
		// Another instance wrote first, probably for another data centre.
		n.claimsLost++
		n.claimAfter = time.Now().Add(n.claimPause << min(n.claimsLost, mostClaimDoublings))
	default:
		n.claimAfter = time.Now().Add(claimBackoff + n.claimPause)
		n.Log.Info("slot not taken", "error", err.Error())
	}
}

// claimAt takes a slot if nobody has written since the slots were read up to an end.
func (n *Node) claimAt(ctx context.Context, end int64) error {
	key, ok := n.claimable()
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

// claimable is the slot that this instance may take.
func (n *Node) claimable() (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, holds := n.table.held(n.Self); holds {
		return "", false
	}
	if key, free := n.table.free(n.Self); free {
		return key, true
	}
	key, since, ok := n.silentSlot()
	return key, ok && time.Since(since) > takeoverAfter
}
