package edge

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/platform"
)

// The operator's settings and the targets' registrations lie in one partition
// each. While the store does not serve those, an instance that starts reads a
// copy from another partition.

const (
	// topicCopies holds the same copies in each of its partitions.
	topicCopies = platform.KeyedPrefix + "copies"
	// copyInterval is the least time between two writes of a copy by one
	// instance; registrations change in series.
	copyInterval = 4 * time.Second
	// copyTimeout bounds a call for a copy.
	copyTimeout = 700 * time.Millisecond
	// copyRate bounds the bytes a second that the copies of one topic take in a
	// partition: larger ones are written less often.
	copyRate = 8 << 10
	// copyRetry is the time between two tries to read a copy.
	copyRetry = 100 * time.Millisecond
)

// sourceTopics are the topics that are copied.
func (e *edge) sourceTopics() []*feed.Topic { return []*feed.Topic{e.settings, e.targets} }

// copyKey names the copy of a topic in a partition.
type copyKey struct {
	partition int
	topic     string
}

// writeCopies keeps the copies up to date. Each partition's are written by the
// instance that ranks first for it.
func (e *edge) writeCopies(ctx context.Context) {
	written := make(map[copyKey]writtenCopy)
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !e.health.OK() {
			continue
		}
		for partition := range e.machine.Store.Partitions {
			if e.directory.First("copies/"+strconv.Itoa(partition)) != e.directory.Self().ID {
				continue
			}
			for _, topic := range e.sourceTopics() {
				e.writeCopy(ctx, topic, partition, written)
			}
		}
	}
}

// writtenCopy is the copy of a topic that this instance wrote last to a partition.
type writtenCopy struct {
	changed int64
	at      time.Time
	bytes   int
}

// due tells whether the next copy may be written.
func (w writtenCopy) due(now time.Time) bool {
	return now.Sub(w.at) >= time.Duration(float64(w.bytes)/copyRate*float64(time.Second))
}

// writeCopy writes a topic's copy if the topic has changed since the last one.
func (e *edge) writeCopy(ctx context.Context, topic *feed.Topic, partition int, written map[copyKey]writtenCopy) {
	key := copyKey{partition, topic.Name}
	changed, now := topic.LastChanged(), time.Now()
	last, ok := written[key]
	if changed < 0 || (ok && (last.changed == changed || !last.due(now))) {
		return
	}
	value, err := e.encodeCopy(topic, now)
	if err != nil || len(value) > e.machine.Store.MaxRecordBytes {
		e.log.Warn("copy not written", "topic", topic.Name, "bytes", len(value), "error", err)
		written[key] = writtenCopy{changed: changed, at: now, bytes: len(value)}
		return
	}
	call, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	_, err = e.store.Append(call, platform.Append{
		Topic: topicCopies, Partition: partition, Records: []platform.Record{{Key: topic.Name, Value: value}},
	})
	if err != nil {
		e.log.Debug("copy not written", "topic", topic.Name, "error", err.Error())
		return
	}
	written[key] = writtenCopy{changed: changed, at: now, bytes: len(value)}
}

// encodeCopy makes the value of a copy's record.
func (e *edge) encodeCopy(topic *feed.Topic, now time.Time) ([]byte, error) {
	given, err := topic.Copy(feed.FromStart, now)
	if err != nil {
		return nil, err
	}
	given.AgeMs = feed.UnknownAge // it ages in the store
	return given.Encode()
}

// copiesRead is how many partitions' copies are read before they are used: one
// may be a few seconds older than the others.
const copiesRead = 2

// readCopies reads copies until the settings and the targets are known, from
// wherever that is.
func (e *edge) readCopies(ctx context.Context) {
	found := make([]map[string]feed.Copy, 0, copiesRead)
	for ctx.Err() == nil && !(e.server.Table() != nil && e.targets.Loaded()) {
		if !e.health.OK() && e.relay.MayReadCopies() {
			if copies := e.readCopy(ctx, rand.IntN(e.machine.Store.Partitions)); len(copies) > 0 {
				found = append(found, copies)
			}
		}
		if len(found) == copiesRead {
			for _, copies := range found {
				e.takeCopies(copies)
			}
			found = found[:0]
		}
		select {
		case <-ctx.Done():
		case <-time.After(copyRetry):
		}
	}
}

// readCopy reads what one partition holds.
func (e *edge) readCopy(ctx context.Context, partition int) map[string]feed.Copy {
	call, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	list, err := e.store.Newest(call, topicCopies, partition)
	if err != nil {
		e.log.Debug("copies not read", "partition", partition, "error", err.Error())
		return nil
	}
	copies := make(map[string]feed.Copy)
	for _, r := range list.Records {
		found, err := feed.DecodeCopy(r.Value)
		if err != nil {
			e.log.Error("copy ignored", "topic", r.Key, "partition", partition, "error", err.Error())
			continue
		}
		copies[r.Key] = found
	}
	return copies
}

// takeCopies merges copies of topics that the store held.
func (e *edge) takeCopies(copies map[string]feed.Copy) {
	for _, topic := range e.sourceTopics() {
		given, ok := copies[topic.Name]
		if !ok {
			continue
		}
		taken, err := topic.MergeCopy(given, time.Now())
		if err != nil {
			e.log.Error("copy ignored", "topic", topic.Name, "error", err.Error())
			continue
		}
		e.log.Info("records taken from a copy", "topic", topic.Name, "records", taken, "source", topicCopies)
	}
}
