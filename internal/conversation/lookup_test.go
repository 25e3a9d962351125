package conversation

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/standin/metastore"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/testkit/simnet"
	"github.com/banyanglade/banyanglade/platform"
)

// runTurns runs consecutive turns of a program, each at the next instance.
func (c *cluster) runTurns(program, previous string, turns int) string {
	c.t.Helper()
	nodes := c.running()
	for i := range turns {
		previous = c.mustTurn(nodes[i%len(nodes)], program, previous)
	}
	return previous
}

func TestAnyInstanceTakesTheNextTurn(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, c *cluster) {
		last := c.runTurns("p", "", 9)
		for _, n := range c.running() {
			c.mustLookUp(n, "p", last)
		}
	})
}

func TestBranchesShareTheirHistory(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		parent := c.runTurns("p", "", 3)
		for range 4 {
			c.runTurns("p", parent, 3)
		}
		time.Sleep(2 * simnet.LinkLatency) // until the last notice has arrived
		if got, want := c.indexer("p").manager.Dump().Turns, 3+4*3; got != want {
			t.Errorf("the indexer holds %d turns, want %d", got, want)
		}
	})
}

func TestConversationsSurviveCrashOfAllInstances(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		last := c.runTurns("p", "", 12)
		c.restartAll()
		for _, n := range c.running() {
			c.mustLookUp(n, "p", last)
		}
	})
}

// After the crash of all instances, new programs continue turns of earlier
// ones.
func TestTurnIsFoundUnderAnotherProgram(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		last := c.runTurns("p", "", 4)
		c.restartAll()
		for _, other := range []string{"q", "r", "s", "u", "v"} {
			next := c.runTurns(other, last, 3)
			c.restartAll()
			c.mustLookUp(c.running()[0], other, next)
		}
	})
}

func TestUnknownTurnIsNotFound(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		c.runTurns("p", "", 4)
		_, err := c.lookUp(t.Context(), c.running()[0], "p", "nosuchturn")
		if !errors.Is(err, serve.ErrTurnNotFound) {
			t.Errorf("got %v", err)
		}
	})
}

// A turn is unknown only if every partition was read to its end. If one
// partition is unavailable, the lookup is uncertain.
func TestNotFoundNeedsAllPartitions(t *testing.T) {
	for part := range testPartitions {
		runCluster(t, 3, func(t *testing.T, c *cluster) {
			c.runTurns("p", "", 4)
			c.Store.Set(metastore.Fault{Status: 503, Partitions: []int{part}})
			_, err := c.lookUp(t.Context(), c.running()[0], "p", "nosuchturn")
			if !errors.Is(err, serve.ErrTurnUncertain) {
				t.Errorf("partition %d unavailable: got error %v, want ErrTurnUncertain", part, err)
			}
		})
	}
}

// A partition is read in pages; the turns on its last page are found.
func TestReadsContinueToTheEnd(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		last := c.runTurns("p", "", 2)
		indexer := c.indexer("p")
		c.mustLookUp(indexer, "p", last)
		if err := indexer.manager.catchUp(t.Context(), indexer.manager.partitionOf("p")); err != nil {
			t.Fatal(err)
		}
		// The indexer receives no notices of the following turns.
		other := c.others(indexer)[0]
		c.SetIsolation(other.ID, simnet.IsolateOutbound)
		for range 23 {
			last = c.mustTurn(other, "p", last)
		}
		c.SetIsolation(other.ID, 0)
		c.mustLookUp(indexer, "p", last)
	})
}

func TestLookupAfterHistoryIsTrimmed(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		last := c.runTurns("p", "", 3)
		indexer := c.indexer("p")
		p := indexer.manager.partitionOf("p")
		if err := indexer.manager.catchUp(t.Context(), p); err != nil {
			t.Fatal(err)
		}
		other := c.others(indexer)[0]
		c.SetIsolation(other.ID, simnet.IsolateOutbound)
		for range 8 {
			last = c.mustTurn(other, "p", last)
		}
		c.SetIsolation(other.ID, 0)
		c.Store.DropHistory(topic, p.number)
		c.mustLookUp(indexer, "p", last)
	})
}

// A restarted instance without access to the store looks up turns through
// others.
func TestRefusedInstanceReadsThroughOthers(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		last := c.runTurns("p", "", 5)
		c.restartAll()
		for _, refused := range c.running() {
			refused.StoreRefused.Store(true)
			c.mustLookUp(refused, "p", last)
			refused.StoreRefused.Store(false)
		}
	})
}

// The indexer of a partition is notified of a turn stored in another partition
// and lacks its predecessors after a restart. It must not report its own
// partition as corrupt.
func TestTurnStoredInAnotherPartitionIsFound(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, c *cluster) {
		indexer := c.indexer("p")
		home := indexer.manager.partitionOf("p")
		other := c.running()[0].manager.partitions[(home.number+1)%testPartitions]
		c.Store.Set(metastore.Fault{Status: 503, Partitions: []int{home.number}})
		before := c.mustTurn(c.others(indexer)[0], "p", "")
		c.Restart(indexer.Node)
		last := c.mustTurn(c.others(indexer)[0], "p", before)
		c.Store.Set(metastore.Fault{})
		time.Sleep(2 * simnet.LinkLatency)
		indexer = c.indexer("p")
		indexer.manager.mu.Lock()
		indexer.manager.memory.drop(before)
		e := indexer.manager.memory.turns[last]
		indexer.manager.mu.Unlock()
		if e == nil || !e.storedIn(other.number) || e.storedIn(home.number) {
			t.Fatalf("the indexer has the last turn as %+v, want it in the other partition only", e)
		}
		if got := indexer.manager.findLocally(t.Context(), home, last); got.outcome != structs.ConversationUnknown {
			t.Errorf("lookup in the home partition: got outcome %d, want unknown", got.outcome)
		}
		for _, n := range c.running() {
			c.mustLookUp(n, "p", last)
		}
	})
}

// Conversations in the memory of any instance are available during an outage.
func TestConversationsInMemoryAreServedDuringOutage(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		last := c.runTurns("p", "", 6)
		c.Store.Set(metastore.Fault{Unresponsive: true})
		for _, n := range c.running() {
			c.mustLookUp(n, "p", last)
		}
	})
}

// A turn whose record cannot be decoded is uncertain, not unknown.
func TestUndecodableRecordIsUncertain(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		n := c.running()[0]
		p := n.manager.partitionOf("p")
		_, err := c.Store.Append(t.Context(), platform.Append{
			Topic: topic, Partition: p.number, Records: []platform.Record{{Key: "spoilt", Value: []byte{9, 9}}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := n.manager.History(t.Context(), "p", "spoilt"); !errors.Is(err, serve.ErrTurnUncertain) {
			t.Errorf("got %v", err)
		}
	})
}

// An unresponsive indexer, such as a paused process, delays a lookup by one
// timeout.
func TestUnresponsiveIndexerIsSkipped(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, c *cluster) {
		last := c.runTurns("p", "", 1)
		indexer := c.indexer("p")
		others := c.others(indexer)
		for _, n := range others {
			n.manager.mu.Lock()
			n.manager.memory = newMemory()
			n.manager.mu.Unlock()
		}
		c.SetIsolation(indexer.ID, simnet.IsolateOutbound)
		start := time.Now()
		c.mustLookUp(others[0], "p", last)
		if took := time.Since(start); took > 2*replyTimeout {
			t.Errorf("lookup took %s", took)
		}
	})
}

func TestCombineOutcomes(t *testing.T) {
	found := lookupResult{outcome: structs.ConversationFound}
	unknown := lookupResult{outcome: structs.ConversationUnknown}
	unreadable := lookupResult{outcome: structs.ConversationUnreadable}
	for _, tt := range []struct {
		results []lookupResult
		want    structs.ConversationOutcome
	}{
		{[]lookupResult{unknown, unknown}, structs.ConversationUnknown},
		{[]lookupResult{unknown, unreadable}, structs.ConversationUnreadable},
		{[]lookupResult{unreadable, found, unknown}, structs.ConversationFound},
		{[]lookupResult{{}, unknown}, structs.ConversationUnreadable},
	} {
		if got := combineOutcomes(tt.results); got != tt.want {
			t.Errorf("%v: got %d, want %d", tt.results, got, tt.want)
		}
	}
}

// A cycle of turns, which callers cannot create, does not hang a lookup.
func TestCycleIsUncertain(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		n := c.running()[0]
		now := time.Now().UnixMilli()
		records, err := encodeTurns([]structs.StoredTurn{
			{ID: "x", Previous: "y", Ended: now, Retention: testRetention},
			{ID: "y", Previous: "x", Ended: now, Retention: testRetention},
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := n.manager.appendBatched(t.Context(), n.manager.partitionOf("p"), nil, records).err; err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := n.manager.History(ctx, "p", "x"); !errors.Is(err, serve.ErrTurnUncertain) {
			t.Errorf("got %v", err)
		}
	})
}
