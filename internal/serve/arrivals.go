package serve

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/memlimit"
)

// evictionTimeout bounds the wait for evicted requests to release their memory.
const evictionTimeout = 250 * time.Millisecond

// errBodyTooSlow indicates a request that was evicted.
var errBodyTooSlow = errors.New("the body is incomplete while memory is short")

// arrivals are the requests whose bodies are incomplete, those that began first in front.
// It is safe for concurrent use; the zero value is empty.
type arrivals struct {
	mu       sync.Mutex
	requests list.List
}

// arrival is a request whose body is incomplete.
type arrival struct {
	place *list.Element
	since time.Time
	held  *memlimit.Account
	// interrupt ends the read of the body.
	interrupt func()
	// evicted indicates that the read was interrupted. It is guarded by the mutex of
	// arrivals.
	evicted bool
	// left is closed once the request holds no memory or its body is complete.
	left chan struct{}
}

// add registers a request.
func (a *arrivals) add(held *memlimit.Account, interrupt func()) *arrival {
	request := &arrival{since: time.Now(), held: held, interrupt: interrupt, left: make(chan struct{})}
	a.mu.Lock()
	defer a.mu.Unlock()
	request.place = a.requests.PushBack(request)
	return request
}

// remove removes a request, whose read is not interrupted afterwards, and reports whether it
// was evicted.
func (a *arrivals) remove(request *arrival) (evicted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests.Remove(request.place)
	close(request.left)
	return request.evicted
}

// evict interrupts requests other than self that began before a time, the first of them
// first, until they hold a number of bytes. It returns those that release the bytes, none
// if they hold too few.
func (a *arrivals) evict(bytes int64, before time.Time, self *arrival) []*arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	var chosen []*arrival
	for e := a.requests.Front(); e != nil && bytes > 0; e = e.Next() {
		request := e.Value.(*arrival)
		if !request.since.Before(before) {
			break
		}
		if request != self {
			chosen = append(chosen, request)
			bytes -= request.held.Held()
		}
	}
	if bytes > 0 {
		return nil
	}
	for _, request := range chosen {
		if !request.evicted {
			request.evicted = true
			request.interrupt()
		}
	}
	return chosen
}

// withRoom reserves memory. If that is short it evicts requests whose bodies have been
// incomplete for longer than the header timeout, and tries again.
func (x *transfer) withRoom(self *arrival, reserve func() error) error {
	err := reserve()
	var short *memlimit.LimitError
	if !errors.As(err, &short) {
		return err
	}
	stale := time.Now().Add(-x.server.inbound.HeaderTimeout())
	evicted := x.server.arrivals.evict(short.Shortage, stale, self)
	if len(evicted) == 0 || !x.awaitEvicted(evicted) {
		return err
	}
	return reserve()
}

// awaitEvicted waits until evicted requests have released their memory, and reports whether
// they have.
func (x *transfer) awaitEvicted(evicted []*arrival) bool {
	ctx, cancel := context.WithTimeout(x.ctx, evictionTimeout)
	defer cancel()
	for _, request := range evicted {
		select {
		case <-request.left:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
