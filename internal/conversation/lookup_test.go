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

// runTurns runs turns of a program one after the other, each at another
// instance.
func (w *cluster) runTurns(program, previous string, turns int) string {
	w.t.Helper()
	nodes := w.running()
	for i := range turns {
		previous = w.mustTurn(nodes[i%len(nodes)], program, previous)
	}
	return previous
}

func TestAnyInstanceTakesTheNextTurn(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, w *cluster) {
		last := w.runTurns("p", "", 9)
		for _, n := range w.running() {
			w.mustLookUp(n, "p", last)
		}
	})
}

func TestBranchesShareTheirHistory(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, w *cluster) {
		parent := w.runTurns("p", "", 3)
		for range 4 {
			w.runTurns("p", parent, 3)
		}
		time.Sleep(2 * simnet.LinkTime) // the last notice is on its way
		if got, want := w.indexer("p").manager.Dump().Turns, 3+4*3; got != want {
			t.Errorf("the index holds %d turns, want %d", got, want)
		}
	})
}

func TestConversationsOutlastAllInstances(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, w *cluster) {
		last := w.runTurns("p", "", 12)
		w.restartAll()
		for _, n := range w.running() {
			w.mustLookUp(n, "p", last)
		}
	})
}

// Behind the loss of everything new programs continue turns of earlier ones.
func TestTurnIsFoundUnderAnotherProgram(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, w *cluster) {
		last := w.runTurns("p", "", 4)
		w.restartAll()
		for _, other := range []string{"q", "r", "s", "u", "v"} {
			next := w.runTurns(other, last, 3)
			w.restartAll()
			w.mustLookUp(w.running()[0], other, next)
		}
	})
}

func TestUnknownTurnIsNotFound(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, w *cluster) {
		w.runTurns("p", "", 4)
		_, err := w.lookUp(t.Context(), w.running()[0], "p", "nosuchturn")
		if !errors.Is(err, serve.ErrNoTurn) {
			t.Errorf("got %v", err)
		}
	})
}

// "Not found" needs every partition read to its end: a single one that the
// store does not serve makes the answer uncertain.
func TestNotFoundNeedsAllPartitions(t *testing.T) {
	for part := range testPartitions {
		runCluster(t, 3, func(t *testing.T, w *cluster) {
			w.runTurns("p", "", 4)
			w.Store.Set(metastore.Fault{Status: 503, Partitions: []int{part}})
			_, err := w.lookUp(t.Context(), w.running()[0], "p", "nosuchturn")
			if !errors.Is(err, serve.ErrUncertain) {
				t.Errorf("partition %d away: got %v", part, err)
			}
		})
	}
}

// A partition is read in pages; a turn on the last one is not unknown.
func TestReadsContinueToTheEnd(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, w *cluster) {
		last := w.runTurns("p", "", 2)
		index := w.indexer("p")
		w.mustLookUp(index, "p", last)
		if err := index.manager.catchUp(t.Context(), index.manager.partitionOf("p")); err != nil {
			t.Fatal(err)
		}
		// The index hears of none of the turns that follow.
		other := w.others(index)[0]
		w.SetCut(other.ID, simnet.Mute)
		for range 23 {
			last = w.mustTurn(other, "p", last)
		}
		w.SetCut(other.ID, 0)
		w.mustLookUp(index, "p", last)
	})
}

func TestLookupAfterHistoryIsTrimmed(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, w *cluster) {
		last := w.runTurns("p", "", 3)
		index := w.indexer("p")
		p := index.manager.partitionOf("p")
		if err := index.manager.catchUp(t.Context(), p); err != nil {
			t.Fatal(err)
		}
		other := w.others(index)[0]
		w.SetCut(other.ID, simnet.Mute)
		for range 8 {
			last = w.mustTurn(other, "p", last)
		}
		w.SetCut(other.ID, 0)
		w.Store.DropHistory(topic, p.number)
		w.mustLookUp(index, "p", last)
	})
}

// A refused instance that starts knows nothing and asks those that can read.
func TestRefusedInstanceReadsThroughOthers(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, w *cluster) {
		last := w.runTurns("p", "", 5)
		w.restartAll()
		for _, refused := range w.running() {
			refused.Refused.Store(true)
			w.mustLookUp(refused, "p", last)
			refused.Refused.Store(false)
		}
	})
}

// The index of a partition hears of a turn that was kept elsewhere, and starts
// anew without those before it: it must not take its own partition for damaged.
func TestTurnKeptElsewhereIsFoundThere(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, w *cluster) {
		index := w.indexer("p")
		home := index.manager.partitionOf("p")
		other := w.running()[0].manager.partitions[(home.number+1)%testPartitions]
		w.Store.Set(metastore.Fault{Status: 503, Partitions: []int{home.number}})
		before := w.mustTurn(w.others(index)[0], "p", "")
		w.Restart(index.Node)
		last := w.mustTurn(w.others(index)[0], "p", before)
		w.Store.Set(metastore.Fault{})
		time.Sleep(2 * simnet.LinkTime)
		index = w.indexer("p")
		index.manager.mu.Lock()
		index.manager.memory.drop(before)
		e := index.manager.memory.turns[last]
		index.manager.mu.Unlock()
		if e == nil || !e.storedIn(other.number) || e.storedIn(home.number) {
			t.Fatalf("the index knows of the last turn: %+v", e)
		}
		if got := index.manager.findLocally(t.Context(), home, last); got.outcome != structs.ConversationUnknown {
			t.Errorf("in its own partition: outcome %d", got.outcome)
		}
		for _, n := range w.running() {
			w.mustLookUp(n, "p", last)
		}
	})
}

// While a partition is away, its conversations that others hold in memory go on.
func TestConversationsInMemoryAreServedDuringOutage(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, w *cluster) {
		last := w.runTurns("p", "", 6)
		w.Store.Set(metastore.Fault{Silent: true})
		for _, n := range w.running() {
			w.mustLookUp(n, "p", last)
		}
	})
}

// A record that cannot be read is not "not found".
func TestRecordThatCannotBeDecodedIsUncertain(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, w *cluster) {
		n := w.running()[0]
		p := n.manager.partitionOf("p")
		_, err := w.Store.Append(t.Context(), platform.Append{
			Topic: topic, Partition: p.number, Records: []platform.Record{{Key: "spoilt", Value: []byte{9, 9}}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := n.manager.History(t.Context(), "p", "spoilt"); !errors.Is(err, serve.ErrUncertain) {
			t.Errorf("got %v", err)
		}
	})
}

// An index that goes silent, as a paused one does, costs a caller one timeout.
func TestUnresponsiveIndexerIsSkipped(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, w *cluster) {
		last := w.runTurns("p", "", 1)
		index := w.indexer("p")
		asks := w.others(index)
		for _, n := range asks {
			n.manager.mu.Lock()
			n.manager.memory = newMemory()
			n.manager.mu.Unlock()
		}
		w.SetCut(index.ID, simnet.Mute)
		began := time.Now()
		w.mustLookUp(asks[0], "p", last)
		if took := time.Since(began); took > 2*replyTimeout {
			t.Errorf("took %s", took)
		}
	})
}

func TestCombineOutcomes(t *testing.T) {
	found := lookupResult{outcome: structs.ConversationFound}
	unknown := lookupResult{outcome: structs.ConversationUnknown}
	unread := lookupResult{outcome: structs.ConversationUnread}
	for _, c := range []struct {
		findings []lookupResult
		want     structs.ConversationOutcome
	}{
		{[]lookupResult{unknown, unknown}, structs.ConversationUnknown},
		{[]lookupResult{unknown, unread}, structs.ConversationUnread},
		{[]lookupResult{unread, found, unknown}, structs.ConversationFound},
		{[]lookupResult{{}, unknown}, structs.ConversationUnread},
	} {
		if got := combineOutcomes(c.findings); got != c.want {
			t.Errorf("%v: got %d, want %d", c.findings, got, c.want)
		}
	}
}

// Turns that name each other, which no caller can make, do not hang a lookup.
func TestCycleIsUncertain(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, w *cluster) {
		n := w.running()[0]
		now := time.Now().UnixMilli()
		records, err := encodeTurns([]structs.KeptTurn{
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
		if _, err := n.manager.History(ctx, "p", "x"); !errors.Is(err, serve.ErrUncertain) {
			t.Errorf("got %v", err)
		}
	})
}
