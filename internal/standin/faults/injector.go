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

// Injector holds the faults of one target. It is safe for concurrent use.
type Injector struct {
	mu      sync.Mutex
	faults  wire.ServiceFaults
	changed chan struct{}
}

// NewInjector returns a gate with the given faults.
func NewInjector(initial wire.ServiceFaults) *Injector {
	return &Injector{faults: initial, changed: make(chan struct{})}
}

// Set replaces the faults and lets held requests check them again.
func (g *Injector) Set(faults wire.ServiceFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = faults
	close(g.changed)
	g.changed = make(chan struct{})
}

// Get returns the faults with what is left of their counts.
func (g *Injector) Get() wire.ServiceFaults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

// WaitWhileHung returns nil once Hang is clear, or the context's error.
func (g *Injector) WaitWhileHung(ctx context.Context) error {
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
func (g *Injector) TakeFail() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return consume(&g.faults.FailNext)
}

// TakeDropReply uses up one of DropReplies and tells whether there was one.
func (g *Injector) TakeDropReply() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return consume(&g.faults.DropReplies)
}

// SlowFactor returns the factor on run times, 1 when unset.
func (g *Injector) SlowFactor() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.Slow <= 0 {
		return 1
	}
	return g.faults.Slow
}

// Register adds the control route to a mux: GET shows and POST replaces the
// faults.
func (g *Injector) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+wire.StandinFaultsRoute, g.serveGet)
	mux.HandleFunc("POST "+wire.StandinFaultsRoute, g.servePost)
}

func (g *Injector) serveGet(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, g.Get())
}

func (g *Injector) servePost(w http.ResponseWriter, r *http.Request) {
	var faults wire.ServiceFaults
	if !standin.ReadJSON(w, r, &faults) {
		return
	}
	g.Set(faults)
	standin.WriteJSON(w, http.StatusOK, faults)
}

func consume(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}
