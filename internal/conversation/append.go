package conversation

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// directPause is the time between two tries of an instance whose appends fail
// while others make them: refused calls are priced.
const directPause = 250 * time.Millisecond

// maxTries bounds the instances that try in one round.
const maxTries = 3

// errNotKept tells that another instance could not append turns.
var errNotKept = errors.New("the other instance did not append the turns")

// round tries by this instance or by the one that gathers the partition's turns
// and, if that fails or takes too long, by others. It tells whether the turns
// are kept.
func (w *writing) round(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &round{writing: w, results: make(chan tryResult, maxTries), begun: time.Now()}
	if w.keeper.gathers(w.partition) && r.help(ctx) {
		r.directBeside(ctx)
	} else {
		r.direct(ctx)
	}
	hedge := time.NewTimer(w.keeper.hedgeAfter())
	defer hedge.Stop()
	var failure error
	for len(r.open) > 0 {
		select {
		case result := <-r.results:
			delete(r.open, result.by)
			if result.err == nil {
				w.keptBy = result.by
				w.keeper.noteWinner(w.partition, result, r.open)
				return true, nil
			}
			failure = errors.Join(failure, result.err)
			r.next(ctx)
		case <-hedge.C:
			if left := w.keeper.hedgeAfter() - time.Since(r.begun); left > 0 {
				hedge.Reset(left)
				continue
			}
			r.hedge(ctx)
		}
	}
	return false, failure
}

// round is one round of tries of a writing.
type round struct {
	writing *writing
	results chan tryResult
	// open are the tries under way, by the instance that makes them, and when
	// they began.
	open  map[structs.InstanceID]time.Time
	tries int
	// directTried tells that this instance tried.
	directTried bool
	begun       time.Time
}

// tryResult is how one try ended, and by which instance.
type tryResult struct {
	by structs.InstanceID
	appendResult
}

// begin notes a try.
func (r *round) begin(by structs.InstanceID) {
	if r.open == nil {
		r.open = make(map[structs.InstanceID]time.Time)
	}
	r.open[by] = time.Now()
	r.tries++
}

// direct tries by this instance.
func (r *round) direct(ctx context.Context) {
	w := r.writing
	self := w.keeper.self.ID
	r.directTried = true
	r.begin(self)
	go func() {
		result := w.keeper.appendBatched(ctx, w.partition, w.turns, w.records)
		r.results <- tryResult{self, result}
	}()
}

// directBeside tries by this instance beside another one, to learn whether its
// failing appends succeed again.
func (r *round) directBeside(ctx context.Context) {
	if r.writing.keeper.triesDirect() {
		r.direct(ctx)
	}
}

// hedge has another instance try beside one that takes long.
func (r *round) hedge(ctx context.Context) {
	k := r.writing.keeper
	if begun, ok := r.open[k.self.ID]; ok {
		k.tellHanging(begun)
	}
	if k.mayHedge() {
		r.help(ctx)
	}
}

// next tries again after a failure: by another instance, else by this one. It
// does not if the tries so far took as long as an append may: then the store is
// silent, and a later round is as good.
func (r *round) next(ctx context.Context) {
	if r.spent() || r.help(ctx) || len(r.open) > 0 || r.directTried || r.tries >= maxTries {
		return
	}
	r.direct(ctx)
}

// spent tells that the round took as long as an append may.
func (r *round) spent() bool { return time.Since(r.begun) >= r.writing.keeper.patience() }

// help tries by another instance. It tells whether there is one.
func (r *round) help(ctx context.Context) bool {
	if r.tries >= maxTries {
		return false
	}
	helper := r.writing.chooseHelper()
	if helper == "" {
		return false
	}
	r.begin(helper)
	go func() {
		took, slow, err := r.writing.appendBy(ctx, helper)
		r.results <- tryResult{helper, appendResult{took, slow, err}}
	}()
	return true
}

// gathers tells whether turns for a partition go to the instance that gathers
// them, rather than by an append of this instance.
func (k *Manager) gathers(p *partition) bool {
	now := time.Now()
	k.mu.Lock()
	gathers, failing := k.path.ShouldBatch(p.number, k.pendingAppends(), now), k.path.Failing()
	k.mu.Unlock()
	return gathers && (failing || k.indexOf(p, nil) != k.self.ID)
}

func (k *Manager) hedgeAfter() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.path.HedgeDelay(time.Now())
}

// mayHedge takes a second try from the budget of second tries.
func (k *Manager) mayHedge() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hedges.Allow(1)
}

// triesDirect tells whether this instance, whose appends fail, should try by
// itself beside another one: one turn after each pause does.
func (k *Manager) triesDirect() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if !k.path.Failing() || now.Before(k.directAfter) {
		return false
	}
	k.directAfter = now.Add(jittered(directPause))
	return true
}

// jittered is a time of up to d, so that instances do not try in step.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/4)
}

// noteWinner learns from the try that was answered first: the others' ways are
// bad, unless the store itself is slow.
func (k *Manager) noteWinner(p *partition, winner tryResult, open map[structs.InstanceID]time.Time) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if winner.took == 0 {
		return // an instance of an older version does not report the time
	}
	if winner.by != k.self.ID {
		k.path.Observe(winner.answer(), now)
	}
	for id, begun := range open {
		if !k.path.PathDegraded(winner.answer(), now.Sub(begun)) {
			continue
		}
		if id != k.self.ID {
			k.unableUntil[id] = now.Add(unableTime)
			continue
		}
		k.path.ObserveOutcome(false, now)
		k.directAfter = now.Add(jittered(directPause))
		p.appends.abandon(func(age time.Duration) bool { return k.path.PathDegraded(winner.answer(), age) }, now)
	}
	k.noteState(nil)
}

// noteAppend learns from an append of this instance. Its outcome is unknown if
// the Keeper stopped.
func (k *Manager) noteAppend(p *partition, result *appendResult) {
	if k.ctx.Err() != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if result.err == nil {
		answer := k.path.ObserveOwn(result.took, now)
		result.slow = answer.Slow
		p.appends.window.Observe(answer, k.path.ShortestSlow())
	}
	switch {
	case errors.Is(result.err, context.DeadlineExceeded):
		k.path.ObserveTimeout(now)
	case result.err != nil:
		k.path.ObserveRefusal(now)
	case k.path.ObserveOutcome(true, now):
		k.tellBack()
	}
	k.noteState(result.err)
	k.tellSlow(result.took, now)
}

// tellSlow tells others that the store is slow, if it is and nobody did so
// lately. The mutex is held.
func (k *Manager) tellSlow(took time.Duration, now time.Time) {
	if k.path.ShouldNotifySlow(now) {
		k.spawn(func() { k.peers.Broadcast(&structs.TurnsNotice{Took: took, StoreEvent: structs.StoreSlow}) })
	}
}

// tellBack tells others that the store takes appends again. The mutex is held.
func (k *Manager) tellBack() {
	k.spawn(func() { k.peers.Broadcast(&structs.TurnsNotice{StoreEvent: structs.StoreRecovered}) })
}

// tellHanging tells others that an append of this instance hangs.
func (k *Manager) tellHanging(since time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.path.AppendHangs(since, now) && k.path.ShouldNotifyHang(now) {
		k.spawn(func() { k.peers.Broadcast(&structs.TurnsNotice{StoreEvent: structs.StoreSlow}) })
	}
}

// receiveNotice takes turns that others kept, and what they tell of the store.
func (k *Manager) receiveNotice(m *structs.TurnsNotice) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	switch {
	case m.StoreEvent == structs.StoreSlow:
		k.path.ObserveNotice(m.Took, now)
		k.noteState(nil)
	case m.StoreEvent == structs.StoreRecovered:
		k.storeBack()
	}
	if len(m.Turns) > 0 {
		k.add(m.Turns, m.Partition)
	}
}

// storeBack has those that wait for the store try at once, also those whose
// appends hang. The mutex is held.
func (k *Manager) storeBack() {
	now := time.Now()
	k.path.ObserveOutcome(true, now)
	k.noteState(nil)
	for _, p := range k.partitions {
		p.appends.abandon(func(age time.Duration) bool {
			return !k.path.Slow(now) && k.path.PathDegraded(policy.AppendResult{}, age)
		}, now)
	}
	clear(k.unableUntil)
	k.endOutage()
}

// noteState logs when the state of the access to the store changes. The mutex is
// held.
func (k *Manager) noteState(err error) {
	state := k.path.State(time.Now())
	if state == k.state {
		return
	}
	attrs := []any{"before", k.state, "now", state, "typical_ms", k.path.TypicalLatency(time.Now()).Milliseconds()}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	k.state = state
	k.metrics.setState(state)
	if state == policy.StoreHealthy {
		k.log.Info("turns can be appended again", attrs...)
		return
	}
	k.log.Warn("turns cannot be appended in time", attrs...)
}

// chooseHelper chooses another instance to append the turns: the one that
// gathers the partition's turns, or the next in its order that was not asked
// yet.
func (w *writing) chooseHelper() structs.InstanceID {
	helper := w.keeper.indexOf(w.partition, append(w.helpers, w.keeper.self.ID))
	if helper != "" {
		w.helpers = append(w.helpers, helper)
	}
	return helper
}

// appendBy has another instance append the turns. It returns how long the store
// took, and whether the other instance takes that for slow.
func (w *writing) appendBy(ctx context.Context, helper structs.InstanceID) (took time.Duration, slow bool, err error) {
	answer := w.keeper.askWithin(ctx, helper, w.keeper.gatherPatience, func(number uint64) structs.Message {
		return &structs.StoreTurnsRequest{Number: number, Partition: w.partition.number, Turns: w.turns}
	})
	if reply, ok := answer.(*structs.StoreTurnsReply); ok && reply.Stored {
		return reply.Took, reply.Slow, nil
	}
	if ctx.Err() == nil {
		w.keeper.setUnable(helper)
	}
	return 0, false, errNotKept
}

// patience is how long an append may take.
func (k *Manager) patience() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.path.AppendTimeout(time.Now())
}

// gatherPatience is how long another instance may take to append turns.
func (k *Manager) gatherPatience() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.path.BatchTimeout(time.Now())
}

// receiveKeep appends turns for another instance.
func (k *Manager) receiveKeep(from structs.InstanceID, m *structs.StoreTurnsRequest) {
	if m.Partition < 0 || m.Partition >= len(k.partitions) {
		k.log.Warn("turns for an unknown partition ignored", "peer", from, "partition", m.Partition)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.spawn(func() {
		result := k.keepForOther(k.partitions[m.Partition], m.Turns)
		k.peers.Send(from, &structs.StoreTurnsReply{Number: m.Number, Stored: result.err == nil, Took: result.took, Slow: result.slow})
	})
}

// keepForOther appends turns of another instance, at once or not at all if this
// instance's appends fail.
func (k *Manager) keepForOther(p *partition, turns []structs.StoredTurn) appendResult {
	k.mu.Lock()
	failing := k.path.Failing()
	k.mu.Unlock()
	if failing && !k.triesDirect() {
		return appendResult{err: errNotKept}
	}
	records, err := encodeTurns(turns)
	if err != nil {
		k.log.Error("turns of another instance not encoded", "error", err.Error())
		return appendResult{err: err}
	}
	result := k.appendBatched(k.ctx, p, turns, records)
	if result.err == nil {
		k.learn(turns, p.number)
	}
	return result
}
