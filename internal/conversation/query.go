package conversation

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// replyTimeout is how long an instance may take to reply. It covers a round
	// trip and the first read of a partition.
	replyTimeout = 600 * time.Millisecond
	// avoidDuration is how long an instance that could not reach the store, or
	// did not reply, is avoided.
	avoidDuration = time.Second
)

// key returns the rendezvous hash key of the partition's indexer.
func (p *partition) key() string { return "turns/" + strconv.Itoa(p.number) }

// indexer returns the instance that should index a partition, leaving out the
// excluded ones and preferring those that are not avoided. It returns "" if there
// is none.
func (m *Manager) indexer(p *partition, exclude []structs.InstanceID) structs.InstanceID {
	ranked := m.directory.Ranked(p.key())
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range ranked {
		if !slices.Contains(exclude, id) && !now.Before(m.avoidUntil[id]) {
			return id
		}
	}
	// Fall back to the avoided instances.
	for _, id := range ranked {
		if !slices.Contains(exclude, id) {
			return id
		}
	}
	return ""
}

// avoidInstance makes indexer prefer other instances for avoidDuration.
func (m *Manager) avoidInstance(id structs.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.avoidUntil[id] = time.Now().Add(avoidDuration)
}

// query sends a message, built with the number of the query, and waits for the
// reply. It returns nil if none arrives in time.
func (m *Manager) query(
	ctx context.Context, to structs.InstanceID, make func(number uint64) structs.Message,
) structs.Message {
	return m.queryWithin(ctx, to, m.currentReplyTimeout, make)
}

// currentReplyTimeout returns the reply timeout, extended while the store is
// slow, because the other instance may have to read the store.
func (m *Manager) currentReplyTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.storeMonitor.Slow(now) {
		return max(replyTimeout, m.storeMonitor.AppendTimeout(now))
	}
	return replyTimeout
}

// queryWithin is query with a custom timeout, which is reevaluated when it
// expires.
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
	start := time.Now()
	timer := time.NewTimer(timeout())
	defer timer.Stop()
	for {
		select {
		case reply := <-q.reply:
			return reply
		case <-timer.C:
			if left := timeout() - time.Since(start); left > 0 {
				timer.Reset(left)
				continue
			}
			// The connection may be dead without having been closed.
			m.peers.Probe(to)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// newReplyChan returns a buffered channel, so that a reply never blocks its
// sender.
func newReplyChan() chan structs.Message { return make(chan structs.Message, 1) }

// deliverReply passes a reply to the query that waits for it.
func (m *Manager) deliverReply(from structs.InstanceID, number uint64, reply structs.Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	q, ok := m.pending[number]
	if !ok || q.to != from {
		return
	}
	delete(m.pending, number)
	q.reply <- reply
}

// peerDown fails the pending queries to an unresponsive instance.
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
