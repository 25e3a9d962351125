package conversation

import (
	"context"
	"fmt"
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
		held := w.index("p").keeper.memory
		if got, want := len(held.turns), 3+4*3; got != want {
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
		if !errors.Is(err, serve.ErrNoTurn) {
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
			if !errors.Is(err, serve.ErrUncertain) {
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

// A third of the instances may be refused by the store while it serves the
// others: their turns are written and read through these.
func TestInstanceThatTheStoreRefusesKeepsTurnsThroughOthers(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		refused := w.index("p")
		last := w.chainOf("p", "", 3)
		refused.Refused.Store(true)
		for range 4 {
			last = w.mustTurn(refused, "p", last)
		}
		began := time.Now()
		last = w.mustTurn(refused, "p", last)
		if took := time.Since(began); took > 50*time.Millisecond {
			t.Errorf("a turn took %s", took)
		}
		// While others make its appends it hardly tries by itself.
		before := w.Store.Calls()
		for range 20 {
			last = w.mustTurn(refused, "p", last)
		}
		if calls := w.Store.Calls() - before; calls > 22 {
			t.Errorf("20 turns took %d calls", calls)
		}
		w.restartAll()
		w.mustRecall(w.all()[0], "p", last)
	})
}

// An instance whose link to the store is silent notices it once.
func TestInstanceThatTheStoreDoesNotHearKeepsTurnsThroughOthers(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		n := w.all()[0]
		last := w.chainOf("p", "", 3)
		n.Unheard.Store(true)
		last = w.mustTurn(n, "p", last)
		began := time.Now()
		for range 8 {
			last = w.mustTurn(n, "p", last)
		}
		if took := time.Since(began) / 8; took > 30*time.Millisecond {
			t.Errorf("a turn took %s", took)
		}
		n.Unheard.Store(false)
		time.Sleep(directPause)
		last = w.mustTurn(n, "p", last)
		last = w.mustTurn(n, "p", last)
		if n.keeper.directFailing {
			t.Error("the instance did not notice that the store hears it again")
		}
		w.restartAll()
		w.mustRecall(w.all()[0], "p", last)
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

// A turn is not acknowledged while the store does not hold it, however many
// instances have it.
func TestTurnDoesNotEndBeforeItIsDurable(t *testing.T) {
	for name, fault := range map[string]metastore.Fault{
		"refused": {Status: 503}, "silent": {Silent: true}, "reset": {Reset: true},
	} {
		inWorld(t, 3, func(t *testing.T, w *world) {
			w.Store.Set(fault)
			if id, err := w.turn(w.all()[0], "p", "", 2*time.Second); err == nil {
				t.Errorf("%s: turn %s ended", name, id)
			}
		})
	}
}

// The answers that wait for the store end soon after its return, and all of
// them together cost few calls meanwhile.
func TestTurnsThatWaitEndWhenTheStoreIsBack(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		const waiting = 40
		w.chainOf("p", "", 3)
		w.Store.Set(metastore.Fault{Status: 503})
		ended := make(chan time.Time, waiting)
		for i := range waiting {
			go func() {
				w.mustTurn(w.all()[i%3], string(rune('a'+i)), "")
				ended <- time.Now()
			}()
		}
		before := w.Store.Calls()
		time.Sleep(1500 * time.Millisecond)
		if calls := w.Store.Calls() - before; calls > 8*waiting {
			t.Errorf("%d calls for %d turns in 1.5 s", calls, waiting)
		}
		w.Store.Set(metastore.Fault{})
		back := time.Now()
		for range waiting {
			if took := (<-ended).Sub(back); took > 400*time.Millisecond {
				t.Errorf("a turn ended %s after the store was back", took)
			}
		}
	})
}

// No turn is begun that a full store would not take; one a second finds out
// whether it still is full. While it is away for another reason turns begin.
func TestTurnsAreNotAcceptedWhileTheStoreIsFull(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		n := w.all()[0]
		for status, accepted := range map[int]bool{507: false, 503: true} {
			w.Store.Set(metastore.Fault{Status: status})
			if _, err := w.turn(n, "p", "", time.Second); err == nil {
				t.Fatalf("status %d: the turn ended", status)
			}
			if got := n.keeper.Accepts(); got != accepted {
				t.Errorf("status %d: accepts %v", status, got)
			}
			time.Sleep(2 * fullPause)
			if !n.keeper.Accepts() {
				t.Errorf("status %d: nobody finds out whether it is over", status)
			}
			w.Store.Set(metastore.Fault{})
			w.mustTurn(n, "p", "")
		}
	})
}

// The store may serve some partitions only; turns go to others meanwhile, with
// all before them.
func TestTurnGoesToAnotherPartitionWhileItsOwnIsAway(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		last := w.chainOf("p", "", 3)
		home := w.all()[0].keeper.partitionOf("p").number
		w.Store.Set(metastore.Fault{Status: 503, Partitions: []int{home}})
		last = w.chainOf("p", last, 3)
		w.Store.Set(metastore.Fault{})
		last = w.chainOf("p", last, 3)
		w.restartAll()
		w.mustRecall(w.all()[0], "p", last)
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
		if _, err := w.all()[0].keeper.Before(t.Context(), "p", old); !errors.Is(err, serve.ErrNoTurn) {
			t.Errorf("a turn long past its retention: %v", err)
		}
		time.Sleep(testRetention + dropMargin + 2*sweepInterval)
		for _, n := range w.all() {
			if got := len(n.keeper.memory.turns); got != 0 {
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
		if _, err := n.keeper.Before(t.Context(), "p", "spoilt"); !errors.Is(err, serve.ErrUncertain) {
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
	unread := finding{outcome: structs.ConversationUnread}
	for _, c := range []struct {
		findings []finding
		want     structs.ConversationOutcome
	}{
		{[]finding{unknown, unknown}, structs.ConversationUnknown},
		{[]finding{unknown, unread}, structs.ConversationUnread},
		{[]finding{unread, found, unknown}, structs.ConversationFound},
		{[]finding{{}, unknown}, structs.ConversationUnread},
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
		records, err := encodeTurns([]structs.KeptTurn{
			{ID: "x", Previous: "y", Ended: now, Retention: testRetention},
			{ID: "y", Previous: "x", Ended: now, Retention: testRetention},
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := n.keeper.appendDirect(t.Context(), n.keeper.partitionOf("p"), records); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := n.keeper.Before(ctx, "p", "x"); !errors.Is(err, serve.ErrUncertain) {
			t.Errorf("got %v", err)
		}
	})
}

func TestDumpTellsWhatIsAmiss(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		n := w.all()[0]
		w.mustTurn(n, "p", "")
		if d := n.keeper.Dump(); d.Turns != 1 || d.Bytes == 0 || d.AwayFor != 0 || d.DirectFailing {
			t.Errorf("in order: %+v", d)
		}
		w.Store.Set(metastore.Fault{Status: 503})
		if _, err := w.turn(n, "p", "", time.Second); err == nil {
			t.Fatal("the turn ended")
		}
		d := n.keeper.Dump()
		away := d.Partitions[n.keeper.partitionOf("p").number].Away
		if d.AwayFor == 0 || !d.DirectFailing || !away {
			t.Errorf("with the store away: %+v", d)
		}
	})
}
