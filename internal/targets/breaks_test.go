package targets

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// word is another instance's word on targets.
func word(age time.Duration, ids ...string) []structs.TargetFailure {
	var breaks []structs.TargetFailure
	for _, id := range ids {
		breaks = append(breaks, structs.TargetFailure{Target: id, Age: age})
	}
	return breaks
}

// picks counts how often each target is chosen of some requests that run at the
// same time, so that each of the targets in question gets some.
func picks(r *Registry, now time.Time) map[string]int {
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

func TestTargetThatBrokeElsewhereIsAvoidedForAWhile(t *testing.T) {
	r := newTestRegistry(6)
	now := time.Unix(100, 0)
	r.MergeBreaks(word(100*time.Millisecond, "t0", "t1"), now)
	if got := picks(r, now); got["t0"]+got["t1"] != 0 {
		t.Errorf("picked %v", got)
	}
	if got := picks(r, now.Add(heardFor)); got["t0"] == 0 {
		t.Errorf("after its time t0 was not tried: %v", got)
	}
}

func TestOwnAnswersCountMoreThanTheWordOfOthers(t *testing.T) {
	r := newTestRegistry(6)
	now := time.Unix(100, 0)
	r.RecordSuccess(r.byID["t0"], now.Add(-50*time.Millisecond))
	r.MergeBreaks(word(100*time.Millisecond, "t0"), now)
	if got := picks(r, now); got["t0"] == 0 {
		t.Errorf("picked %v", got)
	}
	r.MergeBreaks(word(10*time.Millisecond, "t0"), now)
	if got := picks(r, now); got["t0"] != 0 {
		t.Errorf("picked %v", got)
	}
	r.RecordSuccess(r.byID["t0"], now)
	if got := picks(r, now); got["t0"] == 0 {
		t.Errorf("after an answer picked %v", got)
	}
}

func TestWordOfOthersCannotEmptyAService(t *testing.T) {
	r := newTestRegistry(6)
	now := time.Unix(100, 0)
	r.MergeBreaks(word(0, "t0", "t1", "t2", "t3", "t4", "t5"), now)
	if got := picks(r, now); len(got) != 4 {
		t.Errorf("picked %v", got)
	}
}

func TestBreaksArePassedOnUntilTheyAreOld(t *testing.T) {
	a, b := newTestRegistry(6), newTestRegistry(6)
	now := time.Unix(100, 0)
	if !a.RecordBreak(a.byID["t0"], now) || a.RecordBreak(a.byID["t0"], now.Add(noticeInterval/2)) {
		t.Error("a second break was to be told at once")
	}
	b.MergeBreaks(a.Breaks(now.Add(heardFor/2)), now.Add(heardFor/2))
	if got := b.Breaks(now.Add(heardFor / 2)); len(got) != 1 || got[0].Age <= 0 {
		t.Errorf("passed on %v", got)
	}
	if got := b.Breaks(now.Add(2 * heardFor)); len(got) != 0 {
		t.Errorf("passed on %v", got)
	}
}

// What others say of an earlier start of a target says nothing of this one, and
// what an earlier start did here is not passed on.
func TestBreaksOfAnEarlierStartSayNothing(t *testing.T) {
	r := NewRegistry("dc", keptTo{})
	now := time.Unix(100, 0)
	for i := range 6 {
		r.Put(Entry{ID: fmt.Sprint("t", i), Service: "s", Address: "a", Slots: testSlots, Start: 1000})
	}
	former := r.byID["t0"]
	later := former.Entry
	later.Start = 2000
	r.Put(later)
	r.MergeBreaks(word(100*time.Millisecond, "t0@1000", "t0"), now)
	if got := picks(r, now); got["t0"] == 0 {
		t.Errorf("picked %v", got)
	}
	if r.RecordBreak(former, now) || len(r.Breaks(now)) != 0 {
		t.Error("a break of an earlier start is told")
	}
	r.MergeBreaks(word(0, "t0@2000"), now)
	if got := picks(r, now); got["t0"] != 0 {
		t.Errorf("picked %v", got)
	}
}
