package conversation

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// directRetryInterval is the pause between direct attempts while this
// instance's appends fail and others append for it. Refused calls are billed
// too.
const directRetryInterval = 250 * time.Millisecond

// maxAttempts bounds the instances that attempt an append in one round.
const maxAttempts = 3

// errNotStored means that another instance could not append the turns.
var errNotStored = errors.New("the other instance did not append the turns")

// runRound attempts the append directly or through the partition's indexer and,
// if that fails or is slow, through other instances. It reports whether the
// turns are stored.
func (w *turnWrite) runRound(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &attemptRound{write: w, results: make(chan attemptResult, maxAttempts), started: time.Now()}
	if w.manager.appendsThroughOther(w.partition) && r.appendThroughHelper(ctx) {
		r.probeDirect(ctx)
	} else {
		r.direct(ctx)
	}
	hedge := time.NewTimer(w.manager.hedgeDelay())
	defer hedge.Stop()
	var failure error
	for len(r.inFlight) > 0 {
		select {
		case result := <-r.results:
			delete(r.inFlight, result.by)
			if result.err == nil {
				w.storedBy = result.by
				w.manager.observeWinner(w.partition, result, r.inFlight)
				return true, nil
			}
			failure = errors.Join(failure, result.err)
			r.retry(ctx)
		case <-hedge.C:
			if left := w.manager.hedgeDelay() - time.Since(r.started); left > 0 {
				hedge.Reset(left)
				continue
			}
			r.hedge(ctx)
		}
	}
	return false, failure
}

// attemptRound is one round of append attempts for a turnWrite.
type attemptRound struct {
	write   *turnWrite
	results chan attemptResult
	// inFlight holds the start time of each attempt in progress, by the
	// instance that makes it.
	inFlight map[structs.InstanceID]time.Time
	attempts int
	// directTried is set once this instance has made an attempt itself.
	directTried bool
	started     time.Time
}

// attemptResult is the result of one attempt and the instance that made it.
type attemptResult struct {
	by structs.InstanceID
	appendResult
}

func (r *attemptRound) recordAttempt(by structs.InstanceID) {
	if r.inFlight == nil {
		r.inFlight = make(map[structs.InstanceID]time.Time)
	}
	r.inFlight[by] = time.Now()
	r.attempts++
}

// direct starts an attempt by this instance.
func (r *attemptRound) direct(ctx context.Context) {
	w := r.write
	self := w.manager.self.ID
	r.directTried = true
	r.recordAttempt(self)
	go func() {
		result := w.manager.appendBatched(ctx, w.partition, w.turns, w.records)
		r.results <- attemptResult{self, result}
	}()
}

// probeDirect starts a direct attempt alongside another instance's, to detect
// when this instance's appends succeed again.
func (r *attemptRound) probeDirect(ctx context.Context) {
	if r.write.manager.shouldTryDirect() {
		r.direct(ctx)
	}
}

// hedge starts a second attempt through another instance while the first one is
// slow.
func (r *attemptRound) hedge(ctx context.Context) {
	m := r.write.manager
	if start, ok := r.inFlight[m.self.ID]; ok {
		m.notifyHang(start)
	}
	if m.allowHedge() {
		r.appendThroughHelper(ctx)
	}
}

// retry starts another attempt after a failure, preferably through another
// instance. It does nothing if the round has timed out: the store is then
// unresponsive, and the next round retries.
func (r *attemptRound) retry(ctx context.Context) {
	if r.timedOut() || r.appendThroughHelper(ctx) || len(r.inFlight) > 0 || r.directTried || r.attempts >= maxAttempts {
		return
	}
	r.direct(ctx)
}

// timedOut reports whether the round has lasted as long as an append may take.
func (r *attemptRound) timedOut() bool {
	return time.Since(r.started) >= r.write.manager.appendTimeout()
}

// appendThroughHelper starts an attempt through another instance. It returns
// false if none is left to try.
func (r *attemptRound) appendThroughHelper(ctx context.Context) bool {
	if r.attempts >= maxAttempts {
		return false
	}
	helper := r.write.chooseHelper()
	if helper == "" {
		return false
	}
	r.recordAttempt(helper)
	go func() {
		took, slow, err := r.write.appendThrough(ctx, helper)
		r.results <- attemptResult{helper, appendResult{took, slow, err}}
	}()
	return true
}

// appendsThroughOther reports whether turns of a partition are sent to the
// instance that batches them instead of being appended by this instance.
func (m *Manager) appendsThroughOther(p *partition) bool {
	now := time.Now()
	m.mu.Lock()
	batched, failing := m.storeMonitor.ShouldBatch(p.number, m.pendingAppends(), now), m.storeMonitor.Failing()
	m.mu.Unlock()
	return batched && (failing || m.indexer(p, nil) != m.self.ID)
}

func (m *Manager) hedgeDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeMonitor.HedgeDelay(time.Now())
}

// allowHedge takes one attempt from the hedging budget.
func (m *Manager) allowHedge() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hedges.Allow(1)
}

// shouldTryDirect reports whether this instance, whose appends fail, should
// make an attempt itself. It returns true once per retry interval.
func (m *Manager) shouldTryDirect() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.storeMonitor.Failing() || now.Before(m.nextDirectAttempt) {
		return false
	}
	m.nextDirectAttempt = now.Add(jittered(directRetryInterval))
	return true
}

// jittered returns a random duration between 3/4 d and d, so that instances do
// not retry in step.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/4)
}

// observeWinner updates the health of the paths to the store after the first
// successful attempt. Attempts that are still in flight mark their paths as
// degraded, unless the store itself is slow.
func (m *Manager) observeWinner(p *partition, winner attemptResult, inFlight map[structs.InstanceID]time.Time) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if winner.took == 0 {
		return // instances of older versions do not report the latency
	}
	if winner.by != m.self.ID {
		m.storeMonitor.Observe(winner.observation(), now)
	}
	for id, start := range inFlight {
		if !m.storeMonitor.PathDegraded(winner.observation(), now.Sub(start)) {
			continue
		}
		if id != m.self.ID {
			m.avoidUntil[id] = now.Add(avoidDuration)
			continue
		}
		m.storeMonitor.ObserveOutcome(false, now)
		m.nextDirectAttempt = now.Add(jittered(directRetryInterval))
		p.appends.abandon(func(age time.Duration) bool { return m.storeMonitor.PathDegraded(winner.observation(), age) }, now)
	}
	m.updateState(nil)
}

// observeAppend records the outcome of an append of this instance. The outcome
// is unknown if the Manager has stopped.
func (m *Manager) observeAppend(p *partition, result *appendResult) {
	if m.ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if result.err == nil {
		observed := m.storeMonitor.ObserveOwn(result.took, now)
		result.slow = observed.Slow
		p.appends.window.Observe(observed, m.storeMonitor.ShortestSlow())
	}
	switch {
	case errors.Is(result.err, context.DeadlineExceeded):
		m.storeMonitor.ObserveTimeout(now)
	case result.err != nil:
		m.storeMonitor.ObserveRefusal(now)
	case m.storeMonitor.ObserveOutcome(true, now):
		m.notifyRecovery()
	}
	m.updateState(result.err)
	m.notifySlow(result.took, now)
}

// notifySlow notifies other instances that the store is slow, unless a recent
// notice has done so. The caller must hold m.mu.
func (m *Manager) notifySlow(took time.Duration, now time.Time) {
	if m.storeMonitor.ShouldNotifySlow(now) {
		m.spawn(func() { m.peers.Broadcast(&structs.TurnsNotice{Took: took, StoreEvent: structs.StoreSlow}) })
	}
}

// notifyRecovery notifies other instances that the store accepts appends again.
// The caller must hold m.mu.
func (m *Manager) notifyRecovery() {
	m.spawn(func() { m.peers.Broadcast(&structs.TurnsNotice{StoreEvent: structs.StoreRecovered}) })
}

// notifyHang notifies other instances that an append of this instance hangs.
func (m *Manager) notifyHang(since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.storeMonitor.AppendHangs(since, now) && m.storeMonitor.ShouldNotifyHang(now) {
		m.spawn(func() { m.peers.Broadcast(&structs.TurnsNotice{StoreEvent: structs.StoreSlow}) })
	}
}

// receiveNotice adds turns that another instance stored and applies its report
// on the store.
func (m *Manager) receiveNotice(msg *structs.TurnsNotice) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch {
	case msg.StoreEvent == structs.StoreSlow:
		m.storeMonitor.ObserveNotice(msg.Took, now)
		m.updateState(nil)
	case msg.StoreEvent == structs.StoreRecovered:
		m.handleRecovery()
	}
	if len(msg.Turns) > 0 {
		m.addTurnsLocked(msg.Turns, msg.Partition)
	}
}

// handleRecovery retries waiting writes at once and abandons appends that hang.
// The caller must hold m.mu.
func (m *Manager) handleRecovery() {
	now := time.Now()
	m.storeMonitor.ObserveOutcome(true, now)
	m.updateState(nil)
	for _, p := range m.partitions {
		p.appends.abandon(func(age time.Duration) bool {
			return !m.storeMonitor.Slow(now) && m.storeMonitor.PathDegraded(policy.AppendResult{}, age)
		}, now)
	}
	clear(m.avoidUntil)
	m.endOutage()
}

// updateState logs and records a change of this instance's access to the store.
// The caller must hold m.mu.
func (m *Manager) updateState(err error) {
	state := m.storeMonitor.State(time.Now())
	if state == m.state {
		return
	}
	attrs := []any{"before", m.state, "now", state, "typical_ms", m.storeMonitor.TypicalLatency(time.Now()).Milliseconds()}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	m.state = state
	m.metrics.setState(state)
	if state == policy.StoreHealthy {
		m.log.Info("turns can be appended again", attrs...)
		return
	}
	m.log.Warn("turns cannot be appended in time", attrs...)
}

// chooseHelper returns the next instance to append the turns: the partition's
// indexer, then others in rendezvous order. It returns "" if none is left.
func (w *turnWrite) chooseHelper() structs.InstanceID {
	helper := w.manager.indexer(w.partition, append(w.helpers, w.manager.self.ID))
	if helper != "" {
		w.helpers = append(w.helpers, helper)
	}
	return helper
}

// appendThrough has another instance append the turns. It returns how long the
// store took and whether the other instance considers that slow.
func (w *turnWrite) appendThrough(ctx context.Context, helper structs.InstanceID) (took time.Duration, slow bool, err error) {
	msg := w.manager.queryWithin(ctx, helper, w.manager.batchTimeout, func(number uint64) structs.Message {
		return &structs.StoreTurnsRequest{Number: number, Partition: w.partition.number, Turns: w.turns}
	})
	if reply, ok := msg.(*structs.StoreTurnsReply); ok && reply.Stored {
		return reply.Took, reply.Slow, nil
	}
	if ctx.Err() == nil {
		w.manager.avoidInstance(helper)
	}
	return 0, false, errNotStored
}

// appendTimeout returns how long an append may take.
func (m *Manager) appendTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeMonitor.AppendTimeout(time.Now())
}

// batchTimeout returns how long another instance may take to append turns.
func (m *Manager) batchTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeMonitor.BatchTimeout(time.Now())
}

// receiveAppendRequest appends turns for another instance.
func (m *Manager) receiveAppendRequest(from structs.InstanceID, msg *structs.StoreTurnsRequest) {
	if msg.Partition < 0 || msg.Partition >= len(m.partitions) {
		m.log.Warn("turns for an unknown partition ignored", "peer", from, "partition", msg.Partition)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spawn(func() {
		result := m.appendForPeer(m.partitions[msg.Partition], msg.Turns)
		m.peers.Send(from, &structs.StoreTurnsReply{Number: msg.Number, Stored: result.err == nil, Took: result.took, Slow: result.slow})
	})
}

// appendForPeer appends turns of another instance. While this instance's
// appends fail it refuses, except for an occasional direct attempt.
func (m *Manager) appendForPeer(p *partition, turns []structs.StoredTurn) appendResult {
	m.mu.Lock()
	failing := m.storeMonitor.Failing()
	m.mu.Unlock()
	if failing && !m.shouldTryDirect() {
		return appendResult{err: errNotStored}
	}
	records, err := encodeTurns(turns)
	if err != nil {
		m.log.Error("failed to encode turns of another instance", "error", err.Error())
		return appendResult{err: err}
	}
	result := m.appendBatched(m.ctx, p, turns, records)
	if result.err == nil {
		m.addTurns(turns, p.number)
	}
	return result
}
