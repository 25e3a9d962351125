package budget

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/testkit/simnet"
)

const (
	// largeClusterSize is the size of a large deployment.
	largeClusterSize = 300
	// maxWatchers bounds the watchers of the owner of one partition.
	maxWatchers = 32
)

// runInLargeCluster runs a test with hundreds of instances in virtual time.
func runInLargeCluster(t *testing.T, body func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.Stop()
		for i := range largeClusterSize {
			c.start(fmt.Sprint("m", i))
		}
		time.Sleep(4 * claimInterval)
		body(t, c)
	})
}

// A bounded number of instances watch each owner, among them the one that would claim
// its partition.
func TestFewInstancesWatchEachOwner(t *testing.T) {
	runInLargeCluster(t, func(t *testing.T, c *cluster) {
		watchers := make(map[structs.InstanceID]int)
		for _, n := range c.all() {
			for _, owner := range n.Watched() {
				watchers[owner]++
			}
		}
		owners := make(map[structs.InstanceID]int)
		for number := range testPartitions {
			owner := c.checkClaimant(t, number)
			owners[owner]++
		}
		for owner, partitions := range owners {
			if n := watchers[owner]; n > partitions*maxWatchers {
				t.Errorf("%d instances watch the owner of %d partitions", n, partitions)
			}
		}
	})
}

// checkClaimant checks that the instance which would claim a partition watches its
// owner, and returns the owner.
func (c *cluster) checkClaimant(t *testing.T, number int) structs.InstanceID {
	t.Helper()
	nodes := c.all()
	m := nodes[0].manager
	m.mu.Lock()
	p := m.partitions[number]
	owner, key := p.owner, p.key()
	m.mu.Unlock()
	if owner == "" {
		t.Fatalf("partition %d has no owner", number)
	}
	ranked := m.directory.Ranked(key)
	next := ranked[0]
	if next == owner {
		next = ranked[1]
	}
	if claimant := c.nodes.ByID(next); !slices.Contains(claimant.Watched(), owner) {
		t.Errorf("the instance that would claim partition %d does not watch its owner", number)
	}
	return owner
}

// A request that waits for an unresponsive owner ends when another instance reports
// that it has claimed the partition.
func TestRequestLeavesUnresponsiveOwnerAfterAnotherClaim(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		m := c.all()[0].manager
		waiting := func(lease uint64, partition int, owner structs.InstanceID) chan result {
			results := make(chan result, 1)
			request := structs.ReservationRequest{Partition: partition, Lease: structs.LeaseID{Holder: m.self.ID, Number: lease}}
			m.pending[request.Lease] = &pendingRequest{owner: owner, request: request, result: results}
			return results
		}
		m.mu.Lock()
		epoch := m.partitions[0].epoch + 1
		unresponsive := waiting(1001, 0, "silent")
		same := waiting(1002, 0, "claimant")
		other := waiting(1003, 1, "silent")
		m.mu.Unlock()
		m.receiveOwnerNotice("claimant", &structs.OwnerNotice{Owned: []structs.OwnedPartition{{Partition: 0, Epoch: epoch}}})
		select {
		case got := <-unresponsive:
			if got.outcome != structs.ReservationNotOwner || got.owner != "claimant" {
				t.Errorf("got %+v", got)
			}
		default:
			t.Error("the request still waits for the unresponsive owner")
		}
		if len(same) != 0 || len(other) != 0 {
			t.Error("a request to the current owner or for another partition was ended")
		}
	})
}

// An owner that did not reply is watched until it does, so that its recovery is
// detected.
func TestUnresponsiveOwnerIsWatched(t *testing.T) {
	runInLargeCluster(t, func(t *testing.T, c *cluster) {
		var distant *node
		var owner structs.InstanceID
		for _, n := range c.all() {
			m := n.manager
			m.mu.Lock()
			owner = m.partitions[0].owner
			m.mu.Unlock()
			if owner != "" && owner != n.ID && !slices.Contains(n.Watched(), owner) {
				distant = n
				break
			}
		}
		if distant == nil {
			t.Fatal("all instances watch the owner")
		}
		distant.manager.Receive(structs.PeerDown{Peer: owner})
		if !slices.Contains(distant.Watched(), owner) {
			t.Error("the recovery of the owner will not be detected")
		}
		distant.manager.Receive(structs.PeerUp{Peer: owner})
		if slices.Contains(distant.Watched(), owner) {
			t.Error("an owner that replies is still watched by an instance that would not claim")
		}
	})
}

// When an owner loses power, turns wait no longer than its detection and the claim of
// its partition take. Later turns do not wait.
func TestTurnsContinueAfterOwnerLosesPower(t *testing.T) {
	runInLargeCluster(t, func(t *testing.T, c *cluster) {
		const program, budget, maxTurn = "p", 100_000, 100
		longest := func(nodes []*node) time.Duration {
			var work sync.WaitGroup
			waits := make([]time.Duration, len(nodes))
			for i, n := range nodes {
				work.Go(func() {
					begun := time.Now()
					if err := c.turn(n, program, budget, maxTurn, 10, 0); err != nil {
						t.Errorf("turn at %s: %v", n.ID, err)
					}
					waits[i] = time.Since(begun)
				})
			}
			work.Wait()
			return slices.Max(waits)
		}
		longest(c.all()[:40])
		owner := c.ownerOf(program)
		if owner == nil {
			t.Fatal("the program's partition has no owner")
		}
		c.PowerOff(owner.Node)
		if wait := longest(c.all()[:20]); wait > simnet.DetectionDelay+200*time.Millisecond {
			t.Errorf("a turn waited %s after the owner lost power", wait)
		}
		time.Sleep(simnet.DetectionDelay)
		if wait := longest(c.all()[100:]); wait > 100*time.Millisecond {
			t.Errorf("a turn waited %s long after the owner lost power", wait)
		}
	})
}
