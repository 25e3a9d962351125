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
	// awayTime is how long a partition that took no append is tried last.
	awayTime = time.Second
	// helpersAgain is the time after which instances may be asked again that were
	// asked to append a turn: the store may serve them by then.
	helpersAgain = time.Second
	// maxPartitionsTried bounds the partitions of one round of tries.
	maxPartitionsTried = 2
)

// StoreTurn makes a turn durable. It returns once the store holds the turn, or with
// the error of the context; the store may then still get it.
func (k *Manager) StoreTurn(ctx context.Context, program string, turn serve.CompletedTurn) error {
	home := k.partitionOf(program)
	w := &writing{keeper: k, home: home, turn: structs.StoredTurn{
		ID: turn.ID, Previous: turn.Previous, Input: turn.Input, Output: turn.Output,
		Ended: time.Now().UnixMilli(), Retention: turn.Retention,
	}}
	k.mu.Lock()
	k.hedges.Allow(0)
	k.mu.Unlock()
	begun := time.Now()
	if err := w.persist(ctx); err != nil {
		k.metrics.lost.Inc(1)
		return err
	}
	k.metrics.seconds.RecordDuration(time.Since(begun))
	k.learn(w.turns, w.partition.number)
	if index := k.indexOf(home, nil); index != "" && index != k.self.ID && index != w.keptBy {
		k.peers.Send(index, &structs.TurnsNotice{Partition: w.partition.number, Turns: w.turns})
	}
	return nil
}

// absent lists the turns of a conversation that a partition does not hold yet,
// since they are another program's or were kept while it was away.
func (k *Manager) absent(p *partition, turn string) []structs.StoredTurn {
	if turn == "" {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	// The turn was named in time; its retention may have ended since.
	entries, ok := k.memory.line(turn)
	if !ok {
		k.log.Error("conversation went from memory while its turn ran", "turn", turn, "partition", p.number)
	}
	return lacking(entries, p.number, time.Now())
}

// lacking lists the turns of a conversation that a partition may lack. A turn is
// kept there for its retention, and as long as it has any that continues it
// there; the index of the partition may have dropped it after that.
func lacking(entries []*entry, partition int, now time.Time) []structs.StoredTurn {
	var turns []structs.StoredTurn
	continued := false
	for _, e := range slices.Backward(entries) {
		if e.in(partition) && (continued || now.Before(expiry(e.StoredTurn, now))) {
			continued = true
			continue
		}
		turns = append(turns, e.StoredTurn)
	}
	slices.Reverse(turns)
	return turns
}

// writing is a turn on its way to the store.
type writing struct {
	keeper *Manager
	// home is the partition of the turn's program.
	home *partition
	turn structs.StoredTurn

	// partition is where the turn is written now, with turns and records: the
	// turn and those before it that the partition lacks.
	partition *partition
	turns     []structs.StoredTurn
	records   []platform.Record
	// helpers are the instances that were asked to append them since askedAnew.
	helpers   []structs.InstanceID
	askedAnew time.Time
	// keptBy is the instance whose append kept the turn.
	keptBy structs.InstanceID
}

// persist tries until the store holds the turn or the context ends.
func (w *writing) persist(ctx context.Context) error {
	k := w.keeper
	for {
		prober, err := k.awaitTry(ctx)
		if err != nil {
			return err
		}
		err = w.tryPartitions(ctx)
		if ctx.Err() != nil {
			k.endTry(prober)
			return ctx.Err()
		}
		wait := k.noteRound(err)
		if err == nil {
			k.endTry(prober)
			return nil
		}
		k.log.Debug("turn not kept yet", "turn", w.turn.ID, "error", err.Error())
		k.pauseTry(ctx, wait)
		k.endTry(prober)
	}
}

// tryPartitions tries the home partition, then another one: the store may serve
// some partitions and not others.
func (w *writing) tryPartitions(ctx context.Context) error {
	var failure error
	for _, p := range w.keeper.candidates(w.home) {
		if err := w.aimAt(p); err != nil {
			return err
		}
		begun := time.Now()
		kept, err := w.round(ctx)
		if kept {
			return nil
		}
		w.askAnew(err)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		w.keeper.setAway(p)
		failure = errors.Join(failure, err)
		if w.keeper.silentSince(begun) {
			break
		}
	}
	return failure
}

// askAnew lets all instances be asked again after the store refused a round, once a
// second at most. It does not while the store is silent: whoever is asked then
// would keep the turn waiting behind the store's return.
func (w *writing) askAnew(failure error) {
	now := time.Now()
	if errors.Is(failure, platform.ErrBusy) && now.Sub(w.askedAnew) >= helpersAgain {
		w.helpers, w.askedAnew = nil, now
	}
}

// silentSince tells whether the store has answered nobody since a time, for as
// long as an append may take: another partition is then no better.
func (k *Manager) silentSince(begun time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	return now.Sub(begun) >= k.path.AppendTimeout(now) && !k.path.RespondedSince(begun)
}

// aimAt prepares the turn to be written to a partition.
func (w *writing) aimAt(p *partition) error {
	w.partition = p
	w.turns = append(w.keeper.absent(p, w.turn.Previous), w.turn)
	var err error
	w.records, err = encodeTurns(w.turns)
	return err
}

// candidates are the partitions to try for a turn: its home, unless that was
// away a moment ago, and one more.
func (k *Manager) candidates(home *partition) []*partition {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	var here, away []*partition
	for i := range k.partitions {
		p := k.partitions[(home.number+i)%len(k.partitions)]
		if now.Before(p.awayUntil) {
			away = append(away, p)
			continue
		}
		here = append(here, p)
	}
	all := append(here, away...)
	return all[:min(len(all), maxPartitionsTried)]
}

// setAway notes that neither this instance nor another could append to a
// partition.
func (k *Manager) setAway(p *partition) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p.awayUntil = time.Now().Add(awayTime)
}
