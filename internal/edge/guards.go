package edge

import (
	"log/slog"
	"math"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/exchange"
	"github.com/banyanglade/banyanglade/internal/inbound"
	"github.com/banyanglade/banyanglade/internal/memlimit"
	"github.com/banyanglade/banyanglade/internal/streampin"
	"github.com/banyanglade/banyanglade/platform"
)

// Bounds of the connections to the listeners. Together with the memory for requests they
// stay below the soft limit of the heap.
const (
	// connMemoryBytes is the memory of a connection without a request: its buffers, the
	// stack of its goroutine and the first part of a header.
	connMemoryBytes = 28 << 10
	// callerMemoryFraction is the memory for connections of callers as a fraction of the
	// machine's memory, headerMemoryFraction that for their incomplete headers.
	callerMemoryFraction = 0.2
	headerMemoryFraction = 0.05
	// callerFDFraction are the descriptors for callers as a fraction of the process's,
	// targetFDFraction those for targets. Each request in progress needs one of both.
	callerFDFraction = 0.33
	targetFDFraction = 0.4
	// maxPeerConns bounds the connections from other instances that carry queries, within
	// peerFDFraction of the process's descriptors. Each instance has one at a time.
	maxPeerConns   = 512
	peerFDFraction = 0.125
	// maxReadyConns bounds the connections for readiness checks.
	maxReadyConns = 64
	// maxInternalHeaderBytes bounds the headers of readiness checks and other instances.
	maxInternalHeaderBytes = 8 << 10
	// internalHeaderTimeout and internalIdleTimeout apply to them as well. Instances close
	// idle connections to others sooner.
	internalHeaderTimeout = 3 * time.Second
	internalIdleTimeout   = time.Minute
	// internalWriteTimeout bounds a response to another instance, including the time that a
	// query waits for changes.
	internalWriteTimeout = maxQueryWait + 30*time.Second
	// accountBytes and pinBytes are the memory of a program's budget and of a stream's
	// version, accountMemoryFraction and pinMemoryFraction that of all as fractions of the
	// machine's memory.
	accountBytes          = 512
	accountMemoryFraction = 0.15
	pinBytes              = 512
	pinMemoryFraction     = 0.05
)

// guards bound the connections to the listeners.
type guards struct{ callers, ready, peers *inbound.Guard }

func (g *guards) all() []*inbound.Guard { return []*inbound.Guard{g.callers, g.ready, g.peers} }

func newGuards(machine platform.Machine, memory *memlimit.Limiter, scope tally.Scope, log *slog.Logger) *guards {
	internal := func(name string, maxConns int) *inbound.Guard {
		return inbound.New(inbound.Config{
			Name: name, MaxConns: maxConns, MaxHeaderMemory: int64(maxConns) * maxInternalHeaderBytes, NoBodies: true,
			// All are reads, which their senders repeat.
			EvictRequests: true,
			Limits: inbound.Limits{
				MaxHeaderBytes: maxInternalHeaderBytes, HeaderTimeout: internalHeaderTimeout, IdleTimeout: internalIdleTimeout,
			},
			Scope: scope, Log: log,
		})
	}
	return &guards{
		callers: inbound.New(inbound.Config{
			Name: "callers", Limits: inbound.DefaultLimits(), MaxConns: maxCallerConns(machine),
			MaxHeaderMemory: fractionOr(machine.MemoryBytes, headerMemoryFraction, math.MaxInt64),
			Memory:          memory, Scope: scope, Log: log,
		}),
		ready: internal("ready", maxReadyConns),
		peers: internal("peers", int(min(maxPeerConns, fractionOr(int64(machine.MaxFDs), peerFDFraction, maxPeerConns)))),
	}
}

// maxCallerConns returns the number of connections that callers may have.
func maxCallerConns(machine platform.Machine) int {
	byMemory := fractionOr(machine.MemoryBytes, callerMemoryFraction/connMemoryBytes, math.MaxInt32)
	byFDs := fractionOr(int64(machine.MaxFDs), callerFDFraction, math.MaxInt32)
	return int(max(1, min(byMemory, byFDs)))
}

// fractionOr returns a fraction of a limit of the machine, or a default if that is unknown.
func fractionOr(limit int64, fraction float64, unknown int64) int64 {
	if limit <= 0 {
		return unknown
	}
	return int64(float64(limit) * fraction)
}

// newPool returns the pool of connections to targets.
func newPool(machine platform.Machine, scope tally.Scope) *exchange.Pool {
	pool := exchange.NewPool(scope)
	pool.SetMaxConns(int(fractionOr(int64(machine.MaxFDs), targetFDFraction, 0)))
	return pool
}

// newMemory returns the limiter of the memory for requests.
func newMemory(machine platform.Machine, scope tally.Scope) *memlimit.Limiter {
	return memlimit.New(int64(float64(machine.MemoryBytes)*requestMemoryFraction), scope)
}

// maxAccounts returns the number of programs' budgets that the instance may hold, 0 for any.
func maxAccounts(machine platform.Machine) int {
	return int(fractionOr(machine.MemoryBytes, accountMemoryFraction/accountBytes, 0))
}

// maxPins returns the number of streams' versions that the instance may hold.
func maxPins(machine platform.Machine) int {
	return int(min(streampin.DefaultMaxPins, fractionOr(machine.MemoryBytes, pinMemoryFraction/pinBytes, streampin.DefaultMaxPins)))
}
