package holders

import (
	"context"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Queries tracks the queries to other instances in flight. The zero value is ready for
// use. It is safe for concurrent use.
type Queries[R any] struct {
	mu         sync.Mutex
	lastNumber uint64
	// pending are the queries in flight, by number.
	pending map[uint64]pendingQuery[R]
}

type pendingQuery[R any] struct {
	to structs.InstanceID
	// results receives the reply, or false if there will be none.
	results chan<- result[R]
}

type result[R any] struct {
	reply R
	ok    bool
}

// Round is a query to several instances.
type Round[R any] struct {
	queries     *Queries[R]
	first, last uint64
	results     <-chan result[R]
}

// Begin sends a query to instances with the given function, which gets the number that
// the reply must carry, and returns false if there will be no reply. Collect or Cancel
// must be called.
func (q *Queries[R]) Begin(to []structs.InstanceID, send func(to structs.InstanceID, number uint64) bool) *Round[R] {
	results := make(chan result[R], len(to))
	q.mu.Lock()
	if q.pending == nil {
		q.pending = make(map[uint64]pendingQuery[R])
	}
	round := &Round[R]{queries: q, first: q.lastNumber + 1, results: results}
	for _, id := range to {
		q.lastNumber++
		q.pending[q.lastNumber] = pendingQuery[R]{id, results}
	}
	round.last = q.lastNumber
	q.mu.Unlock()
	for i, id := range to {
		if number := round.first + uint64(i); !send(id, number) {
			q.end(number)
		}
	}
	return round
}

// Asked returns the number of instances that were queried.
func (r *Round[R]) Asked() int { return int(r.last - r.first + 1) }

// Collect waits for replies until one is sufficient, all have arrived or the timeout has
// passed. After the timeout, it also returns the instances that have not replied.
func (r *Round[R]) Collect(ctx context.Context, timeout time.Duration, sufficient func(R) bool) (replies []R, silent []structs.InstanceID) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	defer r.Cancel()
	for range r.Asked() {
		select {
		case received := <-r.results:
			if !received.ok {
				continue
			}
			replies = append(replies, received.reply)
			if sufficient(received.reply) {
				return replies, nil
			}
		case <-timer.C:
			return replies, r.Cancel()
		case <-ctx.Done():
			return replies, nil
		}
	}
	return replies, nil
}

// Cancel abandons the query and returns the instances that have not replied.
func (r *Round[R]) Cancel() []structs.InstanceID {
	r.queries.mu.Lock()
	defer r.queries.mu.Unlock()
	var silent []structs.InstanceID
	for number := r.first; number <= r.last; number++ {
		if query, ok := r.queries.pending[number]; ok {
			silent = append(silent, query.to)
			delete(r.queries.pending, number)
		}
	}
	return silent
}

// Receive handles the reply of an instance to the query with a number.
func (q *Queries[R]) Receive(from structs.InstanceID, number uint64, reply R) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if query, ok := q.pending[number]; ok && query.to == from {
		delete(q.pending, number)
		query.results <- result[R]{reply, true}
	}
}

// end ends a query without a reply.
func (q *Queries[R]) end(number uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if query, ok := q.pending[number]; ok {
		delete(q.pending, number)
		query.results <- result[R]{}
	}
}

// PeerDown ends the queries to an unresponsive instance.
func (q *Queries[R]) PeerDown(id structs.InstanceID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for number, query := range q.pending {
		if query.to == id {
			delete(q.pending, number)
			query.results <- result[R]{}
		}
	}
}
