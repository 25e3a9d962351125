package httpapi

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// errSlowCaller is the cause with which a request is cancelled if its caller
// does not read the response.
var errSlowCaller = errors.New("caller reads too slowly")

// chunkOverhead is the size in bytes that a buffered chunk, and each of its
// texts, counts in addition to its content.
const chunkOverhead = 64

// exchange buffers the commands of the core for one request. The core's loop
// adds them without blocking and the request's handler takes them.
type exchange struct {
	id structs.RequestID
	// limit is the size in bytes of the buffered chunks at which the next one
	// cuts the request off; 0 drops all chunks.
	limit int
	// cancel ends the request's context, with errSlowCaller as cause.
	cancel context.CancelCauseFunc
	// wake holds one element if there may be something to take.
	wake chan struct{}

	mu     sync.Mutex
	chunks []structs.Chunk
	bytes  int
	cutOff bool
	final  structs.Command
}

func newExchange(id structs.RequestID, limit int, cancel context.CancelCauseFunc) *exchange {
	return &exchange{id: id, limit: limit, cancel: cancel, wake: make(chan struct{}, 1)}
}

// addChunk buffers a chunk for the handler, or cuts the request off if the
// buffer has reached its limit. The last chunk may exceed the limit, since the
// rest of a replayed response is one chunk.
func (e *exchange) addChunk(chunk structs.Chunk) {
	if e.limit == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cutOff || e.final != nil {
		return
	}
	if e.bytes >= e.limit {
		e.cutOff = true
		e.chunks = nil
		e.cancel(errSlowCaller)
		return
	}
	e.bytes += chunkSize(chunk)
	e.chunks = append(e.chunks, chunk)
	e.signal()
}

// setFinal stores the command that ends the request; later ones are dropped.
func (e *exchange) setFinal(command structs.Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cutOff || e.final != nil {
		return
	}
	e.final = command
	e.signal()
}

func (e *exchange) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// take removes and returns the buffered chunks, and returns the command that
// ends the request, nil if it has not arrived.
func (e *exchange) take() ([]structs.Chunk, structs.Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	chunks := e.chunks
	e.chunks, e.bytes = nil, 0
	return chunks, e.final
}

func (e *exchange) ended() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.final != nil
}

func chunkSize(chunk structs.Chunk) int {
	size := chunkOverhead + len(chunk.ToolCalls)
	for _, text := range chunk.Texts {
		size += len(text) + chunkOverhead
	}
	return size
}

// registry holds the exchanges by request. It is safe for concurrent use.
type registry struct {
	mu        sync.Mutex
	exchanges map[structs.RequestID]*exchange
}

func newRegistry() *registry {
	return &registry{exchanges: make(map[structs.RequestID]*exchange)}
}

func (r *registry) add(e *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchanges[e.id] = e
}

func (r *registry) remove(id structs.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.exchanges, id)
}

func (r *registry) find(id structs.RequestID) (*exchange, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.exchanges[id]
	return e, ok
}

// deliver routes a command to its request. It drops commands of other kinds and
// those for requests that have ended.
func (r *registry) deliver(command structs.Command) {
	if chunk, ok := command.(structs.ReplyChunk); ok {
		if e, ok := r.find(chunk.Request); ok {
			e.addChunk(chunk.Chunk)
		}
		return
	}
	id, ok := requestOf(command)
	if !ok {
		return
	}
	if e, ok := r.find(id); ok {
		e.setFinal(command)
	}
}

// requestOf returns the request that a command ends, or false if it ends none.
func requestOf(command structs.Command) (structs.RequestID, bool) {
	switch reply := command.(type) {
	case structs.ReplyOutcome:
		return reply.Request, true
	case structs.ReplyProgram:
		return reply.Request, true
	case structs.ReplyPrograms:
		return reply.Request, true
	case structs.ReplySettings:
		return reply.Request, true
	case structs.ReplyApplied:
		return reply.Request, true
	}
	return "", false
}
