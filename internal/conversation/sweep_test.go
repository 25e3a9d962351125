package conversation

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/serve"
)

func TestTurnsAreDroppedAfterTheirRetention(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		old := w.chainOf("p", "", 3)
		long := w.chainOf("q", "", 2)
		for range 8 {
			time.Sleep(testRetention / 2)
			long = w.chainOf("q", long, 1)
		}
		w.mustRecall(w.all()[0], "q", long)
		w.restartAll()
		w.mustRecall(w.all()[0], "q", long)
		if _, err := w.all()[0].keeper.History(t.Context(), "p", old); !errors.Is(err, serve.ErrTurnNotFound) {
			t.Errorf("a turn long past its retention: %v", err)
		}
		time.Sleep(testRetention + dropMargin + 2*sweepInterval)
		for _, n := range w.all() {
			if got := n.keeper.Dump().Turns; got != 0 {
				t.Errorf("%s holds %d turns past their retention", n.ID, got)
			}
		}
		for part := range testPartitions {
			list, err := w.Store.Newest(t.Context(), topic, part)
			if err != nil || len(list.Records) > 0 {
				t.Errorf("partition %d holds %d turns past their retention, %v", part, len(list.Records), err)
			}
		}
	})
}

// A turn that was named in time may end after the retention of the one before
// it, in another partition.
func TestTurnThatEndsAfterTheRetentionIsKeptWhole(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		n := w.all()[0]
		first, second := w.programIn(0), w.programIn(1)
		last := w.mustTurn(n, first, "")
		w.mustRecall(n, second, last)
		time.Sleep(testRetention + 2*namedMargin)
		end := serve.CompletedTurn{ID: "late", Previous: last, Input: []byte("in"), Retention: testRetention}
		if err := n.keeper.StoreTurn(t.Context(), second, end); err != nil {
			t.Fatal(err)
		}
		list, err := w.Store.Newest(t.Context(), topic, 1)
		if err != nil || len(list.Records) != 2 {
			t.Errorf("its partition holds %d turns, %v", len(list.Records), err)
		}
	})
}

// programIn finds a program of a partition.
func (w *world) programIn(part int) string {
	k := w.all()[0].keeper
	for i := 0; ; i++ {
		if program := fmt.Sprint("program", i); k.partitionOf(program).number == part {
			return program
		}
	}
}

// The beginning of a conversation that goes on in another partition is dropped
// from its own. A later turn that comes back there must take it along again.
func TestDroppedBeginningIsWrittenAgain(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		first := w.programIn(0)
		index := w.index(first)
		second := first
		for part := 1; w.index(second) == index; part++ {
			second = w.programIn(part)
		}
		writer := w.others(index, w.index(second))[0]
		last := w.mustTurn(writer, first, "")
		for range 10 {
			time.Sleep(testRetention / 2)
			last = w.mustTurn(writer, second, last)
		}
		list, err := w.Store.Newest(t.Context(), topic, 0)
		if err != nil || len(list.Records) > 0 {
			t.Fatalf("the beginning was not dropped: %d records, %v", len(list.Records), err)
		}
		last = w.mustTurn(writer, first, last)
		w.restartAll()
		for _, n := range w.all() {
			w.mustRecall(n, first, last)
		}
	})
}
