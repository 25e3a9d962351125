package budget

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	// storePatience is how long turns wait for a record while the store fails;
	// their callers may find another way after that.
	storePatience = 300 * time.Millisecond
	// doubtPatience is the same while reads of other topics fail: a few tries.
	doubtPatience = 60 * time.Millisecond
	// writeRetryFirst and writeRetryMost bound the pause between two tries of
	// an append; it doubles. Refused calls are priced.
	writeRetryFirst = 20 * time.Millisecond
	writeRetryMost  = 320 * time.Millisecond
	// maxBatch bounds the records of one append, far below the store's limit
	// of bytes for a call.
	maxBatch = 500
)

// startWrite has an account's record written. The mutex is held.
func (k *Manager) startWrite(p *partition, a *account) {
	own := p.own
	own.dirty[a] = true
	if !own.claimed {
		k.startClaim(p)
		return
	}
	if own.writing {
		return
	}
	own.writing = true
	k.spawn(func() { k.write(p, own) })
}

// batch is the records of one append.
type batch struct {
	accounts []*account
	wants    []int
	records  []platform.Record
	writer   platform.Writer
}

// takeBatch gathers the records to be written. It returns nil and ends the
// writing if there are none, or if the ownership has ended.
func (k *Manager) takeBatch(p *partition, own *ownership) *batch {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p.own != own || len(own.dirty) == 0 {
		own.writing = false
		return nil
	}
	b := new(batch)
	for a := range own.dirty {
		if len(b.accounts) == maxBatch {
			break
		}
		delete(own.dirty, a)
		if a.want <= a.limit {
			// The record was written since: a record must never fall below
			// the limit.
			continue
		}
		b.accounts = append(b.accounts, a)
		b.wants = append(b.wants, a.want)
		b.records = append(b.records, platform.Record{
			Key:   programPrefix + a.program,
			Value: encode(accountRecord{Budget: a.budget, Most: a.most, Limit: a.want, Losses: own.losses}),
		})
	}
	if len(b.accounts) == 0 {
		own.writing = false
		return nil
	}
	own.sequence++
	b.writer = platform.Writer{Name: writerName, Epoch: own.epoch, Sequence: own.sequence}
	return b
}

// write appends batches until there is nothing to write.
func (k *Manager) write(p *partition, own *ownership) {
	for {
		b := k.takeBatch(p, own)
		if b == nil {
			return
		}
		if err := k.appendBatch(p, own, b); err != nil {
			k.giveUpWriting(p, own, err)
			return
		}
		k.written(p, own, b)
	}
}

// appendBatch appends a batch and repeats it until its outcome is known. The
// sequence number makes the repeats take effect once.
func (k *Manager) appendBatch(p *partition, own *ownership, b *batch) error {
	started := time.Now()
	wait := writeRetryFirst
	for {
		err := k.appendOnce(p, b)
		if err == nil || final(err) || k.ctx.Err() != nil {
			return err
		}
		if time.Since(started) > k.patience() && !k.noteFailing(p, own) {
			return err
		}
		time.Sleep(wait)
		wait = min(2*wait, writeRetryMost)
	}
}

// appendOnce makes one try of an append.
func (k *Manager) appendOnce(p *partition, b *batch) error {
	ctx, cancel := k.storeContext()
	defer cancel()
	_, err := k.store.Append(ctx, platform.Append{
		Topic: topic, Partition: p.number, Records: b.records, Writer: &b.writer,
	})
	var outOfSequence *platform.SequenceError
	if errors.As(err, &outOfSequence) && outOfSequence.Expected == b.writer.Sequence+1 {
		// An earlier try took effect without an answer.
		return nil
	}
	return err
}

// final tells whether an append that failed cannot succeed when it is repeated.
func final(err error) bool {
	var outOfSequence *platform.SequenceError
	return errors.Is(err, platform.ErrFenced) || errors.Is(err, platform.ErrRejected) || errors.As(err, &outOfSequence)
}

// patience is how long turns wait for a record.
func (k *Manager) patience() time.Duration {
	if k.health.OK() {
		return storePatience
	}
	return doubtPatience
}

// noteFailing notes that records cannot be written for now and refuses the
// turns that wait for them. It returns false if the ownership has ended.
func (k *Manager) noteFailing(p *partition, own *ownership) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p.own != own {
		return false
	}
	own.failing = true
	k.refuseWaiting(p)
	return true
}

// refuseWaiting refuses the turns that wait for a record of a partition. Those
// that may get room from other turns of their program wait on. The mutex is
// held.
func (k *Manager) refuseWaiting(p *partition) {
	if p.own == nil {
		return
	}
	for _, a := range p.own.accounts {
		if len(a.asks) > 0 && a.leased == 0 {
			k.refuseAsks(a, structs.RoomNoRecord, "")
		}
	}
}

// written raises the limits that a batch has recorded.
func (k *Manager) written(p *partition, own *ownership, b *batch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.metrics.records.Inc(int64(len(b.accounts)))
	if p.own != own {
		return
	}
	own.failing = false
	for i, a := range b.accounts {
		a.limit, a.recorded = max(a.limit, b.wants[i]), true
		if a.want <= b.wants[i] {
			a.want = 0
		}
		k.serveAsks(p, a)
	}
}

// giveUpWriting ends the ownership: another instance has claimed the
// partition, or the store's state is not the one expected.
func (k *Manager) giveUpWriting(p *partition, own *ownership, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	own.writing = false
	if p.own == own {
		k.dropOwnership(p, "", err.Error())
		p.owner = ""
	}
}
