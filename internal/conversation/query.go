package conversation

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// replyTimeout is how long an instance may take to answer: a round trip
	// takes a few milliseconds, reading a partition for the first time up to a
	// few hundred.
	replyTimeout = 600 * time.Millisecond
	// unableTime is how long an instance that could not reach the store, or did
	// not answer, is passed over. Outages last for seconds.
	unableTime = time.Second
)

// key is what the rendezvous hash of a partition's index is made of.
func (p *partition) key() string { return "turns/" + strconv.Itoa(p.number) }

// indexer is the instance that should index a partition, passing over those
// that lately could not, and over some; empty if there is none.
func (k *Manager) indexer(p *partition, exclude []structs.InstanceID) structs.InstanceID {
	ranked := k.directory.Ranked(p.key())
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range ranked {
		if !slices.Contains(exclude, id) && !now.Before(k.unableUntil[id]) {
			return id
		}
	}
	// Those that were not able lately are better than none.
	for _, id := range ranked {
		if !slices.Contains(exclude, id) {
			return id
		}
	}
	return ""
}

// markUnable has an instance passed over for a while.
func (k *Manager) markUnable(id structs.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unableUntil[id] = time.Now().Add(unableTime)
}

// query sends a question, made with its number, and waits for the answer. It
// returns nil if none comes in time.
func (k *Manager) query(
	ctx context.Context, to structs.InstanceID, make func(number uint64) structs.Message,
) structs.Message {
	return k.queryWithin(ctx, to, k.currentReplyTimeout, make)
}

// currentReplyTimeout is how long an instance may take that may have to read the store.
func (k *Manager) currentReplyTimeout() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.path.Slow(now) {
		return max(replyTimeout, k.path.AppendTimeout(now))
	}
	return replyTimeout
}

// queryWithin is ask with the time that the answer may take, which may change.
func (k *Manager) queryWithin(
	ctx context.Context, to structs.InstanceID, timeout func() time.Duration, make func(number uint64) structs.Message,
) structs.Message {
	q := &pendingQuery{to: to, reply: newReplyChan()}
	k.mu.Lock()
	k.lastNumber++
	number := k.lastNumber
	k.pending[number] = q
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.pending, number)
		k.mu.Unlock()
	}()
	k.peers.Send(to, make(number))
	begun := time.Now()
	timer := time.NewTimer(timeout())
	defer timer.Stop()
	for {
		select {
		case answer := <-q.reply:
			return answer
		case <-timer.C:
			if left := timeout() - time.Since(begun); left > 0 {
				timer.Reset(left)
				continue
			}
			// The connection may have gone silent for good.
			k.peers.Probe(to)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// newReplyChan makes the channel of one answer, with room for it.
func newReplyChan() chan structs.Message { return make(chan structs.Message, 1) }

// deliverReply hands the answer to a question to whoever waits for it.
func (k *Manager) deliverReply(from structs.InstanceID, number uint64, answer structs.Message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	q, ok := k.pending[number]
	if !ok || q.to != from {
		return
	}
	delete(k.pending, number)
	q.reply <- answer
}

// peerDown ends the questions to an instance that does not answer.
func (k *Manager) peerDown(id structs.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for number, q := range k.pending {
		if q.to == id {
			delete(k.pending, number)
			q.reply <- nil
		}
	}
}
