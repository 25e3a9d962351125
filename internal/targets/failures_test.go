package targets

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// peerFailures returns another instance's report of target failures.
func peerFailures(age time.Duration, ids ...string) []structs.TargetFailure {
	var failures []structs.TargetFailure
	for _, id := range ids {
		failures = append(failures, structs.TargetFailure{Target: id, Age: age})
	}
	return failures
}

// countPicks counts the picks per target for concurrent requests, so that each
// usable target is picked.
func countPicks(r *Registry, now time.Time) map[string]int {
	counts := make(map[string]int)
	var picked []*Target
	for range 12 {
		t := r.Pick(Criteria{Service: "s"}, now)
		counts[t.ID]++
		picked = append(picked, t)
	}
	for _, t := range picked {
		r.End(t)
	}
	return counts
}

func TestPeerFailureAvoidsTargetTemporarily(t *testing.T) {
	r := newTestRegistry(6)
	now := time.Unix(100, 0)
	r.MergeTargetFailures(peerFailures(100*time.Millisecond, "t0", "t1"), now)
	if counts := countPicks(r, now); counts["t0"]+counts["t1"] != 0 {
		t.Errorf("picked %v", counts)
	}
	if counts := countPicks(r, now.Add(peerAvoidance)); counts["t0"] == 0 {
		t.Errorf("t0 was not picked after the avoidance ended: %v", counts)
	}
}

func TestOwnSuccessOverridesPeerFailures(t *testing.T) {
	r := newTestRegistry(6)
	now := time.Unix(100, 0)
	r.RecordSuccess(r.byID["t0"], now.Add(-50*time.Millisecond))
	r.MergeTargetFailures(peerFailures(100*time.Millisecond, "t0"), now)
	if counts := countPicks(r, now); counts["t0"] == 0 {
		t.Errorf("picked %v", counts)
	}
	r.MergeTargetFailures(peerFailures(10*time.Millisecond, "t0"), now)
	if counts := countPicks(r, now); counts["t0"] != 0 {
		t.Errorf("picked %v", counts)
	}
	r.RecordSuccess(r.byID["t0"], now)
	if counts := countPicks(r, now); counts["t0"] == 0 {
		t.Errorf("picked %v after a success", counts)
	}
}

func TestPeerReportsCannotExcludeAllTargets(t *testing.T) {
	r := newTestRegistry(6)
	now := time.Unix(100, 0)
	r.MergeTargetFailures(peerFailures(0, "t0", "t1", "t2", "t3", "t4", "t5"), now)
	if counts := countPicks(r, now); len(counts) != 4 {
		t.Errorf("picked %v", counts)
	}
}

func TestTargetFailuresAreRelayedUntilExpired(t *testing.T) {
	a, b := newTestRegistry(6), newTestRegistry(6)
	now := time.Unix(100, 0)
	if !a.RecordSharedFailure(a.byID["t0"], now) || a.RecordSharedFailure(a.byID["t0"], now.Add(minNoticeInterval/2)) {
		t.Error("want a notice of the first failure only")
	}
	b.MergeTargetFailures(a.TargetFailures(now.Add(peerAvoidance/2)), now.Add(peerAvoidance/2))
	if failures := b.TargetFailures(now.Add(peerAvoidance / 2)); len(failures) != 1 || failures[0].Age <= 0 {
		t.Errorf("relayed failures %v", failures)
	}
	if failures := b.TargetFailures(now.Add(2 * peerAvoidance)); len(failures) != 0 {
		t.Errorf("relayed failures %v", failures)
	}
}

// Failures reported for an earlier incarnation have no effect, and failures of an
// earlier incarnation are not relayed.
func TestFailuresOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	r := NewRegistry("dc", idleConnections{})
	now := time.Unix(100, 0)
	for i := range 6 {
		r.Put(Entry{ID: fmt.Sprint("t", i), Service: "s", Address: "a", Slots: testSlots, Start: 1000})
	}
	former := r.byID["t0"]
	later := former.Entry
	later.Start = 2000
	r.Put(later)
	r.MergeTargetFailures(peerFailures(100*time.Millisecond, "t0@1000", "t0"), now)
	if counts := countPicks(r, now); counts["t0"] == 0 {
		t.Errorf("picked %v", counts)
	}
	if r.RecordSharedFailure(former, now) || len(r.TargetFailures(now)) != 0 {
		t.Error("a failure of an earlier incarnation is relayed")
	}
	r.MergeTargetFailures(peerFailures(0, "t0@2000"), now)
	if counts := countPicks(r, now); counts["t0"] != 0 {
		t.Errorf("picked %v", counts)
	}
}
