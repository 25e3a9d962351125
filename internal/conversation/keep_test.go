package conversation

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/metastore"
)

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
		if n.keeper.Dump().DirectFailing {
			t.Error("the instance did not notice that the store hears it again")
		}
		w.restartAll()
		w.mustRecall(w.all()[0], "p", last)
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
			if got := n.keeper.Accepts(3 * time.Second); got != accepted {
				t.Errorf("status %d: accepts %v", status, got)
			}
			time.Sleep(2 * fullPause)
			if !n.keeper.Accepts(3 * time.Second) {
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

// Once the store has been away for longer than callers wait, turns are no longer
// begun, but for one now and then that finds out.
func TestTurnsAreNotAcceptedInALongOutage(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		n := w.all()[0]
		w.Store.Set(metastore.Fault{Silent: true})
		if _, err := w.turn(n, "p", "", 9*time.Second); err == nil {
			t.Fatal("the turn ended")
		}
		n.keeper.Accepts(2 * time.Second)
		if n.keeper.Accepts(2*time.Second) || !n.keeper.Accepts(20*time.Second) {
			t.Error("the time that the caller waits does not decide")
		}
		w.Store.Set(metastore.Fault{})
		time.Sleep(2 * fullPause)
		w.mustTurn(n, "p", "")
		if !n.keeper.Accepts(time.Second) {
			t.Error("turns are not accepted though the store is back")
		}
	})
}

func TestDumpTellsWhatIsAmiss(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		n := w.all()[0]
		w.mustTurn(n, "p", "")
		if d := n.keeper.Dump(); d.Turns != 1 || d.Bytes == 0 || d.OutageDuration != 0 || d.DirectFailing {
			t.Errorf("in order: %+v", d)
		}
		w.Store.Set(metastore.Fault{Status: 503})
		if _, err := w.turn(n, "p", "", time.Second); err == nil {
			t.Fatal("the turn ended")
		}
		d := n.keeper.Dump()
		away := d.Partitions[n.keeper.partitionOf("p").number].Unavailable
		if d.OutageDuration == 0 || !d.DirectFailing || !away {
			t.Errorf("with the store away: %+v", d)
		}
	})
}
