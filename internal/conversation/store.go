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
	// unavailableTime is how long a partition that took no append is tried last.
	unavailableTime = time.Second
	// helperRetryInterval is the time after which instances may be asked again that were
	// asked to append a turn: the store may serve them by then.
	helperRetryInterval = time.Second
	// maxPartitionsPerRound bounds the partitions of one round of tries.
	maxPartitionsPerRound = 2
)

// StoreTurn makes a turn durable. It returns once the store holds the turn, or with
// the error of the context; the store may then still get it.
func (m *Manager) StoreTurn(ctx context.Context, program string, turn serve.EndedTurn) error {
	home := m.partitionOf(program)
	w := &turnWrite{manager: m, home: home, turn: structs.KeptTurn{
		ID: turn.ID, Previous: turn.Previous, Input: turn.Input, Output: turn.Output,
		Ended: time.Now().UnixMilli(), Retention: turn.Retention,
	}}
	m.mu.Lock()
	m.hedges.Allow(0)
	m.mu.Unlock()
	begun := time.Now()
	if err := w.persist(ctx); err != nil {
		m.metrics.abandoned.Inc(1)
		return err
	}
	m.metrics.storeLatency.RecordDuration(time.Since(begun))
	m.addTurns(w.turns, w.partition.number)
	if index := m.indexer(home, nil); index != "" && index != m.self.ID && index != w.storedBy {
		m.peers.Send(index, &structs.TurnsNotice{Partition: w.partition.number, Turns: w.turns})
	}
	return nil
}

// missingFrom lists the turns of a conversation that a partition does not hold yet,
// since they are another program's or were kept while it was away.
func (m *Manager) missingFrom(p *partition, turn string) []structs.KeptTurn {
	if turn == "" {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// The turn was named in time; its retention may have ended since.
	entries, ok := m.memory.chain(turn)
	if !ok {
		m.log.Error("conversation went from memory while its turn ran", "turn", turn, "partition", p.number)
	}
	return missingTurns(entries, p.number, time.Now())
}

// missingTurns lists the turns of a conversation that a partition may lack. A turn is
// kept there for its retention, and as long as it has any that continues it
// there; the index of the partition may have dropped it after that.
func missingTurns(entries []*entry, partition int, now time.Time) []structs.KeptTurn {
	var turns []structs.KeptTurn
	continued := false
	for _, e := range slices.Backward(entries) {
		if e.storedIn(partition) && (continued || now.Before(expiry(e.KeptTurn, now))) {
			continued = true
			continue
		}
		turns = append(turns, e.KeptTurn)
	}
	slices.Reverse(turns)
	return turns
}

// turnWrite is a turn on its way to the store.
type turnWrite struct {
	manager *Manager
	// home is the partition of the turn's program.
	home *partition
	turn structs.KeptTurn

	// partition is where the turn is written now, with turns and records: the
	// turn and those before it that the partition lacks.
	partition *partition
	turns     []structs.KeptTurn
	records   []platform.Record
	// helpers are the instances that were asked to append them since helpersResetAt.
	helpers        []structs.InstanceID
	helpersResetAt time.Time
	// storedBy is the instance whose append kept the turn.
	storedBy structs.InstanceID
}

// persist tries until the store holds the turn or the context ends.
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

// tryPartitions tries the home partition, then another one: the store may serve
// some partitions and not others.
func (w *turnWrite) tryPartitions(ctx context.Context) error {
	var failure error
	for _, p := range w.manager.candidates(w.home) {
		if err := w.prepare(p); err != nil {
			return err
		}
		begun := time.Now()
		kept, err := w.runRound(ctx)
		if kept {
			return nil
		}
		w.resetHelpers(err)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		w.manager.markUnavailable(p)
		failure = errors.Join(failure, err)
		if w.manager.unresponsiveSince(begun) {
			break
		}
	}
	return failure
}

// resetHelpers lets all instances be asked again after the store refused a round, once a
// second at most. It does not while the store is silent: whoever is asked then
// would keep the turn waiting behind the store's return.
func (w *turnWrite) resetHelpers(failure error) {
	now := time.Now()
	if errors.Is(failure, platform.ErrBusy) && now.Sub(w.helpersResetAt) >= helperRetryInterval {
		w.helpers, w.helpersResetAt = nil, now
	}
}

// unresponsiveSince tells whether the store has answered nobody since a time, for as
// long as an append may take: another partition is then no better.
func (m *Manager) unresponsiveSince(begun time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return now.Sub(begun) >= m.path.AppendTimeout(now) && !m.path.RespondedSince(begun)
}

// prepare prepares the turn to be written to a partition.
func (w *turnWrite) prepare(p *partition) error {
	w.partition = p
	w.turns = append(w.manager.missingFrom(p, w.turn.Previous), w.turn)
	var err error
	w.records, err = encodeTurns(w.turns)
	return err
}

// candidates are the partitions to try for a turn: its home, unless that was
// away a moment ago, and one more.
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

// markUnavailable notes that neither this instance nor another could append to a
// partition.
func (m *Manager) markUnavailable(p *partition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.unavailableUntil = time.Now().Add(unavailableTime)
}
