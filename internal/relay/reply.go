package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/feed"
)

// Query asks an instance for what is new in some topics.
type Query struct {
	// Offsets is the offset for each topic that the copy has to begin at, feed.Unread for
	// all of a topic that is not known.
	Offsets map[string]int64
	// Wait is how long the answer may wait for news.
	Wait time.Duration
	// RelayAddress is the address of the sender if it reads the topics from the store.
	RelayAddress string
	// ReplyTimeout is how long the answer may take beyond that before the instance counts
	// as silent; it is not sent.
	ReplyTimeout time.Duration
}

// Reply is what an instance knows.
type Reply struct {
	// Relay tells that the instance reads the topics from the store.
	Relay bool
	// HeldMs is how long the question waited at the instance, in milliseconds.
	HeldMs int64
	Topics map[string]TopicReply
}

// TopicReply is what an instance knows of a topic.
type TopicReply struct {
	feed.Copy
	// Failing tells that the instance's reads of the topic fail.
	Failing bool
}

// HandleQuery answers another instance once there is news for it or its wait is over. News
// of a topic that is read with pauses wait as long as such a pause for more: answers
// then follow time and not the number of changes.
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
			return Reply{}, errors.Wrap(ctx.Err(), "wait for news")
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

// maxWatchedTopics is how many topics a question may wait for.
const maxWatchedTopics = 4

// updateChannels are closed when topics next move; nil where there are fewer topics.
func (n *Node) updateChannels() [maxWatchedTopics]<-chan struct{} {
	var channels [maxWatchedTopics]<-chan struct{}
	channels[0] = n.slots.Updated()
	for i, f := range n.Topics {
		channels[i+1] = f.Topic.Updated()
	}
	return channels
}

// forEachTopic calls a function for each topic.
func (n *Node) forEachTopic(visit func(*feed.Topic)) {
	visit(n.slots)
	for _, f := range n.Topics {
		visit(f.Topic)
	}
}

// hasUpdates tells whether a question can be answered with records that its sender lacks,
// and how long they may wait for more.
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
