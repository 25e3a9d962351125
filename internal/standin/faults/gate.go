// Package faults holds the fault state of a stand-in target and applies it to
// requests.
package faults

import (
	"context"
	"net/http"
	"sync"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// Gate holds the faults of one target. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	faults  wire.ServiceFaults
	changed chan struct{}
}

// NewGate returns a gate with the given faults.
func NewGate(initial wire.ServiceFaults) *Gate {
	return &Gate{faults: initial, changed: make(chan struct{})}
}

// Set replaces the faults and lets held requests check them again.
func (g *Gate) Set(faults wire.ServiceFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = faults
	close(g.changed)
	g.changed = make(chan struct{})
}

// Get returns the faults with what is left of their counts.
func (g *Gate) Get() wire.ServiceFaults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

// WaitWhileHung returns nil once Hang is clear, or the context's error.
func (g *Gate) WaitWhileHung(ctx context.Context) error {
	for {
		g.mu.Lock()
		hung, changed := g.faults.Hang, g.changed
		g.mu.Unlock()
		if !hung {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// TakeFail uses up one of FailNext and tells whether there was one.
func (g *Gate) TakeFail() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return takeOne(&g.faults.FailNext)
}

// TakeDropReply uses up one of DropReplies and tells whether there was one.
func (g *Gate) TakeDropReply() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return takeOne(&g.faults.DropReplies)
}

// SlowFactor returns the factor on run times, 1 when unset.
func (g *Gate) SlowFactor() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.Slow <= 0 {
		return 1
	}
	return g.faults.Slow
}

// Register adds the control route to a mux: GET shows and POST replaces the
// faults.
func (g *Gate) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+wire.StandinFaultsRoute, g.serveGet)
	mux.HandleFunc("POST "+wire.StandinFaultsRoute, g.servePost)
}

func (g *Gate) serveGet(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, g.Get())
}

func (g *Gate) servePost(w http.ResponseWriter, r *http.Request) {
	var faults wire.ServiceFaults
	if !standin.ReadJSON(w, r, &faults) {
		return
	}
	g.Set(faults)
	standin.WriteJSON(w, http.StatusOK, faults)
}

func takeOne(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}
