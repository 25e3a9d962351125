package conversation

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// directPause is the time between two tries of an instance whose appends
	// fail while others make them: refused calls are priced.
	directPause = 250 * time.Millisecond
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
	now := time.Now()
	entries, _ := k.memory.chain(turn, now)
	return lacking(entries, p.number, now)
}

// lacking lists the turns of a conversation that a partition may lack. A turn is
// kept there for its retention, and as long as it has any that continues it
// there; the index of the partition may have dropped it after that.
func lacking(entries []*entry, partition int, now time.Time) []structs.KeptTurn {
	var turns []structs.KeptTurn
	continued := false
	for _, e := range slices.Backward(entries) {
		if e.in(partition) && (continued || now.Before(expiry(e.KeptTurn, now))) {
			continued = true
			continue
		}
		turns = append(turns, e.KeptTurn)
	}
	slices.Reverse(turns)
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
		pause(ctx, wait)
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
	r := &round{writing: w, results: make(chan tryResult, 2)}
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	if w.keeper.triesDirect() {
		r.direct(ctx)
	} else if !r.help(ctx) {
		r.direct(ctx)
	}
	var failure error
	for r.open > 0 {
		select {
		case result := <-r.results:
			r.open--
			if result.err == nil {
				w.keeper.noteWinner(result.direct, r.directOpen)
				return true, nil
			}
			failure = errors.Join(failure, result.err)
			r.help(ctx)
		case <-hedge.C:
			r.help(ctx)
		}
	}
	return false, failure
}

// round is one round of tries of a writing.
type round struct {
	writing *writing
	results chan tryResult
	// open counts the tries under way; directOpen tells that one is this
	// instance's own.
	open       int
	directOpen bool
	helped     bool
}

// tryResult is how one try ended.
type tryResult struct {
	direct bool
	err    error
}

// direct tries by this instance.
func (r *round) direct(ctx context.Context) {
	w := r.writing
	r.open++
	r.directOpen = true
	go func() { r.results <- tryResult{true, w.keeper.appendDirect(ctx, w.partition, w.records)} }()
}

// help tries by another instance, once. It tells whether there is one.
func (r *round) help(ctx context.Context) bool {
	if r.helped {
		return false
	}
	r.helped = true
	helper := r.writing.chooseHelper()
	if helper == "" {
		return false
	}
	r.open++
	go func() { r.results <- tryResult{false, r.writing.appendBy(ctx, helper)} }()
	return true
}

// triesDirect tells whether this instance should try by itself. While its
// appends fail, one turn after each pause does, beside another instance.
func (k *Keeper) triesDirect() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.directFailing && now.Before(k.directAfter) {
		return false
	}
	k.directAfter = now.Add(directPause)
	return true
}

// noteWinner notes that another instance was faster than this one's own try,
// which may then be waiting for an answer that does not come.
func (k *Keeper) noteWinner(direct, directOpen bool) {
	if direct || !directOpen {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.directFailing {
		k.log.Warn("another instance appends turns faster")
	}
	k.directFailing = true
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
	if errors.Is(err, context.Canceled) {
		return // another instance was faster, or the caller left
	}
	k.mu.Lock()
	defer k.mu.Unlock()
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
