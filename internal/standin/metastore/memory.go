package metastore

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/platform"
)

// errConnectionCut is the error of a call whose connection is cut.
var errConnectionCut = errors.New("connection cut")

// Memory is the stand-in without a network, for tests in virtual time. It has
// the methods of platform.Store.
type Memory struct {
	log *log

	mu    sync.Mutex
	fault Fault
	calls int
	// freeAt is when a partition completes its last accepted append.
	freeAt map[partitionID]time.Time
	// DelayedWrites counts the writes that wait for Fault.ApplyDelay.
	DelayedWrites sync.WaitGroup
}

// NewMemory returns an empty store.
func NewMemory() *Memory { return &Memory{log: newLog(), freeAt: make(map[partitionID]time.Time)} }

// Set replaces the fault.
func (m *Memory) Set(f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Calls returns the number of calls so far.
func (m *Memory) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// callLatency is the duration of a call without faults.
const callLatency = 4 * time.Millisecond

// applyFault waits for the duration of a call on a partition and returns the
// fault that applies to it, with the error that the fault causes.
func (m *Memory) applyFault(ctx context.Context, part int) (Fault, error) {
	m.mu.Lock()
	f := m.fault
	if len(f.Partitions) > 0 && !slices.Contains(f.Partitions, part) {
		f = Fault{}
	}
	m.calls++
	m.mu.Unlock()
	select {
	case <-time.After(callLatency + f.Delay):
	case <-ctx.Done():
		return f, ctx.Err()
	}
	switch {
	case f.Unresponsive:
		<-ctx.Done()
		return f, ctx.Err()
	case f.Reset:
		return f, errConnectionCut
	case f.Status == http.StatusInsufficientStorage:
		return f, errors.Mark(errors.Wrapf(platform.ErrBusy, "status %d", f.Status), platform.ErrFull)
	case f.Status != 0:
		return f, errors.Wrapf(platform.ErrBusy, "status %d", f.Status)
	}
	return f, nil
}

// maxAppendWait is the maximum time that an append waits for earlier ones.
const maxAppendWait = 2 * time.Second

// waitForEarlierAppends waits until a partition has completed the earlier
// appends, then for the duration of this one. An append whose caller gives up
// still takes its time.
func (m *Memory) waitForEarlierAppends(ctx context.Context, id partitionID, duration time.Duration) error {
	if duration == 0 {
		return nil
	}
	m.mu.Lock()
	now := time.Now()
	begin := m.freeAt[id]
	if begin.Before(now) {
		begin = now
	}
	if begin.Sub(now) > maxAppendWait {
		m.mu.Unlock()
		return errors.Wrap(platform.ErrBusy, "too many appends wait")
	}
	end := begin.Add(duration)
	m.freeAt[id] = end
	m.mu.Unlock()
	select {
	case <-time.After(time.Until(end)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Append appends records.
func (m *Memory) Append(ctx context.Context, a platform.Append) (int64, error) {
	f, err := m.applyFault(ctx, a.Partition)
	if err != nil {
		return 0, err
	}
	if err := m.waitForEarlierAppends(ctx, partitionID{a.Topic, a.Partition}, f.AppendTime); err != nil {
		return 0, err
	}
	request := appendRequest{id: partitionID{a.Topic, a.Partition}, expectedEnd: a.ExpectedEnd}
	for _, r := range a.Records {
		record := append([]byte{byte(len(r.Key))}, r.Key...)
		request.records = append(request.records, append(record, r.Value...))
	}
	if a.Writer != nil {
		request.writer, request.epoch, request.sequence = a.Writer.Name, a.Writer.Epoch, &a.Writer.Sequence
	}
	if f.DropResponse {
		m.DelayedWrites.Go(func() {
			time.Sleep(f.ApplyDelay)
			m.log.append(request)
		})
		if f.ApplyDelay == 0 {
			m.DelayedWrites.Wait()
		}
		return 0, errConnectionCut
	}
	result := m.log.append(request)
	switch {
	case result.status == 412:
		return 0, platform.ErrCondition
	case result.reason == "seq":
		return 0, &platform.SequenceError{Expected: result.expected}
	case result.reason != "":
		return 0, platform.ErrFenced
	}
	return result.offset, nil
}

// Newest reads the newest record of each key.
func (m *Memory) Newest(ctx context.Context, topic string, part int) (platform.Newest, error) {
	if _, err := m.applyFault(ctx, part); err != nil {
		return platform.Newest{}, err
	}
	return m.newest(topic, part), nil
}

func (m *Memory) newest(topic string, part int) platform.Newest {
	keys, items, end := m.log.newestOf(partitionID{topic, part})
	newest := platform.Newest{End: end}
	for _, key := range keys {
		newest.Records = append(newest.Records, platform.Record{Key: key, Value: items[key].value, Offset: items[key].offset})
	}
	return newest
}

// memoryPageRecords is the number of records of a page. It is small so that
// tests read several pages.
const memoryPageRecords = 5

// NewestPage reads one page of the newest records, with keys greater than
// after.
func (m *Memory) NewestPage(ctx context.Context, topic string, part int, after string) (platform.Newest, bool, error) {
	if _, err := m.applyFault(ctx, part); err != nil {
		return platform.Newest{}, false, err
	}
	page := m.newest(topic, part)
	page.Records = slices.DeleteFunc(page.Records, func(r platform.Record) bool { return r.Key <= after })
	more := len(page.Records) > memoryPageRecords
	if more {
		page.Records = page.Records[:memoryPageRecords]
	}
	return page, more, nil
}

// ReadPage reads one page of records from an offset on. It does not wait for
// records.
func (m *Memory) ReadPage(
	ctx context.Context, topic string, part int, from int64, _ time.Duration,
) (platform.Page, error) {
	if _, err := m.applyFault(ctx, part); err != nil {
		return platform.Page{Next: from}, err
	}
	end, _, records, ok := m.log.read(partitionID{topic, part}, from, 0, ctx.Done())
	if !ok {
		return platform.Page{Next: from}, platform.ErrTrimmed
	}
	page := platform.Page{Next: from, End: end}
	for _, record := range records[:min(len(records), memoryPageRecords)] {
		key := string(record[1 : 1+record[0]])
		page.Records = append(page.Records, platform.Record{Key: key, Value: record[1+len(key):], Offset: page.Next})
		page.Next++
	}
	return page, nil
}

// Trim drops the records before an offset.
func (m *Memory) Trim(ctx context.Context, topic string, part int, before int64) error {
	if _, err := m.applyFault(ctx, part); err != nil {
		return err
	}
	m.log.trim(partitionID{topic, part}, before)
	return nil
}

// DropHistory drops all records of a partition except the newest of each key.
func (m *Memory) DropHistory(topic string, part int) { m.log.trim(partitionID{topic, part}, 1<<62) }
