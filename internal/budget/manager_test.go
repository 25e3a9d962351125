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
	testBudget  = 900
	testMaxTurn = 290
	// Budgets of the users' programs hold eight turns.
	typicalBudget  = 2304
	typicalMaxTurn = 288
)

// runInCluster runs a test with instances in virtual time.
func runInCluster(t *testing.T, machines int, body func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		for i := range machines {
			c.start(string(rune('a' + i)))
		}
		defer c.Stop()
		time.Sleep(2 * claimInterval)
		body(t, c)
	})
}

// spendAll runs turns at all instances in parallel until the budget is spent.
func spendAll(t *testing.T, c *cluster, program string, used int) {
	t.Helper()
	var work sync.WaitGroup
	for _, n := range c.all() {
		work.Go(func() {
			for {
				err := c.turn(n, program, testBudget, testMaxTurn, used, 50*time.Millisecond)
				if errors.Is(err, serve.ErrSpent) {
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
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		spendAll(t, c, "p", 70)
		if got := c.delivered["p"]; got > testBudget || got < testBudget-testMaxTurn {
			t.Errorf("delivered %d of %d tokens", got, testBudget)
		}
	})
}

// A record written again while turns wait for it must not lower the limit that
// a later owner counts.
func TestBudgetHoldsAfterAllInstancesAreLost(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		spendAll(t, c, "p", 70)
		for _, n := range c.all() {
			c.Kill(n.Node)
		}
		for _, machine := range []string{"a", "b", "c"} {
			c.start(machine)
		}
		time.Sleep(2 * claimInterval)
		spendAll(t, c, "p", 70)
		if got := c.delivered["p"]; got > testBudget+testMaxTurn {
			t.Errorf("delivered %d tokens, the budget is %d and a turn's most %d", got, testBudget, testMaxTurn)
		}
	})
}

func TestOrdinaryProgramNeedsNoRecord(t *testing.T) {
	runInCluster(t, 2, func(t *testing.T, c *cluster) {
		c.Store.Set(metastore.Fault{Silent: true})
		for range 5 {
			if err := c.turn(c.all()[0], "p", testBudget, testMaxTurn, 40, time.Millisecond); err != nil {
				t.Fatalf("turn while the store is away: %v", err)
			}
		}
	})
}

func TestTurnOverTheUnrecordedLimitIsRefusedWhileTheStoreIsUnavailable(t *testing.T) {
	runInCluster(t, 2, func(t *testing.T, c *cluster) {
		c.Store.Set(metastore.Fault{Status: 503})
		var err error
		for range 4 {
			if err = c.turn(c.all()[0], "p", testBudget, testMaxTurn, 200, time.Millisecond); err != nil {
				break
			}
		}
		if !errors.Is(err, serve.ErrStoreAway) {
			t.Errorf("got %v, want %v", err, serve.ErrStoreAway)
		}
		if got := c.delivered["p"]; got > unrecordedLimit(testBudget, 1) {
			t.Errorf("delivered %d tokens without a record, allowed are %d", got, unrecordedLimit(testBudget, 1))
		}
		c.Store.Set(metastore.Fault{})
		if err := c.turn(c.all()[0], "p", testBudget, testMaxTurn, 100, time.Millisecond); err != nil {
			t.Errorf("turn after the store is back: %v", err)
		}
	})
}

// The return of everybody: all instances are lost, and the store goes away once
// they are back. New programs run, and go on over the loss of an owner.
func TestProgramsBeginBehindALossWhileTheStoreIsAway(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		if err := c.turn(c.all()[0], "earlier", testBudget, testMaxTurn, 70, 0); err != nil {
			t.Fatal(err)
		}
		c.restartAll()
		time.Sleep(2 * claimInterval)
		c.Store.Set(metastore.Fault{Status: 503})
		for i := range 10 {
			if err := c.turn(c.all()[i%3], fmt.Sprint("new", i), typicalBudget, typicalMaxTurn, 70, 0); err != nil {
				t.Errorf("program %d: %v", i, err)
			}
		}
		c.Store.Set(metastore.Fault{})
	})
}

func TestLossesAreForgottenOnceNoProgramOfBeforeIsLeft(t *testing.T) {
	runInCluster(t, 2, func(t *testing.T, c *cluster) {
		if err := c.turn(c.all()[0], "p", testBudget, testMaxTurn, 70, 0); err != nil {
			t.Fatal(err)
		}
		c.restartAll()
		time.Sleep(2 * claimInterval)
		if err := c.turn(c.all()[0], "q", testBudget, testMaxTurn, 70, 0); err != nil {
			t.Fatal(err)
		}
		if crashes, _ := c.crashesOf("q"); crashes != 1 {
			t.Errorf("behind a loss: %d losses", crashes)
		}
		time.Sleep(2*defaultRetention + 4*sweepInterval)
		if crashes, claimed := c.crashesOf("q"); crashes != 0 || !claimed {
			t.Errorf("later: %d losses, claimed %v", crashes, claimed)
		}
	})
}

// crashesBefore is what the owner of a program's partition knows of losses, and whether
// its claim has landed.
func (c *cluster) crashesOf(program string) (crashes int, claimed bool) {
	n := c.ownerOf(program)
	own := n.own(program)
	n.manager.mu.Lock()
	defer n.manager.mu.Unlock()
	return own.crashes, own.claimed
}

// A record of before slices counts for what its owner may have handed out, 0.6 of
// a budget.
func TestClaimsWithoutACrashCountAreCharged(t *testing.T) {
	state, err := decodePartition(platform.Newest{Records: []platform.Record{
		{Key: ownerKey, Value: []byte(`{"epoch":3,"owner":"m~1","address":"m"}`)},
	}})
	if err != nil {
		t.Fatal(err)
	}
	a := newAccount("p", typicalBudget, typicalMaxTurn, state.owner.crashes()+1)
	if a.used < typicalBudget*6/10 {
		t.Errorf("%d of %d charged", a.used, typicalBudget)
	}
}

func TestLeavingOwnerHandsExactFiguresOver(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		for range 7 {
			if err := c.turn(c.all()[0], "p", testBudget, testMaxTurn, 70, time.Millisecond); err != nil {
				t.Fatal(err)
			}
		}
		// Also while the store is away.
		c.Store.Set(metastore.Fault{Reset: true})
		for range 2 {
			owner := c.ownerOf("p")
			owner.manager.Leave(t.Context())
			c.Kill(owner.Node)
		}
		c.Store.Set(metastore.Fault{})
		time.Sleep(time.Second)
		last := c.all()[0]
		a := last.manager.partitionOf("p").own.accounts["p"]
		if a == nil || a.used != 490 || a.crashes > 0 {
			t.Errorf("account after two handovers: %+v, want 490 tokens used", a)
		}
	})
}

func TestCrashedOwnerIsReplaced(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		if err := c.turn(c.all()[0], "p", testBudget, testMaxTurn, 70, time.Millisecond); err != nil {
			t.Fatal(err)
		}
		c.Kill(c.ownerOf("p").Node)
		started := time.Now()
		if err := c.turn(c.all()[0], "p", testBudget, testMaxTurn, 70, 0); err != nil {
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
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		if err := c.turn(c.all()[0], "p", testBudget, testMaxTurn, 70, time.Millisecond); err != nil {
			t.Fatal(err)
		}
		old := c.ownerOf("p")
		c.SetCut(old.ID, simnet.Both)
		var work sync.WaitGroup
		for _, n := range c.all() {
			work.Go(func() {
				for range 30 {
					if err := c.turn(n, "p", testBudget, testMaxTurn, 290, time.Millisecond); errors.Is(err, serve.ErrSpent) {
						return
					}
				}
			})
		}
		work.Wait()
		if got := c.delivered["p"]; got > testBudget+testMaxTurn {
			t.Errorf("delivered %d tokens, the budget is %d and a turn's most %d", got, testBudget, testMaxTurn)
		}
	})
}

func TestInstanceRefusedByTheStoreLetsAnotherClaim(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		dead := c.ownerOf("p")
		c.Kill(dead.Node)
		c.all()[0].Refused.Store(true)
		for _, n := range c.all() {
			if err := c.turn(n, "p", testBudget, testMaxTurn, 70, time.Millisecond); err != nil {
				t.Errorf("turn at %s: %v", n.ID, err)
			}
		}
	})
}

// An owner that the store refuses hands its partitions to an instance that the
// store serves, before a turn needs a record.
func TestOwnerRefusedByTheStoreHandsOver(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		owner := c.ownerOf("p")
		owner.Refused.Store(true)
		time.Sleep(5 * evacuateInterval)
		for range 8 {
			if err := c.turn(owner, "p", testBudget, testMaxTurn, 70, time.Millisecond); err != nil {
				t.Fatal(err)
			}
		}
		if next := c.ownerOf("p"); next == owner {
			t.Error("the refused instance still owns the partition")
		}
	})
}

// While the store is away for all, the owner keeps its partitions.
func TestOwnerKeepsPartitionsWhileTheStoreIsUnavailableForAll(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		owner := c.ownerOf("p")
		for _, n := range c.all() {
			n.Refused.Store(true)
		}
		time.Sleep(5 * evacuateInterval)
		if c.ownerOf("p") != owner {
			t.Error("the partition changed hands")
		}
	})
}

// While the store does not serve a partition without an owner, turns are
// refused at once and the store is not asked for each of them.
func TestPartitionThatTheStoreDoesNotServe(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		c.Kill(c.ownerOf("p").Node)
		c.Store.Set(metastore.Fault{Reset: true})
		before := c.Store.Calls()
		begun := time.Now()
		const turns = 20
		for i := range turns {
			err := c.turn(c.all()[i%2], "p", testBudget, testMaxTurn, 70, 0)
			if !errors.Is(err, serve.ErrStoreAway) && !errors.Is(err, serve.ErrNoOwner) {
				t.Fatalf("got %v", err)
			}
		}
		took := time.Since(begun)
		if limit := int(4*(took/claimBackoff+2)) * maxClaimAttempts; c.Store.Calls()-before > limit {
			t.Errorf("%d calls to the store in %s", c.Store.Calls()-before, took)
		}
		if took > turns*ownerTimeout/2 {
			t.Errorf("%d refusals took %s", turns, took)
		}
	})
}

// The store may fail to serve some partitions while it serves others: what
// fails elsewhere does not keep an instance from claiming a partition.
func TestPartitionIsClaimedWhileOtherTopicsFail(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		c.Kill(c.ownerOf("p").Node)
		for _, n := range c.all() {
			n.FeedsFail.Store(true)
		}
		for _, n := range c.all() {
			if err := c.turn(n, "p", testBudget, testMaxTurn, 70, time.Millisecond); err != nil {
				t.Errorf("turn at %s: %v", n.ID, err)
			}
		}
	})
}

func TestRecordIsWrittenWhileOtherTopicsFail(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		for _, n := range c.all() {
			n.FeedsFail.Store(true)
		}
		for i := range 9 {
			if err := c.turn(c.all()[0], "p", testBudget, testMaxTurn, 70, time.Millisecond); err != nil {
				t.Fatalf("turn %d: %v", i, err)
			}
		}
	})
}

// A turn that needs a record of a partition that was handed over in an outage
// is refused at once: its new owner could not claim it yet.
func TestRecordOfAPartitionThatCannotBeClaimed(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		c.Store.Set(metastore.Fault{Status: 503})
		c.ownerOf("p").manager.Leave(t.Context())
		var err error
		begun := time.Now()
		for range 6 {
			if err = c.turn(c.all()[0], "p", testBudget, testMaxTurn, 200, time.Millisecond); err != nil {
				break
			}
		}
		if !errors.Is(err, serve.ErrStoreAway) {
			t.Errorf("got %v, want %v", err, serve.ErrStoreAway)
		}
		if took := time.Since(begun); took > 2*recordTimeout {
			t.Errorf("the refusal took %s", took)
		}
	})
}

// What one instance learns of a target reaches the others through the owners of
// their programs' budgets.
func TestTargetBreaksAreReportedThroughOwners(t *testing.T) {
	runInCluster(t, 4, func(t *testing.T, c *cluster) {
		runAll := func(n *node) {
			for i := range 12 {
				if err := c.turn(n, string(rune('a'+i)), testBudget, testMaxTurn, 10, 0); err != nil {
					t.Fatal(err)
				}
			}
		}
		first := c.all()[0]
		runAll(first)
		first.breaks.Hear([]structs.TargetBreak{{Target: "down"}}, time.Now())
		first.manager.ReportTargetBreaks()
		time.Sleep(2 * simnet.LinkTime)
		for _, n := range c.all() {
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
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		c.Store.Set(metastore.Fault{Status: 503})
		c.Kill(c.ownerOf("p").Node)
		time.Sleep(claimBackoff)
		c.Store.Set(metastore.Fault{})
		first := c.all()[0]
		p := first.manager.partitionOf("p")
		named := c.lives.ByID(first.manager.directory.Ranked(p.key())[1])
		const epoch = 100
		_, err := c.Store.Append(t.Context(), platform.Append{
			Topic: topic, Partition: p.number,
			Records: []platform.Record{{Key: ownerKey, Value: encode(ownerRecord{Epoch: epoch, Owner: named.ID})}},
			Writer:  &platform.Writer{Name: writerName, Epoch: epoch, Sequence: 1},
		})
		if err != nil {
			t.Fatal(err)
		}
		// The one that is named takes another for the owner.
		stale := first.manager.directory.Ranked(p.key())[0]
		named.manager.receiveNotice(stale, &structs.OwnerNotice{
			Owned: []structs.OwnedPartition{{Partition: p.number, Epoch: epoch - 1}},
		})
		for _, n := range c.all() {
			if err := c.turn(n, "p", testBudget, testMaxTurn, 70, 0); err != nil {
				t.Errorf("turn at %s: %v", n.ID, err)
			}
		}
	})
}

// An instance that was paused finds its connections broken and takes all others
// for dead when it wakes.
func TestInstanceThatWakesDoesNotTakePartitions(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		for _, program := range []string{"p", "q", "r", "s"} {
			if err := c.turn(c.all()[0], program, testBudget, testMaxTurn, 70, 0); err != nil {
				t.Fatal(err)
			}
		}
		woken := c.all()[1]
		owners := make(map[string]*node)
		for _, program := range []string{"p", "q", "r", "s"} {
			owners[program] = c.ownerOf(program)
		}
		for _, other := range c.all() {
			if other != woken {
				woken.Post(structs.PeerDown{Peer: other.ID})
			}
		}
		time.Sleep(2 * claimInterval)
		for program, owner := range owners {
			if c.ownerOf(program) != owner {
				t.Errorf("the partition of %s changed hands", program)
			}
		}
	})
}

// The owner remembers where a program's last turn ran and tells whoever runs the
// next one, also after it has handed its accounts over.
func TestOwnerRemembersTheTargetOfAProgram(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		reserve := func(n *node) serve.Lease {
			lease, err := n.manager.Reserve(t.Context(), serve.Turn{
				Program: "p", Budget: testBudget, Most: testMaxTurn, Retention: time.Minute,
			})
			if err != nil {
				t.Fatal(err)
			}
			return lease
		}
		first := reserve(c.all()[0])
		if got := first.LastTarget(); got != "" {
			t.Errorf("a new program's target is %q", got)
		}
		first.Settle(serve.TurnEnd{Used: 10, Target: "engine1"})
		owner := c.ownerOf("p")
		owner.manager.Leave(t.Context())
		c.Kill(owner.Node)
		for _, n := range c.all() {
			lease := reserve(n)
			if got := lease.LastTarget(); got != "engine1" {
				t.Errorf("%s is told %q", n.ID, got)
			}
			lease.Settle(serve.TurnEnd{}) // ran nowhere
			time.Sleep(2 * simnet.LinkTime)
		}
		n := c.all()[0]
		reserve(n).Settle(serve.TurnEnd{Target: "engine2", Failed: true})
		time.Sleep(2 * simnet.LinkTime)
		last := reserve(n)
		if got := last.LastTarget(); got != "engine1" {
			t.Errorf("after another one's failure: %q", got)
		}
		last.Settle(serve.TurnEnd{Target: "engine1", Failed: true})
		time.Sleep(2 * simnet.LinkTime)
		if got := reserve(n).LastTarget(); got != "" {
			t.Errorf("a target that failed the program is remembered: %q", got)
		}
	})
}
