package httpapi

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// errSlowCaller is the cause of a request cut off because its caller does not
// read its answer.
var errSlowCaller = errors.New("caller reads too slowly")

// chunkOverhead is what a waiting chunk counts besides its texts, in bytes.
const chunkOverhead = 64

// exchange is one request that waits for commands of the core. The core's
// loop fills it without blocking and the request's handler empties it.
type exchange struct {
	id structs.RequestID
	// limit is the bytes of waiting chunks from which on no other is taken; 0
	// drops all chunks.
	limit int
	// cancel ends the request's context, with errSlowCaller as cause.
	cancel context.CancelCauseFunc
	// wake has one element if there is something to take.
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

// addChunk keeps a chunk for the handler, or cuts the request off if the
// caller has left too many bytes of those before waiting. The last chunk may
// exceed the limit: the rest of a replayed answer comes as one.
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

// setFinal keeps the command that ends the request; later ones are dropped.
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

// take empties the exchange: the waiting chunks and, if it has come, the
// command that ends the request.
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

// registry finds the exchanges by request.
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

// deliver routes a command to its request. Commands of other kinds and of
// requests that are gone are dropped.
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

// requestOf gives the request that a command ends, false for commands that
// end none.
func requestOf(command structs.Command) (structs.RequestID, bool) {
	switch reply := command.(type) {
	case structs.ReplyEnd:
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
