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

// chainOf runs turns of a program one after the other, each at another
// instance.
func (w *world) chainOf(program, previous string, turns int) string {
	w.t.Helper()
	nodes := w.all()
	for i := range turns {
		previous = w.mustTurn(nodes[i%len(nodes)], program, previous)
	}
	return previous
}

func TestAnyInstanceTakesTheNextTurn(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		last := w.chainOf("p", "", 9)
		for _, n := range w.all() {
			w.mustRecall(n, "p", last)
		}
	})
}

func TestSubAgentsShareTheirBeginning(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		parent := w.chainOf("p", "", 3)
		for range 4 {
			w.chainOf("p", parent, 3)
		}
		time.Sleep(2 * simnet.LinkTime) // the last notice is on its way
		if got, want := w.index("p").keeper.Dump().Turns, 3+4*3; got != want {
			t.Errorf("the index holds %d turns, want %d", got, want)
		}
	})
}

func TestConversationsOutlastAllInstances(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		last := w.chainOf("p", "", 12)
		w.restartAll()
		for _, n := range w.all() {
			w.mustRecall(n, "p", last)
		}
	})
}

// Behind the loss of everything new programs continue turns of earlier ones.
func TestTurnIsFoundUnderAnotherProgram(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		last := w.chainOf("p", "", 4)
		w.restartAll()
		for _, other := range []string{"q", "r", "s", "u", "v"} {
			next := w.chainOf(other, last, 3)
			w.restartAll()
			w.mustRecall(w.all()[0], other, next)
		}
	})
}

func TestUnknownTurnIsNotFound(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		w.chainOf("p", "", 4)
		_, err := w.recall(t.Context(), w.all()[0], "p", "nosuchturn")
		if !errors.Is(err, serve.ErrTurnNotFound) {
			t.Errorf("got %v", err)
		}
	})
}

// "Not found" needs every partition read to its end: a single one that the
// store does not serve makes the answer uncertain.
func TestNotFoundNeedsAllPartitions(t *testing.T) {
	for part := range testPartitions {
		inWorld(t, 3, func(t *testing.T, w *world) {
			w.chainOf("p", "", 4)
			w.Store.Set(metastore.Fault{Status: 503, Partitions: []int{part}})
			_, err := w.recall(t.Context(), w.all()[0], "p", "nosuchturn")
			if !errors.Is(err, serve.ErrTurnUncertain) {
				t.Errorf("partition %d away: got %v", part, err)
			}
		})
	}
}

// A partition is read in pages; a turn on the last one is not unknown.
func TestReadsThatStopShortOfTheEndGoOn(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		last := w.chainOf("p", "", 2)
		index := w.index("p")
		w.mustRecall(index, "p", last)
		if err := index.keeper.catchUp(t.Context(), index.keeper.partitionOf("p")); err != nil {
			t.Fatal(err)
		}
		// The index hears of none of the turns that follow.
		other := w.others(index)[0]
		w.SetCut(other.ID, simnet.Mute)
		for range 23 {
			last = w.mustTurn(other, "p", last)
		}
		w.SetCut(other.ID, 0)
		w.mustRecall(index, "p", last)
	})
}

func TestHistoryThatIsDroppedDoesNoHarm(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		last := w.chainOf("p", "", 3)
		index := w.index("p")
		p := index.keeper.partitionOf("p")
		if err := index.keeper.catchUp(t.Context(), p); err != nil {
			t.Fatal(err)
		}
		other := w.others(index)[0]
		w.SetCut(other.ID, simnet.Mute)
		for range 8 {
			last = w.mustTurn(other, "p", last)
		}
		w.SetCut(other.ID, 0)
		w.Store.DropHistory(topic, p.number)
		w.mustRecall(index, "p", last)
	})
}

// A refused instance that starts knows nothing and asks those that can read.
func TestRefusedInstanceReadsThroughOthers(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		last := w.chainOf("p", "", 5)
		w.restartAll()
		for _, refused := range w.all() {
			refused.Refused.Store(true)
			w.mustRecall(refused, "p", last)
			refused.Refused.Store(false)
		}
	})
}

// The index of a partition hears of a turn that was kept elsewhere, and starts
// anew without those before it: it must not take its own partition for damaged.
func TestTurnKeptElsewhereIsFoundThere(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		index := w.index("p")
		home := index.keeper.partitionOf("p")
		other := w.all()[0].keeper.partitions[(home.number+1)%testPartitions]
		w.Store.Set(metastore.Fault{Status: 503, Partitions: []int{home.number}})
		before := w.mustTurn(w.others(index)[0], "p", "")
		w.Restart(index.Node)
		last := w.mustTurn(w.others(index)[0], "p", before)
		w.Store.Set(metastore.Fault{})
		time.Sleep(2 * simnet.LinkTime)
		index = w.index("p")
		index.keeper.mu.Lock()
		index.keeper.memory.drop(before)
		e := index.keeper.memory.turns[last]
		index.keeper.mu.Unlock()
		if e == nil || !e.in(other.number) || e.in(home.number) {
			t.Fatalf("the index knows of the last turn: %+v", e)
		}
		if got := index.keeper.findHere(t.Context(), home, last); got.outcome != structs.ConversationUnknown {
			t.Errorf("in its own partition: outcome %d", got.outcome)
		}
		for _, n := range w.all() {
			w.mustRecall(n, "p", last)
		}
	})
}

// While a partition is away, its conversations that others hold in memory go on.
func TestConversationsInMemoryGoOnWhileTheStoreIsAway(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		last := w.chainOf("p", "", 6)
		w.Store.Set(metastore.Fault{Silent: true})
		for _, n := range w.all() {
			w.mustRecall(n, "p", last)
		}
	})
}

// A record that cannot be read is not "not found".
func TestRecordThatCannotBeDecodedIsUncertain(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		n := w.all()[0]
		p := n.keeper.partitionOf("p")
		_, err := w.Store.Append(t.Context(), platform.Append{
			Topic: topic, Partition: p.number, Records: []platform.Record{{Key: "spoilt", Value: []byte{9, 9}}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := n.keeper.History(t.Context(), "p", "spoilt"); !errors.Is(err, serve.ErrTurnUncertain) {
			t.Errorf("got %v", err)
		}
	})
}

// An index that goes silent, as a paused one does, costs a caller one timeout.
func TestSilentIndexIsPassedOver(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		last := w.chainOf("p", "", 1)
		index := w.index("p")
		asks := w.others(index)
		for _, n := range asks {
			n.keeper.mu.Lock()
			n.keeper.memory = newMemory()
			n.keeper.mu.Unlock()
		}
		w.SetCut(index.ID, simnet.Mute)
		began := time.Now()
		w.mustRecall(asks[0], "p", last)
		if took := time.Since(began); took > 2*replyTimeout {
			t.Errorf("took %s", took)
		}
	})
}

func TestVerdict(t *testing.T) {
	found := finding{outcome: structs.ConversationFound}
	unknown := finding{outcome: structs.ConversationUnknown}
	unread := finding{outcome: structs.ConversationUnreadable}
	for _, c := range []struct {
		findings []finding
		want     structs.ConversationOutcome
	}{
		{[]finding{unknown, unknown}, structs.ConversationUnknown},
		{[]finding{unknown, unread}, structs.ConversationUnreadable},
		{[]finding{unread, found, unknown}, structs.ConversationFound},
		{[]finding{{}, unknown}, structs.ConversationUnreadable},
	} {
		if got := verdict(c.findings); got != c.want {
			t.Errorf("%v: got %d, want %d", c.findings, got, c.want)
		}
	}
}

// Turns that name each other, which no caller can make, do not hang a lookup.
func TestCycleIsUncertain(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		n := w.all()[0]
		now := time.Now().UnixMilli()
		records, err := encodeTurns([]structs.StoredTurn{
			{ID: "x", Previous: "y", Ended: now, Retention: testRetention},
			{ID: "y", Previous: "x", Ended: now, Retention: testRetention},
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := n.keeper.appendBatched(t.Context(), n.keeper.partitionOf("p"), nil, records).err; err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := n.keeper.History(ctx, "p", "x"); !errors.Is(err, serve.ErrTurnUncertain) {
			t.Errorf("got %v", err)
		}
	})
}
