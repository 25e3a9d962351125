package budget

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/serve"
	"github.com/banyanglade/banyanglade/internal/standin/metastore"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/testkit/simnet"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	testBudget = 900
	testMost   = 290
	// Budgets of the users' programs hold eight turns.
	usersBudget = 2304
	usersMost   = 288
)

// inWorld runs a test with instances in virtual time.
func inWorld(t *testing.T, machines int, body func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		for i := range machines {
			w.start(string(rune('a' + i)))
		}
		defer w.Stop()
		time.Sleep(2 * claimInterval)
		body(t, w)
	})
}

// spendAll runs turns at all instances in parallel until the budget is spent.
func spendAll(t *testing.T, w *world, program string, used int) {
	t.Helper()
	var work sync.WaitGroup
	for _, n := range w.all() {
		work.Go(func() {
			for {
				err := w.turn(n, program, testBudget, testMost, used, 50*time.Millisecond)
				if errors.Is(err, serve.ErrBudgetSpent) {
					return
				}
				if err != nil {
					t.Errorf("turn at %s: %v", n.ID, err)
					return
				}
			}
		})
	}
	work.Wait()
}

func TestTurnsInParallelStayWithinTheBudget(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		spendAll(t, w, "p", 70)
		if got := w.delivered["p"]; got > testBudget || got < testBudget-testMost {
			t.Errorf("delivered %d of %d tokens", got, testBudget)
		}
	})
}

// A record written again while turns wait for it must not lower the limit that
// a later owner counts.
func TestBudgetHoldsAfterAllInstancesAreLost(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		spendAll(t, w, "p", 70)
		for _, n := range w.all() {
			w.Kill(n.Node)
		}
		for _, machine := range []string{"a", "b", "c"} {
			w.start(machine)
		}
		time.Sleep(2 * claimInterval)
		spendAll(t, w, "p", 70)
		if got := w.delivered["p"]; got > testBudget+testMost {
			t.Errorf("delivered %d tokens, the budget is %d and a turn's most %d", got, testBudget, testMost)
		}
	})
}

func TestOrdinaryProgramNeedsNoRecord(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.Store.Set(metastore.Fault{Silent: true})
		for range 5 {
			if err := w.turn(w.all()[0], "p", testBudget, testMost, 40, time.Millisecond); err != nil {
				t.Fatalf("turn while the store is away: %v", err)
			}
		}
	})
}

func TestTurnBeyondTheUnrecordedPartIsRefusedWhileTheStoreIsAway(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.Store.Set(metastore.Fault{Status: 503})
		var err error
		for range 4 {
			if err = w.turn(w.all()[0], "p", testBudget, testMost, 200, time.Millisecond); err != nil {
				break
			}
		}
		if !errors.Is(err, serve.ErrStoreUnavailable) {
			t.Errorf("got %v, want %v", err, serve.ErrStoreUnavailable)
		}
		if got := w.delivered["p"]; got > sliceEnd(testBudget, 1) {
			t.Errorf("delivered %d tokens without a record, allowed are %d", got, sliceEnd(testBudget, 1))
		}
		w.Store.Set(metastore.Fault{})
		if err := w.turn(w.all()[0], "p", testBudget, testMost, 100, time.Millisecond); err != nil {
			t.Errorf("turn after the store is back: %v", err)
		}
	})
}

// The return of everybody: all instances are lost, and the store goes away once
// they are back. New programs run, and go on over the loss of an owner.
func TestProgramsBeginBehindALossWhileTheStoreIsAway(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		if err := w.turn(w.all()[0], "earlier", testBudget, testMost, 70, 0); err != nil {
			t.Fatal(err)
		}
		w.loseAll()
		time.Sleep(2 * claimInterval)
		w.Store.Set(metastore.Fault{Status: 503})
		for i := range 10 {
			if err := w.turn(w.all()[i%3], fmt.Sprint("new", i), usersBudget, usersMost, 70, 0); err != nil {
				t.Errorf("program %d: %v", i, err)
			}
		}
		w.Store.Set(metastore.Fault{})
	})
}

func TestLossesAreForgottenOnceNoProgramOfBeforeIsLeft(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		if err := w.turn(w.all()[0], "p", testBudget, testMost, 70, 0); err != nil {
			t.Fatal(err)
		}
		w.loseAll()
		time.Sleep(2 * claimInterval)
		if err := w.turn(w.all()[0], "q", testBudget, testMost, 70, 0); err != nil {
			t.Fatal(err)
		}
		if losses, _ := w.lossesOf("q"); losses != 1 {
			t.Errorf("behind a loss: %d losses", losses)
		}
		time.Sleep(2*lostRetention + 4*sweepInterval)
		if losses, claimed := w.lossesOf("q"); losses != 0 || !claimed {
			t.Errorf("later: %d losses, claimed %v", losses, claimed)
		}
	})
}

// lossesOf is what the owner of a program's partition knows of losses, and whether
// its claim has landed.
func (w *world) lossesOf(program string) (losses int, claimed bool) {
	n := w.ownerOf(program)
	own := n.own(program)
	n.keeper.mu.Lock()
	defer n.keeper.mu.Unlock()
	return own.losses, own.claimed
}

// A record of before slices counts for what its owner may have handed out, 0.6 of
// a budget.
func TestOwnersOfBeforeSlicesAreCharged(t *testing.T) {
	held, err := decodeContent(platform.Newest{Records: []platform.Record{
		{Key: ownerKey, Value: []byte(`{"epoch":3,"owner":"m~1","address":"m"}`)},
	}})
	if err != nil {
		t.Fatal(err)
	}
	a := newAccount("p", usersBudget, usersMost, held.owner.losses()+1)
	if a.used < usersBudget*6/10 {
		t.Errorf("%d of %d charged", a.used, usersBudget)
	}
}

func TestLeavingOwnerHandsExactFiguresOver(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		for range 7 {
			if err := w.turn(w.all()[0], "p", testBudget, testMost, 70, time.Millisecond); err != nil {
				t.Fatal(err)
			}
		}
		// Also while the store is away.
		w.Store.Set(metastore.Fault{Reset: true})
		for range 2 {
			owner := w.ownerOf("p")
			owner.keeper.Leave(t.Context())
			w.Kill(owner.Node)
		}
		w.Store.Set(metastore.Fault{})
		time.Sleep(time.Second)
		last := w.all()[0]
		a := last.keeper.partitionOf("p").own.accounts["p"]
		if a == nil || a.used != 490 || a.losses > 0 {
			t.Errorf("account after two handovers: %+v, want 490 tokens used", a)
		}
	})
}

func TestDeadOwnerIsReplaced(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		if err := w.turn(w.all()[0], "p", testBudget, testMost, 70, time.Millisecond); err != nil {
			t.Fatal(err)
		}
		w.Kill(w.ownerOf("p").Node)
		started := time.Now()
		if err := w.turn(w.all()[0], "p", testBudget, testMost, 70, 0); err != nil {
			t.Fatalf("turn after the owner's death: %v", err)
		}
		if waited := time.Since(started); waited > 200*time.Millisecond {
			t.Errorf("the turn waited %s for a new owner", waited)
		}
	})
}

// An owner that others took for dead goes on with what it has; all of it is
// counted by the next owner.
func TestCutOffOwnerCannotOverrunTheBudget(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		if err := w.turn(w.all()[0], "p", testBudget, testMost, 70, time.Millisecond); err != nil {
			t.Fatal(err)
		}
		old := w.ownerOf("p")
		w.SetCut(old.ID, simnet.Both)
		var work sync.WaitGroup
		for _, n := range w.all() {
			work.Go(func() {
				for range 30 {
					if err := w.turn(n, "p", testBudget, testMost, 290, time.Millisecond); errors.Is(err, serve.ErrBudgetSpent) {
						return
					}
				}
			})
		}
		work.Wait()
		if got := w.delivered["p"]; got > testBudget+testMost {
			t.Errorf("delivered %d tokens, the budget is %d and a turn's most %d", got, testBudget, testMost)
		}
	})
}

func TestInstanceThatTheStoreRefusesLetsAnotherOwn(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		dead := w.ownerOf("p")
		w.Kill(dead.Node)
		w.all()[0].Refused.Store(true)
		for _, n := range w.all() {
			if err := w.turn(n, "p", testBudget, testMost, 70, time.Millisecond); err != nil {
				t.Errorf("turn at %s: %v", n.ID, err)
			}
		}
	})
}

// An owner that the store refuses hands its partitions to an instance that the
// store serves, before a turn needs a record.
func TestOwnerThatTheStoreRefusesHandsOver(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		owner := w.ownerOf("p")
		owner.Refused.Store(true)
		time.Sleep(5 * reliefInterval)
		for range 8 {
			if err := w.turn(owner, "p", testBudget, testMost, 70, time.Millisecond); err != nil {
				t.Fatal(err)
			}
		}
		if next := w.ownerOf("p"); next == owner {
			t.Error("the refused instance still owns the partition")
		}
	})
}

// While the store is away for all, the owner keeps its partitions.
func TestOwnerKeepsPartitionsWhileTheStoreIsAwayForAll(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		owner := w.ownerOf("p")
		for _, n := range w.all() {
			n.Refused.Store(true)
		}
		time.Sleep(5 * reliefInterval)
		if w.ownerOf("p") != owner {
			t.Error("the partition changed hands")
		}
	})
}

// While the store does not serve a partition without an owner, turns are
// refused at once and the store is not asked for each of them.
func TestPartitionThatTheStoreDoesNotServe(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		w.Kill(w.ownerOf("p").Node)
		w.Store.Set(metastore.Fault{Reset: true})
		before := w.Store.Calls()
		begun := time.Now()
		const turns = 20
		for i := range turns {
			err := w.turn(w.all()[i%2], "p", testBudget, testMost, 70, 0)
			if !errors.Is(err, serve.ErrStoreUnavailable) && !errors.Is(err, serve.ErrNoOwner) {
				t.Fatalf("got %v", err)
			}
		}
		took := time.Since(begun)
		if limit := int(4*(took/claimPause+2)) * claimAttempts; w.Store.Calls()-before > limit {
			t.Errorf("%d calls to the store in %s", w.Store.Calls()-before, took)
		}
		if took > turns*ownerPatience/2 {
			t.Errorf("%d refusals took %s", turns, took)
		}
	})
}

// The store may fail to serve some partitions while it serves others: what
// fails elsewhere does not keep an instance from claiming a partition.
func TestPartitionIsClaimedWhileOtherTopicsFail(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		w.Kill(w.ownerOf("p").Node)
		for _, n := range w.all() {
			n.FeedsFail.Store(true)
		}
		for _, n := range w.all() {
			if err := w.turn(n, "p", testBudget, testMost, 70, time.Millisecond); err != nil {
				t.Errorf("turn at %s: %v", n.ID, err)
			}
		}
	})
}

func TestRecordIsWrittenWhileOtherTopicsFail(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		for _, n := range w.all() {
			n.FeedsFail.Store(true)
		}
		for i := range 9 {
			if err := w.turn(w.all()[0], "p", testBudget, testMost, 70, time.Millisecond); err != nil {
				t.Fatalf("turn %d: %v", i, err)
			}
		}
	})
}

// A turn that needs a record of a partition that was handed over in an outage
// is refused at once: its new owner could not claim it yet.
func TestRecordOfAPartitionThatCannotBeClaimed(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		w.Store.Set(metastore.Fault{Status: 503})
		w.ownerOf("p").keeper.Leave(t.Context())
		var err error
		begun := time.Now()
		for range 6 {
			if err = w.turn(w.all()[0], "p", testBudget, testMost, 200, time.Millisecond); err != nil {
				break
			}
		}
		if !errors.Is(err, serve.ErrStoreUnavailable) {
			t.Errorf("got %v, want %v", err, serve.ErrStoreUnavailable)
		}
		if took := time.Since(begun); took > 2*storePatience {
			t.Errorf("the refusal took %s", took)
		}
	})
}

// What one instance learns of a target reaches the others through the owners of
// their programs' budgets.
func TestBrokenTargetsAreToldThroughOwners(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		runAll := func(n *node) {
			for i := range 12 {
				if err := w.turn(n, string(rune('a'+i)), testBudget, testMost, 10, 0); err != nil {
					t.Fatal(err)
				}
			}
		}
		first := w.all()[0]
		runAll(first)
		first.breaks.MergeBreaks([]structs.TargetBreak{{Target: "down"}}, time.Now())
		first.keeper.ReportTargetBreaks()
		time.Sleep(2 * simnet.LinkTime)
		for _, n := range w.all() {
			runAll(n)
			if got := n.breaks.Breaks(time.Now()); len(got) != 1 || got[0].Target != "down" {
				t.Errorf("%s knows %v", n.ID, got)
			}
		}
	})
}

// A claim may take effect without an answer to the instance that made it, and
// another that reads the partition then names that instance as the owner.
func TestInstanceThatOthersNameAsTheOwnerClaims(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		w.Store.Set(metastore.Fault{Status: 503})
		w.Kill(w.ownerOf("p").Node)
		time.Sleep(claimPause)
		w.Store.Set(metastore.Fault{})
		first := w.all()[0]
		p := first.keeper.partitionOf("p")
		named := w.lives.ByID(first.keeper.directory.Ranked(p.key())[1])
		const epoch = 100
		_, err := w.Store.Append(t.Context(), platform.Append{
			Topic: topic, Partition: p.number,
			Records: []platform.Record{{Key: ownerKey, Value: encode(ownerRecord{Epoch: epoch, Owner: named.ID})}},
			Writer:  &platform.Writer{Name: writerName, Epoch: epoch, Sequence: 1},
		})
		if err != nil {
			t.Fatal(err)
		}
		// The one that is named takes another for the owner.
		stale := first.keeper.directory.Ranked(p.key())[0]
		named.keeper.receiveNotice(stale, &structs.OwnerNotice{
			Owned: []structs.OwnedPartition{{Partition: p.number, Epoch: epoch - 1}},
		})
		for _, n := range w.all() {
			if err := w.turn(n, "p", testBudget, testMost, 70, 0); err != nil {
				t.Errorf("turn at %s: %v", n.ID, err)
			}
		}
	})
}

// An instance that was paused finds its connections broken and takes all others
// for dead when it wakes.
func TestInstanceThatWakesDoesNotTakePartitions(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		for _, program := range []string{"p", "q", "r", "s"} {
			if err := w.turn(w.all()[0], program, testBudget, testMost, 70, 0); err != nil {
				t.Fatal(err)
			}
		}
		woken := w.all()[1]
		owners := make(map[string]*node)
		for _, program := range []string{"p", "q", "r", "s"} {
			owners[program] = w.ownerOf(program)
		}
		for _, other := range w.all() {
			if other != woken {
				woken.Post(structs.PeerDown{Peer: other.ID})
			}
		}
		time.Sleep(2 * claimInterval)
		for program, owner := range owners {
			if w.ownerOf(program) != owner {
				t.Errorf("the partition of %s changed hands", program)
			}
		}
	})
}

// The owner remembers where a program's last turn ran and tells whoever runs the
// next one, also after it has handed its accounts over.
func TestOwnerRemembersTheTargetOfAProgram(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		reserve := func(n *node) serve.Lease {
			lease, err := n.keeper.Reserve(t.Context(), serve.Turn{
				Program: "p", Budget: testBudget, MaxTokens: testMost, Retention: time.Minute,
			})
			if err != nil {
				t.Fatal(err)
			}
			return lease
		}
		first := reserve(w.all()[0])
		if got := first.LastTarget(); got != "" {
			t.Errorf("a new program's target is %q", got)
		}
		first.Settle(serve.TurnResult{UsedTokens: 10, Target: "engine1"})
		owner := w.ownerOf("p")
		owner.keeper.Leave(t.Context())
		w.Kill(owner.Node)
		for _, n := range w.all() {
			lease := reserve(n)
			if got := lease.LastTarget(); got != "engine1" {
				t.Errorf("%s is told %q", n.ID, got)
			}
			lease.Settle(serve.TurnResult{}) // ran nowhere
			time.Sleep(2 * simnet.LinkTime)
		}
		n := w.all()[0]
		reserve(n).Settle(serve.TurnResult{Target: "engine2", Failed: true})
		time.Sleep(2 * simnet.LinkTime)
		last := reserve(n)
		if got := last.LastTarget(); got != "engine1" {
			t.Errorf("after another one's failure: %q", got)
		}
		last.Settle(serve.TurnResult{Target: "engine1", Failed: true})
		time.Sleep(2 * simnet.LinkTime)
		if got := reserve(n).LastTarget(); got != "" {
			t.Errorf("a target that failed the program is remembered: %q", got)
		}
	})
}
