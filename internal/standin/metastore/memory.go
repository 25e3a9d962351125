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

// errConnectionCut is what a call sees whose connection is cut.
var errConnectionCut = errors.New("connection cut")

// Memory is the stand-in without a network, for tests in virtual time. It takes
// the calls of platform.Store.
type Memory struct {
	log *log

	mu    sync.Mutex
	fault Fault
	calls int
	// freeAt is when a partition has done the appends that it was given.
	freeAt map[partitionID]time.Time
	// DelayedWrites counts the writes that are to take effect late.
	DelayedWrites sync.WaitGroup
}

// NewMemory makes an empty store.
func NewMemory() *Memory { return &Memory{log: newLog(), freeAt: make(map[partitionID]time.Time)} }

// Set puts a fault in force, in place of the one before.
func (m *Memory) Set(f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Calls counts the calls so far.
func (m *Memory) Calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// callLatency is how long the store takes for a call.
const callLatency = 4 * time.Millisecond

// applyFault waits as long as a call on a partition takes and returns what befalls
// it.
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

// maxAppendWait is how long an append may wait for those before it.
const maxAppendWait = 2 * time.Second

// waitForEarlierAppends waits until a partition has done the appends before this one and,
// for the time that it takes, this one. An append whose caller has gone takes
// its time all the same.
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

// memoryPageRecords is the number of records of a page: few, so that tests read
// several.
const memoryPageRecords = 5

// NewestPage reads the newest records of some keys, behind one.
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

// ReadPage reads some records from an offset on. It does not wait for one.
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

// Trim drops history before an offset.
func (m *Memory) Trim(ctx context.Context, topic string, part int, before int64) error {
	if _, err := m.applyFault(ctx, part); err != nil {
		return err
	}
	m.log.trim(partitionID{topic, part}, before)
	return nil
}

// DropHistory drops all records of a partition but the newest of each key.
func (m *Memory) DropHistory(topic string, part int) { m.log.trim(partitionID{topic, part}, 1<<62) }
