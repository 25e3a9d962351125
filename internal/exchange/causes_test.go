package exchange

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// Each opened connection is counted under the reason why no idle one was usable.
func TestOpenedConnectionsAreCountedByCause(t *testing.T) {
	s := newScriptedTarget(t, func(int) string { return okResponse })
	scope := tally.NewTestScope("", nil)
	p := NewPool(scope)
	t.Cleanup(p.close)
	opened := func(c cause) int64 {
		return scope.Snapshot().Counters()["connections_opened+cause="+string(c)].Value()
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
	for c, want := range map[cause]int64{causeFirst: 1, causeBusy: 1, causeExpired: 1, causeClosed: 1} {
		if got := opened(c); got != want {
			t.Errorf("%d opened with cause %s, want %d", got, c, want)
		}
	}
	if at := p.addresses[s.address]; at.inUse != 0 {
		t.Errorf("%d connections in use", at.inUse)
	}
	p.sweep(time.Now().Add(2 * closeCauseRetention))
	if len(p.addresses) != 0 {
		t.Error("the state of an address without connections is retained")
	}
}
