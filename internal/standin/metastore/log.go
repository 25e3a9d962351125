// Package metastore is a stand-in of the platform's metadata store for tests.
// It speaks the published protocol over HTTP: a log with topics, partitions,
// conditions, epochs and sequence numbers, keyed topics with the newest record
// of each key, and groups. Faults can be injected while it runs: refusals,
// hanging calls, connection resets, dropped responses, delayed writes, dropped
// history and group rebalances.
package metastore

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxRecentAppends is the number of a writer's last appends whose repetition is
// recognised and gets the same response.
const maxRecentAppends = 5

// keyedPrefix is the prefix of the names of keyed topics.
const keyedPrefix = "keyed."

// partitionID identifies a partition.
type partitionID struct {
	topic string
	part  int
}

// writer is the state of one writer in a partition.
type writer struct {
	epoch    int64
	sequence int64
	// started reports whether the epoch has a sequence number yet.
	started bool
	recent  []recentAppend
}

// recentAppend is an append that took effect.
type recentAppend struct {
	sequence int64
	offset   int64
}

// partition holds the records of one partition.
type partition struct {
	first   int64
	records [][]byte
	writers map[string]*writer
	// newest holds each key's newest record.
	newest map[string]item
}

// item is the newest record of a key.
type item struct {
	offset int64
	value  []byte
}

// log holds all partitions. It is safe for concurrent use.
type log struct {
	mu         sync.Mutex
	partitions map[partitionID]*partition
	// changed is closed and replaced at each append.
	changed chan struct{}
}

func newLog() *log {
	return &log{partitions: make(map[partitionID]*partition), changed: make(chan struct{})}
}

func (l *log) partition(id partitionID) *partition {
	p, ok := l.partitions[id]
	if !ok {
		p = &partition{writers: make(map[string]*writer), newest: make(map[string]item)}
		l.partitions[id] = p
	}
	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// appendRequest is one append.
type appendRequest struct {
	id          partitionID
	records     [][]byte
	expectedEnd *int64
	writer      string
	epoch       int64
	// sequence is nil without a writer.
	sequence *int64
}

// appendResult is the outcome of an append: an HTTP status and the fields of
// its body.
type appendResult struct {
	status   int
	offset   int64
	end      int64
	reason   string
	expected int64
}

// append executes an append.
func (l *log) append(r appendRequest) appendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(r.id)
	w, result, decided := p.checkWriter(r)
	if decided {
		return result
	}
	if r.expectedEnd != nil && *r.expectedEnd != p.end() {
		return appendResult{status: 412, end: p.end()}
	}
	offset := p.end()
	for _, record := range r.records {
		p.add(r.id.topic, record)
	}
	if w != nil && r.sequence != nil {
		w.started, w.sequence = true, *r.sequence
		w.recent = append(w.recent, recentAppend{*r.sequence, offset})
		w.recent = w.recent[max(len(w.recent)-maxRecentAppends, 0):]
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return appendResult{status: 200, offset: offset, end: p.end()}
}

// checkWriter checks the epoch and the sequence number of an append. If it
// returns true, the result is final and nothing is appended.
func (p *partition) checkWriter(r appendRequest) (*writer, appendResult, bool) {
	if r.writer == "" {
		return nil, appendResult{}, false
	}
	w, ok := p.writers[r.writer]
	if !ok {
		w = &writer{epoch: -1}
		p.writers[r.writer] = w
	}
	switch {
	case r.epoch < w.epoch:
		return w, appendResult{status: 409, reason: "fenced"}, true
	case r.epoch > w.epoch:
		if r.expectedEnd != nil && *r.expectedEnd != p.end() {
			return w, appendResult{status: 412, end: p.end()}, true
		}
		*w = writer{epoch: r.epoch}
		return w, appendResult{}, false
	case r.sequence == nil || !w.started:
		return w, appendResult{}, false
	}
	for _, earlier := range w.recent {
		if earlier.sequence == *r.sequence {
			return w, appendResult{status: 200, offset: earlier.offset, end: p.end()}, true
		}
	}
	if *r.sequence != w.sequence+1 {
		return w, appendResult{status: 409, reason: "seq", expected: w.sequence + 1}, true
	}
	return w, appendResult{}, false
}

func (p *partition) add(topic string, record []byte) {
	offset := p.end()
	p.records = append(p.records, record)
	if !strings.HasPrefix(topic, keyedPrefix) || len(record) == 0 {
		return
	}
	length := int(record[0])
	if 1+length > len(record) {
		return
	}
	key, value := string(record[1:1+length]), record[1+length:]
	if len(value) == 0 {
		delete(p.newest, key)
		return
	}
	p.newest[key] = item{offset, value}
}

// read returns the records from an offset on, and waits for one if there are
// none. It returns false if the offset is no longer retained.
func (l *log) read(id partitionID, from int64, wait time.Duration, done <-chan struct{}) (end, first int64, records [][]byte, ok bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		p := l.partition(id)
		end, first = p.end(), p.first
		if from < first {
			l.mu.Unlock()
			return end, first, nil, false
		}
		if from < end {
			records = slices.Clone(p.records[from-first:])
			l.mu.Unlock()
			return end, first, records, true
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			return end, first, nil, true
		case <-done:
			return end, first, nil, true
		}
	}
}

// trim drops the records before an offset. The newest record of each key stays.
func (l *log) trim(id partitionID, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(id)
	before = min(max(before, p.first), p.end())
	p.records = p.records[before-p.first:]
	p.first = before
}

// newestOf returns the newest record of each key, with the keys in order.
func (l *log) newestOf(id partitionID) (keys []string, items map[string]item, end int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(id)
	items = make(map[string]item, len(p.newest))
	for key, it := range p.newest {
		keys = append(keys, key)
		items[key] = it
	}
	slices.Sort(keys)
	return keys, items, p.end()
}

// splitRecords splits the body of an append into records.
func splitRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if len(body)-4 < size {
			return nil, false
		}
		records = append(records, body[4:4+size])
		body = body[4+size:]
	}
	return records, true
}
