package settings

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// For any schedule of proposals, faults, reads and restarts: offsets and versions only
// grow, no version of a path has two values, an accepted change is applied, a lost or
// unpublished one is not, and eventually all trees agree.
func TestProposersAgreeProperty(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("one winner for each version, versions never decrease", prop.ForAll(
		func(steps []int) bool { return runSchedule(t, steps) },
		gen.SliceOfN(60, gen.IntRange(0, 9999)),
	))
	properties.TestingRun(t)
}

func runSchedule(t *testing.T, steps []int) bool {
	cluster := newCluster(t)
	ids := []structs.InstanceID{"a", "b", "c"}
	for _, id := range ids {
		cluster.start(id)
	}
	checker := newChecker()
	for i, step := range steps {
		n := cluster.nodes[ids[step%len(ids)]]
		scheduleStep(cluster, n, i, step/len(ids))
		if !checker.check(t, cluster) {
			return false
		}
	}
	cluster.down, cluster.faults = false, nil
	cluster.advance(15*time.Second, time.Second)
	return checker.check(t, cluster) && checker.checkFinal(t, cluster)
}

func scheduleStep(cluster *fakeCluster, n *fakeNode, i, step int) {
	action, argument := step%9, step/9
	switch action {
	case 0, 1, 2:
		team := []string{"x", "y"}[argument%2]
		base := n.tree.Version("teams/" + team + "/priority")
		cluster.propose(n, structs.RequestID(fmt.Sprintf("%d", i)), priority(team, base, argument%100))
	case 3, 4:
		cluster.read(n)
	case 5:
		cluster.faults = append(cluster.faults, appendFault(argument%5))
	case 6:
		cluster.down = argument%2 == 0
	case 7:
		cluster.now = cluster.now.Add(time.Duration(argument%4) * time.Second)
		cluster.tick(n)
	case 8:
		if argument%4 == 0 {
			cluster.start(n.id)
		} else {
			cluster.tick(n)
		}
	}
}

// checker checks the invariants of the instances' visible state.
type checker struct {
	values   map[string]string
	versions map[*fakeNode]map[string]uint64
	results  map[string]structs.SettingsResult
}

func newChecker() *checker {
	return &checker{
		values: make(map[string]string), versions: make(map[*fakeNode]map[string]uint64),
		results: make(map[string]structs.SettingsResult),
	}
}

func (c *checker) check(t *testing.T, cluster *fakeCluster) bool {
	for _, n := range cluster.nodes {
		if c.versions[n] == nil {
			c.versions[n] = make(map[string]uint64)
		}
		for _, e := range entries(n.tree) {
			key := fmt.Sprintf("%s@%d", e.Path, e.Version)
			if old, ok := c.values[key]; ok && old != string(e.Value) {
				t.Logf("%s has two values: %s and %s", key, old, e.Value)
				return false
			}
			c.values[key] = string(e.Value)
			if e.Version < c.versions[n][e.Path] {
				t.Logf("%s: version decreased at %s", key, n.id)
				return false
			}
			c.versions[n][e.Path] = e.Version
		}
		for request, result := range n.replies {
			c.results["id-"+string(request)] = result
		}
	}
	return true
}

// checkFinal compares the trees and the replies with the log.
func (c *checker) checkFinal(t *testing.T, cluster *fakeCluster) bool {
	expected := NewTree()
	for _, rec := range cluster.records {
		expected.Apply(rec.Offset, rec.Data)
	}
	for _, n := range cluster.nodes {
		if !n.CaughtUp() || fmt.Sprint(entries(n.tree)) != fmt.Sprint(entries(expected)) {
			t.Logf("%s differs from the log", n.id)
			return false
		}
	}
	for id, result := range c.results {
		outcome, onLog := expected.Outcome(id)
		accepted := onLog && outcome.Accepted
		wrong := result.Status == structs.SettingsAccepted && !accepted ||
			result.Status == structs.SettingsLost && accepted ||
			result.Status == structs.SettingsNotPublished && onLog
		if wrong {
			t.Logf("%s: replied %s, on the log %+v", id, result.Status, outcome)
			return false
		}
	}
	return true
}
