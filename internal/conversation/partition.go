package conversation

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/platform"
)

// pageTimeout bounds the read of one page of up to 1 MB. That takes 100 ms on a link of
// 100 Mbit/s, and some hundred when the store is slow.
const pageTimeout = 900 * time.Millisecond

// partition is the state of this instance's reads and appends of one partition.
type partition struct {
	number int

	// The following fields are guarded by Manager.mu.

	// read is set once the partition was read; all records before the offset
	// next are then in memory.
	read bool
	next int64
	// reading is set while a read is in progress. waiting receives the result
	// of a read that begins after they were added.
	reading bool
	waiting []chan error
	// bytes is the size of the records read since the last trim.
	bytes int
	// corrupt holds the keys of records that cannot be decoded.
	corrupt map[string]bool
	// unavailableUntil is the time until which other partitions are preferred
	// for appends.
	unavailableUntil time.Time
	appends          appendQueue
}

func newPartition(number int) *partition {
	return &partition{number: number, corrupt: make(map[string]bool)}
}

// catchUp reads a partition to its end by a read that begins after the call.
// Concurrent calls share a read.
func (m *Manager) catchUp(ctx context.Context, p *partition) error {
	done := make(chan error, 1)
	m.mu.Lock()
	p.waiting = append(p.waiting, done)
	if !p.reading && !m.stopped {
		p.reading = true
		m.spawn(func() { m.serveReads(p) })
	}
	m.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-m.ctx.Done():
		return m.ctx.Err()
	}
}

// serveReads reads the partition until no call waits for it.
func (m *Manager) serveReads(p *partition) {
	for {
		m.mu.Lock()
		waiting := p.waiting
		p.waiting = nil
		p.reading = len(waiting) > 0
		m.mu.Unlock()
		if len(waiting) == 0 {
			return
		}
		err := m.readToEnd(p)
		if err != nil {
			m.log.Warn("turns not read", "partition", p.number, "error", err.Error())
		}
		for _, done := range waiting {
			done <- err
		}
	}
}

// readToEnd reads the records of a partition that are not in memory yet.
func (m *Manager) readToEnd(p *partition) error {
	m.mu.Lock()
	read := p.read
	m.mu.Unlock()
	if read {
		err := m.readTail(p)
		if !errors.Is(err, platform.ErrTrimmed) {
			return err
		}
	}
	if err := m.readNewest(p); err != nil {
		return err
	}
	return m.readTail(p)
}

// readNewest reads the newest record of each key, page by page.
func (m *Manager) readNewest(p *partition) error {
	start := time.Now()
	after, next, records := "", int64(-1), 0
	for {
		page, more, err := m.newestPage(p, after)
		if err != nil {
			return err
		}
		if next < 0 {
			// Resuming from the end of the first page includes changes made
			// while later pages were read.
			next = page.End
		}
		m.addRecords(p, page.Records)
		records += len(page.Records)
		if !more {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	m.mu.Lock()
	p.read, p.next = true, next
	m.mu.Unlock()
	m.metrics.firstReads.Inc(1)
	m.log.Info("turns read", "partition", p.number, "turns", records, "offset", next,
		"ms", time.Since(start).Milliseconds())
	return nil
}

func (m *Manager) newestPage(p *partition, after string) (platform.Newest, bool, error) {
	ctx, cancel := context.WithTimeout(m.ctx, pageTimeout)
	defer cancel()
	return m.store.NewestPage(ctx, topic, p.number, after)
}

// readTail reads from the offset next to the partition's end. It returns
// platform.ErrTrimmed if some of these records were trimmed.
func (m *Manager) readTail(p *partition) error {
	for {
		m.mu.Lock()
		from := p.next
		m.mu.Unlock()
		page, err := m.readPage(p, from)
		if err != nil {
			return err
		}
		m.addRecords(p, page.Records)
		m.mu.Lock()
		p.next = page.Next
		m.mu.Unlock()
		if page.Next >= page.End {
			return nil
		}
		if page.Next == from {
			return errors.Newf("read of partition %d made no progress at offset %d, end is %d", p.number, from, page.End)
		}
	}
}

func (m *Manager) readPage(p *partition, from int64) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(m.ctx, pageTimeout)
	defer cancel()
	return m.store.ReadPage(ctx, topic, p.number, from, 0)
}

// addRecords adds the turns of records to memory. A record that cannot be
// decoded is logged and skipped; lookups of its conversation are then
// uncertain.
func (m *Manager) addRecords(p *partition, records []platform.Record) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range records {
		p.bytes += len(r.Key) + len(r.Value)
		if len(r.Value) == 0 {
			continue // deleted after its retention
		}
		turn, err := decodeTurn(r)
		if err != nil {
			p.corrupt[r.Key] = true
			m.log.Error("record of a turn ignored", "partition", p.number, "offset", r.Offset, "error", err.Error())
			continue
		}
		m.memory.add(turn, p.number, now)
	}
	m.metrics.bytes.Update(float64(m.memory.bytes))
}
