package budget

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/metastore"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/testkit/simnet"
)

// own returns the ownership of a program's partition at an instance, nil if it does
// not own it.
func (n *node) own(program string) *ownership {
	n.manager.mu.Lock()
	defer n.manager.mu.Unlock()
	return n.manager.partitionOf(program).own
}

// others lists all instances but one.
func (c *cluster) others(n *node) []*node {
	var others []*node
	for _, other := range c.all() {
		if other != n {
			others = append(others, other)
		}
	}
	return others
}

// A successor whose reply is lost may own the partition, so the old owner must stop.
func TestUnansweredHandoverIsNotReverted(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		if err := c.turn(c.all()[0], "p", testBudget, testMaxTurn, 70, 0); err != nil {
			t.Fatal(err)
		}
		owner := c.ownerOf("p")
		others := c.others(owner)
		for _, other := range others {
			c.SetIsolation(other.ID, simnet.IsolateOutbound)
		}
		owner.manager.Leave(t.Context())
		if owner.own("p") != nil {
			t.Error("the old owner still owns the partition although its successor may own it")
		}
	})
}

// Accounts that were handed over are no longer exact once another instance has claimed
// the partition.
func TestHandedOverAccountsAreVoidAfterAnotherClaim(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		if err := c.turn(c.all()[0], "p", testBudget, testMaxTurn, 70, 0); err != nil {
			t.Fatal(err)
		}
		owner := c.ownerOf("p")
		c.Store.Set(metastore.Fault{Reset: true})
		owner.manager.Leave(t.Context())
		successor := c.ownerOf("p")
		if successor == nil || successor == owner {
			t.Fatal("no instance took the partition over")
		}
		c.Kill(owner.Node)
		third := c.others(successor)[0]
		c.Store.Set(metastore.Fault{})
		successor.StoreRefused.Store(true)
		c.SetIsolation(third.ID, simnet.IsolateOutbound)
		third.Post(structs.PeerDown{Peer: successor.ID})
		time.Sleep(time.Second)
		if third.own("p") == nil {
			t.Fatal("the third instance did not claim the partition")
		}
		c.Kill(third.Node)
		successor.StoreRefused.Store(false)
		time.Sleep(2 * claimInterval)
		own := successor.own("p")
		if own == nil || !own.claimed {
			t.Fatal("the successor did not claim the partition")
		}
		if own.crash == nil || own.crash.last != third.ID || !slices.Contains(own.crash.owners, third.ID) {
			t.Errorf("claimed with epoch %d, crash %+v, want a crash of %s", own.epoch, own.crash, third.ID)
		}
	})
}

func TestHandoverFromAnEarlierOwnerIsRefused(t *testing.T) {
	runInCluster(t, 2, func(t *testing.T, c *cluster) {
		n := c.all()[0]
		p := n.manager.partitions[0]
		n.manager.mu.Lock()
		p.own, p.epoch = nil, 5
		n.manager.mu.Unlock()
		if n.manager.acceptHandover(c.all()[1].ID, &structs.PartitionHandover{Number: 1, Partition: 0, Epoch: 4}) {
			t.Error("accepted a handover with an epoch older than the newest claim")
		}
	})
}

// Successors that do not respond must not keep an instance beyond its grace period.
func TestLeaveEndsWithItsContext(t *testing.T) {
	runInCluster(t, 1, func(t *testing.T, c *cluster) {
		owner := c.all()[0]
		for n := range 8 * testPartitions {
			if err := c.turn(owner, fmt.Sprint("p", n), testBudget, testMaxTurn, 70, 0); err != nil {
				t.Fatal(err)
			}
		}
		for n := range 4 {
			c.SetIsolation(c.start(fmt.Sprint("silent", n)).ID, simnet.IsolateOutbound)
		}
		// More than one of the owner's partitions, each with a wait of its own.
		const left = handoverTimeout * 3 / 2
		started := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), left)
		defer cancel()
		owner.manager.Leave(ctx)
		if took := time.Since(started); took != left {
			t.Errorf("took %s, want %s", took, left)
		}
	})
}
