package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/feed"
)

// Query requests updates of some topics from an instance.
type Query struct {
	// Offsets maps each topic to the offset from which its copy has to start,
	// feed.FromStart for the whole topic.
	Offsets map[string]int64
	// Wait is how long the instance may hold the query until there are updates.
	Wait time.Duration
	// RelayAddress is the address of the sender if it reads the topics from the store.
	RelayAddress string
	// ReplyTimeout is the time beyond Wait after which the instance counts as
	// unresponsive. It is not sent.
	ReplyTimeout time.Duration
}

// Reply holds an instance's updates for a query.
type Reply struct {
	// Relay indicates that the instance reads the topics from the store.
	Relay bool
	// HeldMs is how long the instance held the query, in milliseconds.
	HeldMs int64
	Topics map[string]TopicReply
}

// TopicReply holds the update of one topic.
type TopicReply struct {
	feed.Copy
	// Failing indicates that the instance's reads of the topic fail.
	Failing bool
}

// HandleQuery replies once there are updates, the first topic is confirmed to be current
// or the query's wait is over. Updates of a topic that is read with pauses are held for
// one such pause, so that the rate of replies does not grow with the rate of changes.
func (n *Node) HandleQuery(ctx context.Context, q Query) (Reply, error) {
	started := time.Now()
	if q.RelayAddress != "" {
		n.relayHint.Store(&q.RelayAddress)
	}
	if q.Wait > 0 {
		n.lastQueriedAt.Store(&started)
	}
	timer := time.NewTimer(max(q.Wait, 0))
	defer timer.Stop()
	urgent := n.Topics[0].Topic
	for expired := q.Wait <= 0; ; {
		updated := n.updateChannels()
		now := time.Now()
		confirmed := urgent.Age(now) < now.Sub(started)
		updates, delay := n.hasUpdates(q)
		held := now.Sub(started)
		if expired || confirmed || (updates && held >= delay) {
			return n.buildReply(q, started)
		}
		var batched <-chan time.Time
		if updates {
			batched = time.After(delay - held)
		}
		select {
		case <-ctx.Done():
			return Reply{}, errors.Wrap(ctx.Err(), "wait for updates")
		case <-timer.C:
			expired = true
		case <-batched:
		case <-updated[0]:
		case <-updated[1]:
		case <-updated[2]:
		case <-updated[3]:
		}
	}
}

// maxWatchedTopics is the number of topics, the slots among them, that a query can wait
// for.
const maxWatchedTopics = 4

// updateChannels returns the channels that are closed on the next update of each topic,
// nil beyond the last one.
func (n *Node) updateChannels() [maxWatchedTopics]<-chan struct{} {
	var channels [maxWatchedTopics]<-chan struct{}
	channels[0] = n.slots.Updated()
	for i, f := range n.Topics {
		channels[i+1] = f.Topic.Updated()
	}
	return channels
}

func (n *Node) forEachTopic(visit func(*feed.Topic)) {
	visit(n.slots)
	for _, f := range n.Topics {
		visit(f.Topic)
	}
}

// hasUpdates reports whether there are records that the sender of a query lacks, and how
// long they may be held to batch further ones.
func (n *Node) hasUpdates(q Query) (updates bool, delay time.Duration) {
	delay = q.Wait
	check := func(f FollowedTopic) {
		from, queried := q.Offsets[f.Topic.Name]
		switch {
		case !queried:
		case from < 0 && f.Topic.Loaded():
			updates, delay = true, 0
		case from >= 0 && f.Topic.LastChanged() >= from:
			updates, delay = true, min(delay, f.Pause)
		}
	}
	check(FollowedTopic{Topic: n.slots})
	for _, f := range n.Topics {
		check(f)
	}
	return updates, delay
}

func (n *Node) buildReply(q Query, started time.Time) (Reply, error) {
	now := time.Now()
	reply := Reply{Relay: n.reading.Load(), HeldMs: now.Sub(started).Milliseconds(), Topics: make(map[string]TopicReply)}
	var failure error
	n.forEachTopic(func(t *feed.Topic) {
		from, queried := q.Offsets[t.Name]
		if !queried {
			return
		}
		c, err := t.Copy(from, now)
		if err != nil {
			failure = err
			return
		}
		_, ok := n.Health.RecoveredAt(t.Name)
		reply.Topics[t.Name] = TopicReply{Copy: c, Failing: !ok}
	})
	return reply, failure
}
