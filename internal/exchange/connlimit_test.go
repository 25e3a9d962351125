package exchange

import (
	"sync"
	"testing"
	"time"
)

// Callers whose requests are lost must not open connections without bound: lost runs of
// one target share checks, and one idle connection is kept.
func TestChecksOfATargetAreShared(t *testing.T) {
	s := newScriptedTarget(t, func(int) string { return "" })
	p := newPool(t)
	p.acceptedTime = 50 * time.Millisecond // all calls arrive before the first check ends
	const calls = 200
	var work sync.WaitGroup
	for range calls {
		work.Go(func() {
			if got, err := p.Listening(t.Context(), s.address); err != nil || !got {
				t.Errorf("got %v, %v", got, err)
			}
		})
	}
	work.Wait()
	if conns, _ := s.counts(); conns > calls/10 {
		t.Errorf("%d calls opened %d connections", calls, conns)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.addresses[s.address]; len(state.idle) != 1 || p.open != 1 {
		t.Errorf("%d idle connections, %d counted", len(state.idle), p.open)
	}
}

// A run is only decided by a check that began after it was lost.
func TestCheckBeginsAfterTheCall(t *testing.T) {
	p := newPool(t)
	now := time.Now()
	first := p.nextCheck("127.0.0.1:1", now)
	second := p.nextCheck("127.0.0.1:1", now.Add(time.Millisecond))
	third := p.nextCheck("127.0.0.1:1", now.Add(2*time.Millisecond))
	later := p.nextCheck("127.0.0.1:1", now.Add(time.Minute))
	if first == second || second != third || third == later {
		t.Error("want the second and third call to share a check")
	}
	for i, check := range []*listenCheck{first, second, later} {
		if want := now.Add([]time.Duration{0, checkInterval, time.Minute}[i]); !check.begins.Equal(want) {
			t.Errorf("check %d begins %s after the first call, want %s", i, check.begins.Sub(now), want.Sub(now))
		}
	}
}

// Idle connections to many targets must not take the descriptors that other connections
// need.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	const maxConns = 3
	var all []*scriptedTarget
	for range 2 * maxConns {
		all = append(all, newScriptedTarget(t, func(int) string { return okResponse }))
	}
	p := newPool(t) // is closed before the targets
	p.SetMaxConns(maxConns)
	for _, s := range all {
		for range 2 {
			if got, err := exchangeOnce(t.Context(), p, s.address, nil); got != "ok" || err != nil {
				t.Fatalf("got %q, %v", got, err)
			}
		}
		if conns, _ := s.counts(); conns != 1 {
			t.Errorf("%d connections to the target in use", conns)
		}
		idle := 0
		p.mu.Lock()
		for _, state := range p.addresses {
			idle += len(state.idle)
		}
		open := p.open
		p.mu.Unlock()
		if idle > maxConns || open != idle {
			t.Fatalf("%d idle connections, %d counted, the bound is %d", idle, open, maxConns)
		}
	}
}
