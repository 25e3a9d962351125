package eventsink

import (
	"context"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestDeliverRetriesUntilAccepted(t *testing.T) {
	attempts := 0
	sink := New(func(structs.Event) bool {
		attempts++
		return attempts == 5
	}, tally.NoopScope)
	if !sink.Deliver(t.Context(), structs.DrainStart{}) || attempts != 5 {
		t.Fatalf("%d attempts", attempts)
	}
}

func TestDeliverStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	sink := New(func(structs.Event) bool {
		cancel()
		return false
	}, tally.NoopScope)
	for range 2 {
		if sink.Deliver(ctx, structs.DrainStart{}) {
			t.Fatal("delivered to a full queue")
		}
	}
}

func TestOfferDropsAndCounts(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	sink := New(func(structs.Event) bool { return false }, scope)
	if sink.Offer(structs.DrainStart{}) || scope.Snapshot().Counters()["events_dropped+"].Value() != 1 {
		t.Fatal("event not dropped or drop not counted")
	}
}
