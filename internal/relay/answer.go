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
	Topics map[string]Given
}

// Given is what an instance knows of a topic.
type Given struct {
	feed.Copy
	// Failing tells that the instance's reads of the topic fail.
	Failing bool
}

// HandleQuery answers another instance once there is news for it or its wait is over. News
// of a topic that is read with pauses wait as long as such a pause for more: answers
// then follow time and not the number of changes.
func (n *Node) HandleQuery(ctx context.Context, q Query) (Reply, error) {
	begun := time.Now()
	if q.RelayAddress != "" {
		n.hint.Store(&q.RelayAddress)
	}
	if q.Wait > 0 {
		n.followedAt.Store(&begun)
	}
	timer := time.NewTimer(max(q.Wait, 0))
	defer timer.Stop()
	urgent := n.Topics[0].Topic
	for over := q.Wait <= 0; ; {
		moved := n.moved()
		now := time.Now()
		confirmed := urgent.Age(now) < now.Sub(begun)
		news, after := n.hasNews(q)
		held := now.Sub(begun)
		if over || confirmed || (news && held >= after) {
			return n.answer(q, begun)
		}
		var gathered <-chan time.Time
		if news {
			gathered = time.After(after - held)
		}
		select {
		case <-ctx.Done():
			return Reply{}, errors.Wrap(ctx.Err(), "wait for news")
		case <-timer.C:
			over = true
		case <-gathered:
		case <-moved[0]:
		case <-moved[1]:
		case <-moved[2]:
		case <-moved[3]:
		}
	}
}

// movedTopics is how many topics a question may wait for.
const movedTopics = 4

// moved are closed when topics next move; nil where there are fewer topics.
func (n *Node) moved() [movedTopics]<-chan struct{} {
	var channels [movedTopics]<-chan struct{}
	channels[0] = n.slots.Updated()
	for i, f := range n.Topics {
		channels[i+1] = f.Topic.Updated()
	}
	return channels
}

// each calls a function for each topic.
func (n *Node) each(visit func(*feed.Topic)) {
	visit(n.slots)
	for _, f := range n.Topics {
		visit(f.Topic)
	}
}

// hasNews tells whether a question can be answered with records that its sender lacks,
// and how long they may wait for more.
func (n *Node) hasNews(q Query) (news bool, after time.Duration) {
	after = q.Wait
	look := func(f FollowedTopic) {
		from, asked := q.Offsets[f.Topic.Name]
		switch {
		case !asked:
		case from < 0 && f.Topic.Loaded():
			news, after = true, 0
		case from >= 0 && f.Topic.LastChanged() >= from:
			news, after = true, min(after, f.Pause)
		}
	}
	look(FollowedTopic{Topic: n.slots})
	for _, f := range n.Topics {
		look(f)
	}
	return news, after
}

func (n *Node) answer(q Query, begun time.Time) (Reply, error) {
	now := time.Now()
	answer := Reply{Relay: n.reading.Load(), HeldMs: now.Sub(begun).Milliseconds(), Topics: make(map[string]Given)}
	var failure error
	n.each(func(t *feed.Topic) {
		from, asked := q.Offsets[t.Name]
		if !asked {
			return
		}
		c, err := t.Copy(from, now)
		if err != nil {
			failure = err
			return
		}
		_, answers := n.Health.RecoveredAt(t.Name)
		answer.Topics[t.Name] = Given{Copy: c, Failing: !answers}
	})
	return answer, failure
}
