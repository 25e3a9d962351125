package budget

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	// recordTimeout is how long turns wait for a record while the store fails. Their
	// callers may find another way after that.
	recordTimeout = 300 * time.Millisecond
	// degradedRecordTimeout replaces recordTimeout while reads of other topics fail.
	degradedRecordTimeout = 60 * time.Millisecond
	// minWriteBackoff and maxWriteBackoff bound the pause between two attempts of an
	// append, which doubles each time.
	minWriteBackoff = 20 * time.Millisecond
	maxWriteBackoff = 320 * time.Millisecond
	// maxBatchRecords bounds the records of one append, to stay below the store's
	// request size limit.
	maxBatchRecords = 500
)

// scheduleWrite schedules the write of an account's record. The mutex is held.
func (m *Manager) scheduleWrite(p *partition, a *account) {
	own := p.own
	own.dirty[a] = true
	if !own.claimed {
		m.startClaim(p)
		return
	}
	if own.writing {
		return
	}
	own.writing = true
	m.spawn(func() { m.write(p, own) })
}

// batch holds the records of one append.
type batch struct {
	accounts []*account
	limits   []int
	records  []platform.Record
	writer   platform.Writer
}

// nextBatch collects the records to be written. It returns nil and clears writing if
// there are none or the ownership has ended.
func (m *Manager) nextBatch(p *partition, own *ownership) *batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.own != own || len(own.dirty) == 0 {
		own.writing = false
		return nil
	}
	b := new(batch)
	for a := range own.dirty {
		if len(b.accounts) == maxBatchRecords {
			break
		}
		delete(own.dirty, a)
		if a.pendingLimit <= a.limit {
			// The record was written in the meantime, and a record must never be below
			// the limit.
			continue
		}
		b.accounts = append(b.accounts, a)
		b.limits = append(b.limits, a.pendingLimit)
		b.records = append(b.records, platform.Record{
			Key:   programPrefix + a.program,
			Value: encode(accountRecord{Budget: a.budget, MaxTurn: a.maxTurn, Limit: a.pendingLimit, Crashes: own.crashes}),
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

// write appends batches until no record is left.
func (m *Manager) write(p *partition, own *ownership) {
	for {
		b := m.nextBatch(p, own)
		if b == nil {
			return
		}
		if err := m.appendBatch(p, own, b); err != nil {
			m.abortWrites(p, own, err)
			return
		}
		m.applyBatch(p, own, b)
	}
}

// appendBatch appends a batch and retries until the outcome is known. The sequence
// number makes retries idempotent.
func (m *Manager) appendBatch(p *partition, own *ownership, b *batch) error {
	started := time.Now()
	backoff := minWriteBackoff
	for {
		err := m.appendOnce(p, b)
		if err == nil || permanent(err) || m.ctx.Err() != nil {
			return err
		}
		if time.Since(started) > m.writeTimeout() && !m.markWriteFailing(p, own) {
			return err
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxWriteBackoff)
	}
}

func (m *Manager) appendOnce(p *partition, b *batch) error {
	ctx, cancel := m.storeContext()
	defer cancel()
	_, err := m.store.Append(ctx, platform.Append{
		Topic: topic, Partition: p.number, Records: b.records, Writer: &b.writer,
	})
	var outOfSequence *platform.SequenceError
	if errors.As(err, &outOfSequence) && outOfSequence.Expected == b.writer.Sequence+1 {
		// An earlier attempt took effect, but its response was lost.
		return nil
	}
	return err
}

// permanent reports whether retrying a failed append is useless.
func permanent(err error) bool {
	var outOfSequence *platform.SequenceError
	return errors.Is(err, platform.ErrFenced) || errors.Is(err, platform.ErrRejected) || errors.As(err, &outOfSequence)
}

// writeTimeout returns how long turns wait for a record.
func (m *Manager) writeTimeout() time.Duration {
	if m.health.OK() {
		return recordTimeout
	}
	return degradedRecordTimeout
}

// markWriteFailing marks the partition as unwritable and refuses the turns that wait
// for a record. It returns false if the ownership has ended.
func (m *Manager) markWriteFailing(p *partition, own *ownership) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.own != own {
		return false
	}
	own.writeFailing = true
	m.refuseRecordWaiters(p)
	return true
}

// refuseRecordWaiters refuses the turns that wait for a record of a partition. Those
// that may get tokens from other turns of their program wait on. The mutex is held.
func (m *Manager) refuseRecordWaiters(p *partition) {
	if p.own == nil {
		return
	}
	for _, a := range p.own.accounts {
		if len(a.waiters) > 0 && a.leased == 0 {
			m.refuseWaiters(a, structs.ReservationNotRecorded, "")
		}
	}
}

// applyBatch raises the limits to those of a written batch.
func (m *Manager) applyBatch(p *partition, own *ownership, b *batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.metrics.records.Inc(int64(len(b.accounts)))
	if p.own != own {
		return
	}
	own.writeFailing = false
	for i, a := range b.accounts {
		a.limit, a.recorded = max(a.limit, b.limits[i]), true
		if a.pendingLimit <= b.limits[i] {
			a.pendingLimit = 0
		}
		m.serveWaiters(p, a)
	}
}

// abortWrites ends the ownership: another instance has claimed the partition, or the
// store's state is not the expected one.
func (m *Manager) abortWrites(p *partition, own *ownership, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	own.writing = false
	if p.own == own {
		m.dropOwnership(p, "", err.Error())
		p.owner = ""
	}
}
