// Package faults injects faults into the requests of a stand-in target.
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

// NewInjector returns an injector with the given faults.
func NewInjector(initial wire.ServiceFaults) *Injector {
	return &Injector{faults: initial, changed: make(chan struct{})}
}

// Set replaces the faults and wakes held requests, which check them again.
func (i *Injector) Set(faults wire.ServiceFaults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = faults
	close(i.changed)
	i.changed = make(chan struct{})
}

// Get returns the faults with their remaining counts.
func (i *Injector) Get() wire.ServiceFaults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// WaitWhileHung blocks while Hang is set. It returns the error of the context
// if that ends first.
func (i *Injector) WaitWhileHung(ctx context.Context) error {
	for {
		i.mu.Lock()
		hung, changed := i.faults.Hang, i.changed
		i.mu.Unlock()
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

// TakeFail consumes one of FailNext and reports whether there was one.
func (i *Injector) TakeFail() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return consume(&i.faults.FailNext)
}

// TakeDropReply consumes one of DropReplies and reports whether there was one.
func (i *Injector) TakeDropReply() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return consume(&i.faults.DropReplies)
}

// SlowFactor returns the factor applied to run times, 1 if unset.
func (i *Injector) SlowFactor() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.Slow <= 0 {
		return 1
	}
	return i.faults.Slow
}

// Register adds the control routes to a mux: GET returns the faults, POST
// replaces them.
func (i *Injector) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+wire.StandinFaultsRoute, i.serveGet)
	mux.HandleFunc("POST "+wire.StandinFaultsRoute, i.servePost)
}

func (i *Injector) serveGet(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, i.Get())
}

func (i *Injector) servePost(w http.ResponseWriter, r *http.Request) {
	var faults wire.ServiceFaults
	if !standin.ReadJSON(w, r, &faults) {
		return
	}
	i.Set(faults)
	standin.WriteJSON(w, http.StatusOK, faults)
}

func consume(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}
