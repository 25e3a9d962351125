package exchange

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// Each connection opened is counted by why none that was kept could be used.
func TestOpenedConnectionsAreCountedByCause(t *testing.T) {
	s := newScripted(t, func(int) string { return okAnswer })
	scope := tally.NewTestScope("", nil)
	p := NewPool(scope)
	t.Cleanup(p.close)
	opened := func(why cause) int64 {
		return scope.Snapshot().Counters()["connections_opened+cause="+string(why)].Value()
	}
	get := func(now time.Time) *conn {
		c, err := p.get(t.Context(), s.address, now)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	now := time.Now()
	first := get(now)
	p.drop(get(now))
	p.put(first, 4*time.Second, now)
	p.sweep(now.Add(time.Minute))
	second := get(now.Add(time.Minute))
	p.put(second, 4*time.Second, now.Add(time.Minute))
	p.CloseIdle(s.address)
	p.drop(get(time.Now()))
	for why, want := range map[cause]int64{causeFirst: 1, causeBusy: 1, causeExpired: 1, causeClosed: 1} {
		if got := opened(why); got != want {
			t.Errorf("%d opened as %s, want %d", got, why, want)
		}
	}
	if at := p.places[s.address]; at.inUse != 0 {
		t.Errorf("%d connections in use", at.inUse)
	}
	p.sweep(time.Now().Add(2 * forgetAfter))
	if len(p.places) != 0 {
		t.Error("an address without connections is remembered")
	}
}
