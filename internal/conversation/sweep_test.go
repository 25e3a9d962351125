package conversation

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/serve"
)

func TestTurnsAreDroppedAfterTheirRetention(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		old := c.runTurns("p", "", 3)
		long := c.runTurns("q", "", 2)
		for range 8 {
			time.Sleep(testRetention / 2)
			long = c.runTurns("q", long, 1)
		}
		c.mustLookUp(c.running()[0], "q", long)
		c.restartAll()
		c.mustLookUp(c.running()[0], "q", long)
		if _, err := c.running()[0].manager.History(t.Context(), "p", old); !errors.Is(err, serve.ErrTurnNotFound) {
			t.Errorf("lookup of an expired turn: got error %v, want ErrTurnNotFound", err)
		}
		time.Sleep(testRetention + dropMargin + 2*sweepInterval)
		for _, n := range c.running() {
			if got := n.manager.Dump().Turns; got != 0 {
				t.Errorf("%s holds %d expired turns", n.ID, got)
			}
		}
		for part := range testPartitions {
			list, err := c.Store.Newest(t.Context(), topic, part)
			if err != nil || len(list.Records) > 0 {
				t.Errorf("partition %d holds %d expired turns; error %v", part, len(list.Records), err)
			}
		}
	})
}

// A turn accepted within the retention of its predecessor may end after it, in
// another partition.
func TestTurnEndingAfterRetentionIsStoredWithItsHistory(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		n := c.running()[0]
		first, second := c.programIn(0), c.programIn(1)
		last := c.mustTurn(n, first, "")
		c.mustLookUp(n, second, last)
		time.Sleep(testRetention + 2*referenceMargin)
		end := serve.CompletedTurn{ID: "late", Previous: last, Input: []byte("in"), Retention: testRetention}
		if err := n.manager.StoreTurn(t.Context(), second, end); err != nil {
			t.Fatal(err)
		}
		list, err := c.Store.Newest(t.Context(), topic, 1)
		if err != nil || len(list.Records) != 2 {
			t.Errorf("partition 1 holds %d turns, want 2; error %v", len(list.Records), err)
		}
	})
}

// programIn returns a program whose home is the given partition.
func (c *cluster) programIn(part int) string {
	m := c.running()[0].manager
	for i := 0; ; i++ {
		if program := fmt.Sprint("program", i); m.partitionOf(program).number == part {
			return program
		}
	}
}

// A conversation that continues in another partition has its beginning dropped
// from the first one, where a later turn must store it again.
func TestDroppedHistoryIsStoredAgain(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, c *cluster) {
		first := c.programIn(0)
		indexer := c.indexer(first)
		second := first
		for part := 1; c.indexer(second) == indexer; part++ {
			second = c.programIn(part)
		}
		writer := c.others(indexer, c.indexer(second))[0]
		last := c.mustTurn(writer, first, "")
		for range 10 {
			time.Sleep(testRetention / 2)
			last = c.mustTurn(writer, second, last)
		}
		list, err := c.Store.Newest(t.Context(), topic, 0)
		if err != nil || len(list.Records) > 0 {
			t.Fatalf("the beginning was not dropped: %d records, error %v", len(list.Records), err)
		}
		last = c.mustTurn(writer, first, last)
		c.restartAll()
		for _, n := range c.running() {
			c.mustLookUp(n, first, last)
		}
	})
}
