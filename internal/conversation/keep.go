package conversation

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	// appendTimeout bounds one append, which takes about 6 ms, and some
	// hundred when the store is slow. One without an answer may have taken
	// effect; repeating it does no harm.
	appendTimeout = 700 * time.Millisecond
	// hedgeDelay is how long an append may take before another instance is
	// asked to make it as well. The store answers within 10 ms when it is well,
	// and a caller waits for the end of its answer meanwhile.
	hedgeDelay = 60 * time.Millisecond
	// appendRetryFirst and appendRetryMost bound the pause between two rounds
	// of tries; it doubles. Refused calls are priced.
	appendRetryFirst = 20 * time.Millisecond
	appendRetryMost  = 320 * time.Millisecond
	// awayTime is how long a partition that took no append is tried last.
	awayTime = time.Second
	// maxPartitionsTried bounds the partitions of one round of tries.
	maxPartitionsTried = 2
)

// errNotKept tells that another instance could not append turns.
var errNotKept = errors.New("the other instance did not append the turns")

// Keep makes a turn durable. It returns once the store holds the turn, or with
// the error of the context; the store may then still get it.
func (k *Keeper) Keep(ctx context.Context, program string, turn serve.EndedTurn) error {
	home := k.partitionOf(program)
	w := &writing{keeper: k, home: home, turn: structs.KeptTurn{
		ID: turn.ID, Previous: turn.Previous, Input: turn.Input, Output: turn.Output,
		Ended: time.Now().UnixMilli(), Retention: turn.Retention,
	}}
	begun := time.Now()
	if err := w.persist(ctx); err != nil {
		k.metrics.lost.Inc(1)
		return err
	}
	k.metrics.seconds.RecordDuration(time.Since(begun))
	k.learn(w.turns, w.partition.number)
	if index := k.indexOf(home, nil); index != "" && index != k.self.ID {
		k.peers.Send(index, &structs.TurnsNotice{Partition: w.partition.number, Turns: w.turns})
	}
	return nil
}

// absent lists the turns of a conversation that a partition does not hold yet,
// since they are another program's or were kept while it was away.
func (k *Keeper) absent(p *partition, turn string) []structs.KeptTurn {
	if turn == "" {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	entries, _ := k.memory.chain(turn, time.Now())
	var turns []structs.KeptTurn
	for _, e := range entries {
		if !e.in(p.number) {
			turns = append(turns, e.KeptTurn)
		}
	}
	return turns
}

// writing is a turn on its way to the store.
type writing struct {
	keeper *Keeper
	// home is the partition of the turn's program.
	home *partition
	turn structs.KeptTurn

	// partition is where the turn is written now, with turns and records: the
	// turn and those before it that the partition lacks.
	partition *partition
	turns     []structs.KeptTurn
	records   []platform.Record
	// helpers are the instances that were asked to append them.
	helpers []structs.InstanceID
}

// persist tries until the store holds the turn or the context ends.
func (w *writing) persist(ctx context.Context) error {
	k := w.keeper
	wait := appendRetryFirst
	for {
		prober, err := k.awaitTry(ctx)
		if err != nil {
			return err
		}
		err = w.tryPartitions(ctx)
		if err != nil && ctx.Err() == nil {
			k.noteRound(err)
			k.log.Debug("turn not kept yet", "turn", w.turn.ID, "error", err.Error())
			if pause(ctx, wait) {
				wait = min(2*wait, appendRetryMost)
				k.endTry(prober)
				continue
			}
		}
		if err == nil {
			k.noteRound(nil)
		}
		k.endTry(prober)
		if err != nil && ctx.Err() != nil {
			return ctx.Err()
		}
		return err
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
		kept, err := w.round(ctx)
		if kept {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		w.keeper.setAway(p)
		failure = errors.Join(failure, err)
	}
	return failure
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
func (k *Keeper) candidates(home *partition) []*partition {
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
func (k *Keeper) setAway(p *partition) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p.awayUntil = time.Now().Add(awayTime)
}

func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// round tries once by this instance and, if that fails or takes long, once by
// another one. It tells whether the turns are kept.
func (w *writing) round(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, 2)
	tries := 1
	go func() { results <- w.keeper.appendDirect(ctx, w.partition, w.records) }()
	hedge := time.NewTimer(w.keeper.hedgeAfter())
	defer hedge.Stop()
	helped := false
	help := func() {
		if helped {
			return
		}
		helped = true
		helper := w.chooseHelper()
		if helper == "" {
			return
		}
		tries++
		go func() { results <- w.appendBy(ctx, helper) }()
	}
	var failure error
	for {
		select {
		case err := <-results:
			if err == nil {
				return true, nil
			}
			failure = errors.Join(failure, err)
			tries--
			help()
			if tries == 0 {
				return false, failure
			}
		case <-hedge.C:
			help()
		}
	}
}

// hedgeAfter is how long this instance's own append is waited for.
func (k *Keeper) hedgeAfter() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.directFailing || !k.health.OK() {
		return 0
	}
	return hedgeDelay
}

// appendDirect makes one append by this instance.
func (k *Keeper) appendDirect(ctx context.Context, p *partition, records []platform.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := k.store.Append(ctx, platform.Append{Topic: topic, Partition: p.number, Records: records})
	k.noteAppend(err)
	return err
}

// noteAppend remembers whether this instance's appends succeed, and logs when
// that changes.
func (k *Keeper) noteAppend(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if errors.Is(err, context.Canceled) {
		return // another instance was faster, or the caller left
	}
	failing := err != nil
	if failing == k.directFailing {
		return
	}
	k.directFailing = failing
	if failing {
		k.log.Warn("turns cannot be appended", "error", err.Error())
		return
	}
	k.log.Info("turns can be appended again")
}

// chooseHelper chooses another instance to append the turns, one that was not
// asked yet if there is any.
func (w *writing) chooseHelper() structs.InstanceID {
	others := w.keeper.directory.Others()
	if len(others) == 0 {
		return ""
	}
	begin := rand.IntN(len(others))
	now := time.Now()
	w.keeper.mu.Lock()
	defer w.keeper.mu.Unlock()
	best := others[begin].ID
	for i := range others {
		id := others[(begin+i)%len(others)].ID
		if !contains(w.helpers, id) && !now.Before(w.keeper.unableUntil[id]) {
			best = id
			break
		}
	}
	w.helpers = append(w.helpers, best)
	return best
}

// appendBy has another instance append the turns.
func (w *writing) appendBy(ctx context.Context, helper structs.InstanceID) error {
	answer := w.keeper.ask(ctx, helper, func(number uint64) structs.Message {
		return &structs.KeepRequest{Number: number, Partition: w.partition.number, Turns: w.turns}
	})
	if reply, ok := answer.(*structs.KeepReply); ok && reply.Kept {
		return nil
	}
	if ctx.Err() == nil {
		w.keeper.setUnable(helper)
	}
	return errNotKept
}

// receiveKeep appends turns for another instance.
func (k *Keeper) receiveKeep(from structs.InstanceID, m *structs.KeepRequest) {
	if m.Partition < 0 || m.Partition >= len(k.partitions) {
		k.log.Warn("turns for an unknown partition ignored", "peer", from, "partition", m.Partition)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.spawn(func() {
		p := k.partitions[m.Partition]
		records, err := encodeTurns(m.Turns)
		if err == nil {
			err = k.appendDirect(k.ctx, p, records)
		}
		if err == nil {
			k.learn(m.Turns, p.number)
		}
		k.peers.Send(from, &structs.KeepReply{Number: m.Number, Kept: err == nil})
	})
}
