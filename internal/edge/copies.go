package edge

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/platform"
)

// The operator's settings and the targets' registrations each lie in a single partition.
// While the store does not serve that partition, a starting instance reads a copy from
// another one.

const (
	// topicCopies holds the same copies in each of its partitions.
	topicCopies = platform.KeyedPrefix + "copies"
	// copyInterval is the minimum time between two writes of a copy by one instance, so
	// that changes in quick succession are written once.
	copyInterval = 4 * time.Second
	// copyTimeout bounds a call to the store for a copy.
	copyTimeout = 700 * time.Millisecond
	// maxCopyRate bounds the bytes per second that the copies of one topic take in a
	// partition: larger copies are written less often.
	maxCopyRate = 8 << 10
	// copyRetryInterval is the time between two attempts to read a copy.
	copyRetryInterval = 100 * time.Millisecond
)

// copiedTopics lists the topics that are copied.
func (e *edge) copiedTopics() []*feed.Topic { return []*feed.Topic{e.settings, e.targets} }

// copyKey identifies the copy of a topic in a partition.
type copyKey struct {
	partition int
	topic     string
}

// writeCopies keeps the copies up to date. The copies in a partition are written by the
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
			for _, topic := range e.copiedTopics() {
				e.writeCopy(ctx, topic, partition, written)
			}
		}
	}
}

// writtenCopy describes the copy of a topic that this instance last wrote to a partition.
type writtenCopy struct {
	changed int64
	at      time.Time
	bytes   int
}

// due reports whether the next copy may be written without exceeding maxCopyRate.
func (w writtenCopy) due(now time.Time) bool {
	return now.Sub(w.at) >= time.Duration(float64(w.bytes)/maxCopyRate*float64(time.Second))
}

// writeCopy writes a copy of a topic if the topic has changed since the last one.
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

// encodeCopy encodes the value of a copy's record.
func (e *edge) encodeCopy(topic *feed.Topic, now time.Time) ([]byte, error) {
	topicCopy, err := topic.Copy(feed.FromStart, now)
	if err != nil {
		return nil, err
	}
	topicCopy.AgeMs = feed.UnknownAge // the copy ages in the store
	return topicCopy.Encode()
}

// copiesBeforeMerge is the number of partitions whose copies are read before any is
// merged, since one partition's copy may be older than the others.
const copiesBeforeMerge = 2

// readCopies reads copies until the settings and the targets are known, from any source.
func (e *edge) readCopies(ctx context.Context) {
	found := make([]map[string]feed.Copy, 0, copiesBeforeMerge)
	for ctx.Err() == nil && !(e.server.Table() != nil && e.targets.Loaded()) {
		if !e.health.OK() && e.relay.MayReadCopies() {
			if copies := e.readCopy(ctx, rand.IntN(e.machine.Store.Partitions)); len(copies) > 0 {
				found = append(found, copies)
			}
		}
		if len(found) == copiesBeforeMerge {
			for _, copies := range found {
				e.mergeCopies(copies)
			}
			found = found[:0]
		}
		select {
		case <-ctx.Done():
		case <-time.After(copyRetryInterval):
		}
	}
}

// readCopy reads the copies in one partition.
func (e *edge) readCopy(ctx context.Context, partition int) map[string]feed.Copy {
	call, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	list, err := e.store.Newest(call, topicCopies, partition)
	if err != nil {
		e.log.Debug("failed to read copies", "partition", partition, "error", err.Error())
		return nil
	}
	copies := make(map[string]feed.Copy)
	for _, r := range list.Records {
		found, err := feed.DecodeCopy(r.Value)
		if err != nil {
			e.log.Error("ignored malformed copy", "topic", r.Key, "partition", partition, "error", err.Error())
			continue
		}
		copies[r.Key] = found
	}
	return copies
}

// mergeCopies merges copies read from the store into their topics.
func (e *edge) mergeCopies(copies map[string]feed.Copy) {
	for _, topic := range e.copiedTopics() {
		topicCopy, ok := copies[topic.Name]
		if !ok {
			continue
		}
		merged, err := topic.MergeCopy(topicCopy, time.Now())
		if err != nil {
			e.log.Error("ignored malformed copy", "topic", topic.Name, "error", err.Error())
			continue
		}
		e.log.Info("records taken from a copy", "topic", topic.Name, "records", merged, "source", topicCopies)
	}
}
