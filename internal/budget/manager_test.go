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
	// typicalBudget allows eight turns of the maximum size.
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

// spendAll runs turns at all instances in parallel until the budget is exhausted.
func spendAll(t *testing.T, c *cluster, program string, used int) {
	t.Helper()
	var work sync.WaitGroup
	for _, n := range c.all() {
		work.Go(func() {
			for {
				err := c.turn(n, program, testBudget, testMaxTurn, used, 50*time.Millisecond)
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
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		spendAll(t, c, "p", 70)
		if got := c.delivered["p"]; got > testBudget || got < testBudget-testMaxTurn {
			t.Errorf("delivered %d of %d tokens", got, testBudget)
		}
	})
}

// A record rewritten while turns wait for it must not lower the limit that a later
// owner counts.
func TestBudgetHoldsAfterAllInstancesCrash(t *testing.T) {
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
			t.Errorf("delivered %d tokens, the budget is %d and the maximum of a turn %d", got, testBudget, testMaxTurn)
		}
	})
}

func TestOrdinaryProgramNeedsNoRecord(t *testing.T) {
	runInCluster(t, 2, func(t *testing.T, c *cluster) {
		c.Store.Set(metastore.Fault{Unresponsive: true})
		for range 5 {
			if err := c.turn(c.all()[0], "p", testBudget, testMaxTurn, 40, time.Millisecond); err != nil {
				t.Fatalf("turn while the store is unavailable: %v", err)
			}
		}
	})
}

func TestTurnOverUnrecordedLimitIsRefusedDuringOutage(t *testing.T) {
	runInCluster(t, 2, func(t *testing.T, c *cluster) {
		c.Store.Set(metastore.Fault{Status: 503})
		var err error
		for range 4 {
			if err = c.turn(c.all()[0], "p", testBudget, testMaxTurn, 200, time.Millisecond); err != nil {
				break
			}
		}
		if !errors.Is(err, serve.ErrStoreUnavailable) {
			t.Errorf("got %v, want %v", err, serve.ErrStoreUnavailable)
		}
		if got := c.delivered["p"]; got > unrecordedLimit(testBudget, 1) {
			t.Errorf("delivered %d tokens without a record, want at most %d", got, unrecordedLimit(testBudget, 1))
		}
		c.Store.Set(metastore.Fault{})
		if err := c.turn(c.all()[0], "p", testBudget, testMaxTurn, 100, time.Millisecond); err != nil {
			t.Errorf("turn after the store recovered: %v", err)
		}
	})
}

// After all instances crashed and the store became unavailable, new programs start and
// continue.
func TestProgramsBeginAfterCrashDuringOutage(t *testing.T) {
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

func TestCrashesAreForgottenOnceEarlierProgramsExpire(t *testing.T) {
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
			t.Errorf("after a crash: crash count %d", crashes)
		}
		time.Sleep(2*defaultRetention + 4*sweepInterval)
		if crashes, claimed := c.crashesOf("q"); crashes != 0 || !claimed {
			t.Errorf("after the retention: crash count %d, claimed %v", crashes, claimed)
		}
	})
}

// crashesOf returns the crash count at the owner of a program's partition, and whether
// its claim was appended.
func (c *cluster) crashesOf(program string) (crashes int, claimed bool) {
	n := c.ownerOf(program)
	own := n.own(program)
	n.manager.mu.Lock()
	defer n.manager.mu.Unlock()
	return own.crashes, own.claimed
}

// A claim by a version without slices counts for the 0.6 of a budget that its owner
// may have allocated.
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
		// Handovers also work while the store is unavailable.
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
			t.Fatalf("turn after the owner's crash: %v", err)
		}
		if waited := time.Since(started); waited > 200*time.Millisecond {
			t.Errorf("the turn waited %s for a new owner", waited)
		}
	})
}

// An owner that was presumed dead continues within its limits, all of which the next
// owner counts.
func TestPartitionedOwnerStaysWithinTheBudget(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		if err := c.turn(c.all()[0], "p", testBudget, testMaxTurn, 70, time.Millisecond); err != nil {
			t.Fatal(err)
		}
		old := c.ownerOf("p")
		c.SetIsolation(old.ID, simnet.IsolateBoth)
		var work sync.WaitGroup
		for _, n := range c.all() {
			work.Go(func() {
				for range 30 {
					if err := c.turn(n, "p", testBudget, testMaxTurn, 290, time.Millisecond); errors.Is(err, serve.ErrBudgetSpent) {
						return
					}
				}
			})
		}
		work.Wait()
		if got := c.delivered["p"]; got > testBudget+testMaxTurn {
			t.Errorf("delivered %d tokens, the budget is %d and the maximum of a turn %d", got, testBudget, testMaxTurn)
		}
	})
}

func TestInstanceRefusedByTheStoreLetsAnotherClaim(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		dead := c.ownerOf("p")
		c.Kill(dead.Node)
		c.all()[0].StoreRefused.Store(true)
		for _, n := range c.all() {
			if err := c.turn(n, "p", testBudget, testMaxTurn, 70, time.Millisecond); err != nil {
				t.Errorf("turn at %s: %v", n.ID, err)
			}
		}
	})
}

// An owner that the store rejects hands its partitions to an instance that the store
// serves, before a turn needs a record.
func TestOwnerRefusedByTheStoreHandsOver(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		owner := c.ownerOf("p")
		owner.StoreRefused.Store(true)
		time.Sleep(5 * evacuateInterval)
		for range 8 {
			if err := c.turn(owner, "p", testBudget, testMaxTurn, 70, time.Millisecond); err != nil {
				t.Fatal(err)
			}
		}
		if next := c.ownerOf("p"); next == owner {
			t.Error("the rejected instance still owns the partition")
		}
	})
}

// While the store is unavailable for all, the owner keeps its partitions.
func TestOwnerKeepsPartitionsDuringOutage(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		owner := c.ownerOf("p")
		for _, n := range c.all() {
			n.StoreRefused.Store(true)
		}
		time.Sleep(5 * evacuateInterval)
		if c.ownerOf("p") != owner {
			t.Error("the owner of the partition changed")
		}
	})
}

// While the store does not serve a partition without an owner, turns are refused at
// once and the store is not called for each of them.
func TestPartitionNotServedByTheStore(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		c.Kill(c.ownerOf("p").Node)
		c.Store.Set(metastore.Fault{Reset: true})
		before := c.Store.Calls()
		begun := time.Now()
		const turns = 20
		for i := range turns {
			err := c.turn(c.all()[i%2], "p", testBudget, testMaxTurn, 70, 0)
			if !errors.Is(err, serve.ErrStoreUnavailable) && !errors.Is(err, serve.ErrNoOwner) {
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

// The store may fail for some partitions only: failures of other topics do not keep an
// instance from claiming.
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

// A turn that needs a record of a partition handed over during an outage is refused at
// once, since the new owner could not claim it yet.
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
		if !errors.Is(err, serve.ErrStoreUnavailable) {
			t.Errorf("got %v, want %v", err, serve.ErrStoreUnavailable)
		}
		if took := time.Since(begun); took > 2*recordTimeout {
			t.Errorf("the refusal took %s", took)
		}
	})
}

// Target failures observed by one instance reach the others through the owners of their
// programs' budgets.
func TestTargetFailuresAreReportedThroughOwners(t *testing.T) {
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
		first.failures.MergeTargetFailures([]structs.TargetFailure{{Target: "down"}}, time.Now())
		first.manager.ReportTargetFailures()
		time.Sleep(2 * simnet.LinkLatency)
		for _, n := range c.all() {
			runAll(n)
			if got := n.failures.TargetFailures(time.Now()); len(got) != 1 || got[0].Target != "down" {
				t.Errorf("%s knows %v", n.ID, got)
			}
		}
	})
}

// A claim may take effect although its response is lost; other instances that read the
// partition then name the claimant as the owner.
func TestInstanceNamedAsOwnerClaims(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		c.Store.Set(metastore.Fault{Status: 503})
		c.Kill(c.ownerOf("p").Node)
		time.Sleep(claimBackoff)
		c.Store.Set(metastore.Fault{})
		first := c.all()[0]
		p := first.manager.partitionOf("p")
		named := c.nodes.ByID(first.manager.directory.Ranked(p.key())[1])
		const epoch = 100
		_, err := c.Store.Append(t.Context(), platform.Append{
			Topic: topic, Partition: p.number,
			Records: []platform.Record{{Key: ownerKey, Value: encode(ownerRecord{Epoch: epoch, Owner: named.ID})}},
			Writer:  &platform.Writer{Name: writerName, Epoch: epoch, Sequence: 1},
		})
		if err != nil {
			t.Fatal(err)
		}
		// The named instance considers another one the owner.
		stale := first.manager.directory.Ranked(p.key())[0]
		named.manager.receiveOwnerNotice(stale, &structs.OwnerNotice{
			Owned: []structs.OwnedPartition{{Partition: p.number, Epoch: epoch - 1}},
		})
		for _, n := range c.all() {
			if err := c.turn(n, "p", testBudget, testMaxTurn, 70, 0); err != nil {
				t.Errorf("turn at %s: %v", n.ID, err)
			}
		}
	})
}

// An instance that resumes after a pause finds its connections broken and considers
// all others unavailable.
func TestResumedInstanceTakesNoPartitions(t *testing.T) {
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
				t.Errorf("the owner of the partition of %s changed", program)
			}
		}
	})
}

// The owner stores the target of a program's last turn and returns it for the next
// one, also after a handover.
func TestOwnerRemembersTheTargetOfAProgram(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		reserve := func(n *node) serve.Lease {
			lease, err := n.manager.Reserve(t.Context(), serve.Turn{
				Program: "p", Budget: testBudget, MaxTokens: testMaxTurn, Retention: time.Minute,
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
		first.Settle(serve.TurnResult{UsedTokens: 10, Target: "engine1"})
		owner := c.ownerOf("p")
		owner.manager.Leave(t.Context())
		c.Kill(owner.Node)
		for _, n := range c.all() {
			lease := reserve(n)
			if got := lease.LastTarget(); got != "engine1" {
				t.Errorf("%s got target %q", n.ID, got)
			}
			lease.Settle(serve.TurnResult{}) // ran nowhere
			time.Sleep(2 * simnet.LinkLatency)
		}
		n := c.all()[0]
		reserve(n).Settle(serve.TurnResult{Target: "engine2", Failed: true})
		time.Sleep(2 * simnet.LinkLatency)
		last := reserve(n)
		if got := last.LastTarget(); got != "engine1" {
			t.Errorf("after a failure of another target: got %q", got)
		}
		last.Settle(serve.TurnResult{Target: "engine1", Failed: true})
		time.Sleep(2 * simnet.LinkLatency)
		if got := reserve(n).LastTarget(); got != "" {
			t.Errorf("got a target that failed the program: %q", got)
		}
	})
}

// Callers that begin many programs must not fill the memory: beyond the bound no program
// begins, and those that have spent tokens go on and keep their spending until they expire.
func TestProgramsBeyondTheBoundDoNotBegin(t *testing.T) {
	runInCluster(t, 2, func(t *testing.T, c *cluster) {
		const maxAccounts = 3
		for _, n := range c.all() {
			n.manager.maxAccounts = maxAccounts
		}
		first := c.all()[0]
		begun, refused := 0, 0
		for i := range 40 {
			err := c.turn(first, fmt.Sprint("p", i), testBudget, testMaxTurn, 70, time.Millisecond)
			switch {
			case err == nil:
				begun++
			case errors.Is(err, serve.ErrBudgetsFull):
				refused++
			default:
				t.Fatalf("program %d: %v", i, err)
			}
		}
		if begun != 2*maxAccounts || refused != 40-begun {
			t.Errorf("%d programs began and %d were refused, want %d to begin", begun, refused, 2*maxAccounts)
		}
		spendAll(t, c, "p0", 70)
		if got := c.delivered["p0"]; got > testBudget || got < testBudget-testMaxTurn {
			t.Errorf("the first program got %d of %d tokens", got, testBudget)
		}
		time.Sleep(defaultRetention + deliveryMargin + 2*sweepInterval)
		if err := c.turn(first, "later", testBudget, testMaxTurn, 70, time.Millisecond); err != nil {
			t.Errorf("a program after the others have expired: %v", err)
		}
	})
}

// Programs whose turns did not run take no memory.
func TestProgramsWithoutRunsAreForgotten(t *testing.T) {
	runInCluster(t, 1, func(t *testing.T, c *cluster) {
		n := c.all()[0]
		for i := range 20 {
			if err := c.turn(n, fmt.Sprint("p", i), testBudget, testMaxTurn, 0, time.Millisecond); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		n.manager.mu.Lock()
		defer n.manager.mu.Unlock()
		if held := n.manager.accounts(); held != 0 {
			t.Errorf("%d accounts are held", held)
		}
	})
}
