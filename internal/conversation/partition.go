package conversation

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/platform"
)

// pageTimeout bounds the read of one page of up to 1 MB: 100 ms on a link of
// 100 Mbit/s, some hundred when the store is slow.
const pageTimeout = 900 * time.Millisecond

// partition is what this instance has read of one partition.
type partition struct {
	number int

	// The Keeper's mutex guards what follows.

	// read tells that the partition was read once; all before the offset next
	// is in memory.
	read bool
	next int64
	// reading tells that a read is under way; waiting are those who need one
	// that begins after they came.
	reading bool
	waiting []chan error
	// bytes is the size of the records read since history was last dropped.
	bytes int
	// spoilt are the keys whose records cannot be decoded.
	spoilt map[string]bool
	// awayUntil is how long the partition is tried last for appends.
	awayUntil time.Time
	appends   appendQueue
}

func newPartition(number int) *partition {
	return &partition{number: number, spoilt: make(map[string]bool)}
}

// catchUp reads a partition to its end, by a read that begins after the call.
// Calls that come together share one.
func (k *Manager) catchUp(ctx context.Context, p *partition) error {
	done := make(chan error, 1)
	k.mu.Lock()
	p.waiting = append(p.waiting, done)
	if !p.reading && !k.stopped {
		p.reading = true
		k.spawn(func() { k.readFor(p) })
	}
	k.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-k.ctx.Done():
		return k.ctx.Err()
	}
}

// readFor reads for those who wait, until nobody does.
func (k *Manager) readFor(p *partition) {
	for {
		k.mu.Lock()
		waiting := p.waiting
		p.waiting = nil
		p.reading = len(waiting) > 0
		k.mu.Unlock()
		if len(waiting) == 0 {
			return
		}
		err := k.readToEnd(p)
		if err != nil {
			k.log.Warn("turns not read", "partition", p.number, "error", err.Error())
		}
		for _, done := range waiting {
			done <- err
		}
	}
}

// readToEnd reads what a partition holds beyond what is in memory.
func (k *Manager) readToEnd(p *partition) error {
	k.mu.Lock()
	read := p.read
	k.mu.Unlock()
	if read {
		err := k.readOn(p)
		if !errors.Is(err, platform.ErrTrimmed) {
			return err
		}
	}
	if err := k.readNewest(p); err != nil {
		return err
	}
	return k.readOn(p)
}

// readNewest reads the newest record of each key, page by page.
func (k *Manager) readNewest(p *partition) error {
	begun := time.Now()
	after, next, records := "", int64(-1), 0
	for {
		page, more, err := k.newestPage(p, after)
		if err != nil {
			return err
		}
		if next < 0 {
			// Reading on from the end of the first page misses no change made
			// while later pages were read.
			next = page.End
		}
		k.take(p, page.Records)
		records += len(page.Records)
		if !more {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	k.mu.Lock()
	p.read, p.next = true, next
	k.mu.Unlock()
	k.metrics.loads.Inc(1)
	k.log.Info("turns read", "partition", p.number, "turns", records, "offset", next,
		"ms", time.Since(begun).Milliseconds())
	return nil
}

func (k *Manager) newestPage(p *partition, after string) (platform.Newest, bool, error) {
	ctx, cancel := context.WithTimeout(k.ctx, pageTimeout)
	defer cancel()
	return k.store.NewestPage(ctx, topic, p.number, after)
}

// readOn reads the records behind what is in memory to the partition's end. It
// returns platform.ErrTrimmed if some of them are no longer kept.
func (k *Manager) readOn(p *partition) error {
	for {
		k.mu.Lock()
		from := p.next
		k.mu.Unlock()
		page, err := k.readPage(p, from)
		if err != nil {
			return err
		}
		k.take(p, page.Records)
		k.mu.Lock()
		p.next = page.Next
		k.mu.Unlock()
		if page.Next >= page.End {
			return nil
		}
		if page.Next == from {
			return errors.Newf("the read of partition %d stops at offset %d of %d", p.number, from, page.End)
		}
	}
}

func (k *Manager) readPage(p *partition, from int64) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(k.ctx, pageTimeout)
	defer cancel()
	return k.store.ReadPage(ctx, topic, p.number, from, 0)
}

// take adds the turns of records to memory. A record that cannot be decoded is
// logged and passed over: its conversation is then not found whole.
func (k *Manager) take(p *partition, records []platform.Record) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range records {
		p.bytes += len(r.Key) + len(r.Value)
		if len(r.Value) == 0 {
			continue // dropped after its retention
		}
		turn, err := decodeTurn(r)
		if err != nil {
			p.spoilt[r.Key] = true
			k.log.Error("record of a turn ignored", "partition", p.number, "offset", r.Offset, "error", err.Error())
			continue
		}
		k.memory.add(turn, p.number, now)
	}
	k.metrics.bytes.Update(float64(k.memory.bytes))
}
