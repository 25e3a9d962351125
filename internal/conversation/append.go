package conversation

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

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
	// and a caller waits for the end of its answer meanwhile. Without help the
	// payoff of two days on which a third of the instances are refused or cut
	// off falls from 0.89 to 0.82 (three seeds each).
	hedgeDelay = 60 * time.Millisecond
	// directPause is the time between two tries of an instance whose appends
	// fail while others make them: refused calls are priced.
	directPause = 250 * time.Millisecond
)

// errNotKept tells that another instance could not append turns.
var errNotKept = errors.New("the other instance did not append the turns")

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
		if !slices.Contains(w.helpers, id) && !now.Before(w.keeper.unableUntil[id]) {
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
