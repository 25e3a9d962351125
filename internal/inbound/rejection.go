package inbound

import (
	"log/slog"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// Rejection is why a request must be refused. Its connection must be closed.
type Rejection struct {
	// Status is the HTTP status of the response. With 503 the request has not run.
	Status int
	Err    error
}

var (
	errBlank        = errors.New("too many empty lines before a request")
	errHeaderSize   = errors.New("the header exceeds the limit")
	errHeaderMemory = errors.New("no memory for an incomplete header")
	errBody         = errors.New("requests have no body here")
)

const (
	// parsedBytesFactor and parsedFieldBytes bound the memory of a header that is held as a
	// map and sent on, for each of its bytes and fields.
	parsedBytesFactor = 4
	parsedFieldBytes  = 192
	// ordinaryHeaderCost is part of what each request reserves.
	ordinaryHeaderCost = 16 << 10
)

// headerCost returns the memory of a header beyond that of an ordinary one, in bytes.
func headerCost(size, fields int) int64 {
	return max(0, int64(parsedBytesFactor*size+parsedFieldBytes*fields)-ordinaryHeaderCost)
}

// cause is why a client was turned away, used in logs and metrics.
type cause string

const (
	causeConnections   cause = "too_many_connections"
	causeNotAdmitted   cause = "all_connections_in_use"
	causeHeaderTimeout cause = "header_timeout"
	causeIdleTimeout   cause = "idle_timeout"
	causeHeaderSize    cause = "header_too_large"
	causeHeaderMemory  cause = "header_memory"
	causeMemory        cause = "request_memory"
	causeBlank         cause = "empty_lines"
	causeFraming       cause = "ambiguous_body_length"
	causeBody          cause = "unexpected_body"
)

var causes = []cause{
	causeConnections, causeNotAdmitted, causeHeaderTimeout, causeIdleTimeout, causeHeaderSize, causeHeaderMemory,
	causeMemory, causeBlank, causeFraming, causeBody,
}

// metrics counts the clients that were turned away. It is safe for concurrent use.
type metrics struct {
	counters    map[cause]tally.Counter
	connections tally.Gauge
	state       *metricsState
}

// metricsState is what the next line of the log tells.
type metricsState struct {
	mu     sync.Mutex
	counts map[cause]int
	// example is the address of the last client that was turned away.
	example net.Addr
}

func newMetrics(scope tally.Scope, listener string) metrics {
	m := metrics{counters: make(map[cause]tally.Counter), state: &metricsState{counts: make(map[cause]int)}}
	tagged := scope.Tagged(map[string]string{"listener": listener})
	m.connections = tagged.Gauge("client_connections")
	for _, c := range causes {
		m.counters[c] = tagged.Tagged(map[string]string{"cause": string(c)}).Counter("clients_turned_away")
	}
	return m
}

func (m *metrics) record(why cause, client net.Addr) {
	m.counters[why].Inc(1)
	if why == causeIdleTimeout {
		return // ordinary clients may exceed it
	}
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	m.state.counts[why]++
	m.state.example = client
}

// report logs the clients that were turned away since the last report in one line.
func (m *metrics) report(log *slog.Logger, usage Usage) {
	m.connections.Update(float64(usage.Conns))
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	if len(m.state.counts) == 0 {
		return
	}
	log.Warn("clients turned away", "causes", m.state.counts, "example", m.state.example.String(), "use", usage)
	m.state.counts = make(map[cause]int)
}
