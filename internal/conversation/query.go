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
func (m *Manager) indexer(p *partition, exclude []structs.InstanceID) structs.InstanceID {
	ranked := m.directory.Ranked(p.key())
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range ranked {
		if !slices.Contains(exclude, id) && !now.Before(m.unableUntil[id]) {
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
func (m *Manager) markUnable(id structs.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unableUntil[id] = time.Now().Add(unableTime)
}

// query sends a question, made with its number, and waits for the answer. It
// returns nil if none comes in time.
func (m *Manager) query(
	ctx context.Context, to structs.InstanceID, make func(number uint64) structs.Message,
) structs.Message {
	return m.queryWithin(ctx, to, m.currentReplyTimeout, make)
}

// currentReplyTimeout is how long an instance may take that may have to read the store.
func (m *Manager) currentReplyTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.path.Slow(now) {
		return max(replyTimeout, m.path.AppendTimeout(now))
	}
	return replyTimeout
}

// queryWithin is ask with the time that the answer may take, which may change.
func (m *Manager) queryWithin(
	ctx context.Context, to structs.InstanceID, timeout func() time.Duration, make func(number uint64) structs.Message,
) structs.Message {
	q := &pendingQuery{to: to, reply: newReplyChan()}
	m.mu.Lock()
	m.lastNumber++
	number := m.lastNumber
	m.pending[number] = q
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.pending, number)
		m.mu.Unlock()
	}()
	m.peers.Send(to, make(number))
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
			m.peers.Probe(to)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// newReplyChan makes the channel of one answer, with room for it.
func newReplyChan() chan structs.Message { return make(chan structs.Message, 1) }

// deliverReply hands the answer to a question to whoever waits for it.
func (m *Manager) deliverReply(from structs.InstanceID, number uint64, answer structs.Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	q, ok := m.pending[number]
	if !ok || q.to != from {
		return
	}
	delete(m.pending, number)
	q.reply <- answer
}

// peerDown ends the questions to an instance that does not answer.
func (m *Manager) peerDown(id structs.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for number, q := range m.pending {
		if q.to == id {
			delete(m.pending, number)
			q.reply <- nil
		}
	}
}
