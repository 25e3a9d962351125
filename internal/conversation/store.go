package conversation

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	// unavailableTime is how long other partitions are preferred to one that
	// failed an append.
	unavailableTime = time.Second
	// helperRetryInterval is the minimum time before the instances that were
	// requested to append a turn may be requested again.
	helperRetryInterval = time.Second
	// maxPartitionsPerRound bounds the partitions tried in one round.
	maxPartitionsPerRound = 2
)

// StoreTurn makes a turn durable. It returns once the store holds the turn, or
// with the context's error, in which case the store may still receive it.
func (m *Manager) StoreTurn(ctx context.Context, program string, turn serve.CompletedTurn) error {
	home := m.partitionOf(program)
	w := &turnWrite{manager: m, home: home, turn: structs.StoredTurn{
		ID: turn.ID, Previous: turn.Previous, Input: turn.Input, Output: turn.Output,
		Ended: time.Now().UnixMilli(), Retention: turn.Retention,
	}}
	m.mu.Lock()
	m.hedges.Allow(0)
	m.mu.Unlock()
	start := time.Now()
	if err := w.persist(ctx); err != nil {
		m.metrics.abandoned.Inc(1)
		return err
	}
	m.metrics.storeLatency.RecordDuration(time.Since(start))
	m.addTurns(w.turns, w.partition.number)
	if indexer := m.indexer(home, nil); indexer != "" && indexer != m.self.ID && indexer != w.storedBy {
		m.peers.Send(indexer, &structs.TurnsNotice{Partition: w.partition.number, Turns: w.turns})
	}
	return nil
}

// missingFrom lists the turns up to the given one that a partition does not
// hold, because they belong to another program or were stored elsewhere while
// the partition was unavailable.
func (m *Manager) missingFrom(p *partition, turn string) []structs.StoredTurn {
	if turn == "" {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// The retention of the turn may have ended since the request was accepted.
	entries, ok := m.memory.chain(turn)
	if !ok {
		m.log.Error("conversation was removed from memory while its turn ran", "turn", turn, "partition", p.number)
	}
	return missingTurns(entries, p.number, time.Now())
}

// missingTurns lists the turns of a conversation that a partition may lack. A
// partition holds a turn for its retention, and longer while a later turn in
// the same partition continues it; after that the indexer may have dropped it.
func missingTurns(entries []*entry, partition int, now time.Time) []structs.StoredTurn {
	var turns []structs.StoredTurn
	continued := false
	for _, e := range slices.Backward(entries) {
		if e.storedIn(partition) && (continued || now.Before(expiry(e.StoredTurn, now))) {
			continued = true
			continue
		}
		turns = append(turns, e.StoredTurn)
	}
	slices.Reverse(turns)
	return turns
}

// turnWrite is a turn being written to the store.
type turnWrite struct {
	manager *Manager
	home    *partition
	turn    structs.StoredTurn

	// partition is the partition being tried. turns holds the turn and its
	// predecessors that the partition lacks, records their encoding.
	partition *partition
	turns     []structs.StoredTurn
	records   []platform.Record
	// helpers are the instances requested to append the turns since
	// helpersResetAt.
	helpers        []structs.InstanceID
	helpersResetAt time.Time
	// storedBy is the instance whose append stored the turn.
	storedBy structs.InstanceID
}

// persist retries until the store holds the turn or the context ends.
func (w *turnWrite) persist(ctx context.Context) error {
	m := w.manager
	for {
		prober, err := m.awaitAttempt(ctx)
		if err != nil {
			return err
		}
		err = w.tryPartitions(ctx)
		if ctx.Err() != nil {
			m.endProbe(prober)
			return ctx.Err()
		}
		wait := m.recordRound(err)
		if err == nil {
			m.endProbe(prober)
			return nil
		}
		m.log.Debug("turn not kept yet", "turn", w.turn.ID, "error", err.Error())
		m.waitBeforeRetry(ctx, wait)
		m.endProbe(prober)
	}
}

// tryPartitions tries the home partition, then another one, since the store may
// serve only some partitions.
func (w *turnWrite) tryPartitions(ctx context.Context) error {
	var failure error
	for _, p := range w.manager.candidates(w.home) {
		if err := w.prepare(p); err != nil {
			return err
		}
		start := time.Now()
		stored, err := w.runRound(ctx)
		if stored {
			return nil
		}
		w.resetHelpers(err)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		w.manager.markUnavailable(p)
		failure = errors.Join(failure, err)
		if w.manager.unresponsiveSince(start) {
			break
		}
	}
	return failure
}

// resetHelpers allows requests to all instances again after the store refused a
// round, at most once per helperRetryInterval. It does not while the store is
// unresponsive: requests to helpers would then delay the turn beyond the
// store's recovery.
func (w *turnWrite) resetHelpers(failure error) {
	now := time.Now()
	if errors.Is(failure, platform.ErrBusy) && now.Sub(w.helpersResetAt) >= helperRetryInterval {
		w.helpers, w.helpersResetAt = nil, now
	}
}

// unresponsiveSince reports whether the store has not responded to any instance
// since start, for at least the append timeout. Trying another partition is
// then pointless.
func (m *Manager) unresponsiveSince(start time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return now.Sub(start) >= m.storeMonitor.AppendTimeout(now) && !m.storeMonitor.RespondedSince(start)
}

// prepare selects the partition to write to and encodes the turns that it
// lacks.
func (w *turnWrite) prepare(p *partition) error {
	w.partition = p
	w.turns = append(w.manager.missingFrom(p, w.turn.Previous), w.turn)
	var err error
	w.records, err = encodeTurns(w.turns)
	return err
}

// candidates returns the partitions to try for a turn, the home partition first
// unless it was recently unavailable.
func (m *Manager) candidates(home *partition) []*partition {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var available, unavailable []*partition
	for i := range m.partitions {
		p := m.partitions[(home.number+i)%len(m.partitions)]
		if now.Before(p.unavailableUntil) {
			unavailable = append(unavailable, p)
			continue
		}
		available = append(available, p)
	}
	all := append(available, unavailable...)
	return all[:min(len(all), maxPartitionsPerRound)]
}

// markUnavailable records that no instance could append to a partition.
func (m *Manager) markUnavailable(p *partition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.unavailableUntil = time.Now().Add(unavailableTime)
}
