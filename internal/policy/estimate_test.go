package policy

import (
	"math/rand"
	"testing"
	"time"
)

var estimateStart = time.Unix(100, 0)

// speedOf is a Speed after n samples a tenth of a second apart, with the time of
// the last one.
func speedOf(n int, sample func() float64) (SpeedEstimate, time.Time) {
	var s SpeedEstimate
	now := estimateStart
	for range n {
		now = now.Add(100 * time.Millisecond)
		s.Add(sample(), now)
	}
	return s, now
}

// Answers of uneven work say little of one target: an estimate of equal targets
// stays near 1, while that of a target several times slower comes out.
func TestSpeedTellsNoiseFromTrend(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	far := 0
	for range 200 {
		s, now := speedOf(20, random.ExpFloat64)
		if slowness := s.Slowness(1, 1, now); slowness > 1.4 || slowness < 0.6 {
			far++
		}
	}
	if far > 20 {
		t.Errorf("%d of 200 equal targets look uneven", far)
	}
	s, now := speedOf(20, func() float64 { return 4 * random.ExpFloat64() })
	if slowness := s.Slowness(1, 1, now); slowness < 2 {
		t.Errorf("a target that takes four times as long looks %.2f times as slow", slowness)
	}
	s, now = speedOf(6, func() float64 { return 0.6 })
	if slowness := s.Slowness(1, 1, now); slowness > 0.75 {
		t.Errorf("a fast target looks %.2f times as slow", slowness)
	}
}

// A target that turned slow and is not asked any more is tried again: what was
// learned of it ages to the usual.
func TestSpeedAgesToTheUsual(t *testing.T) {
	s, now := speedOf(10, func() float64 { return 5 })
	before := s.Slowness(1, 1, now)
	after := s.Slowness(1, 1, now.Add(3*speedLife))
	if before < 4 || after > 1.3 {
		t.Errorf("slowness %.2f when new, %.2f when old", before, after)
	}
	var none SpeedEstimate
	if none.Slowness(1, 1, now) != 1 || s.Slowness(0, 1, now) != 1 {
		t.Error("an unknown target is not like the usual")
	}
}

// Others are told what is left of a mean without its noise: nearly the usual of a
// target of which two uneven answers were seen, the mean of a target that is slow.
func TestSpeedIsToldWithoutItsNoise(t *testing.T) {
	uneven := []float64{0.4, 2.6}
	few, _ := speedOf(2, func() float64 { next := uneven[0]; uneven = uneven[1:]; return next })
	if told := few.AdvertisedMean(1, 1); told < 0.8 || told > 1.2 {
		t.Errorf("told %.2f of a mean of %.2f", told, few.Mean)
	}
	slow, _ := speedOf(10, func() float64 { return 4 })
	if told := slow.AdvertisedMean(1, 1); told < 3 {
		t.Errorf("told %.2f of a mean of %.2f", told, slow.Mean)
	}
	if none := new(SpeedEstimate).AdvertisedMean(1, 1); none != 0 {
		t.Errorf("told %.2f of nothing", none)
	}
}

func TestSpeedHearsWhatIsNewer(t *testing.T) {
	var s SpeedEstimate
	s.MergeRemote(4, estimateStart)
	if s.Mean != 4 {
		t.Errorf("the first word gives %.1f", s.Mean)
	}
	s.Add(4, estimateStart.Add(time.Second))
	s.MergeRemote(1, estimateStart.Add(time.Second))
	if s.Mean != 4 {
		t.Error("a word as old as the own sample was taken")
	}
	s.MergeRemote(1, estimateStart.Add(2*time.Second))
	if s.Mean >= 4 || s.Mean <= 1 {
		t.Errorf("a newer word gives %.1f", s.Mean)
	}
}

// A target's word on its present pace fades, and its standing pace is what it says
// most of the time, even if the first word was not.
func TestPaceFades(t *testing.T) {
	if CurrentSlowness(0.7, 2.5, 0) != 2.5 || CurrentSlowness(4, 1, 0) != 4 {
		t.Error("a new pace that is worse does not count fully")
	}
	if late := CurrentSlowness(1, 2.5, 4*paceLife); late > 1.05 {
		t.Errorf("an old pace still counts %.2f", late)
	}
	var s PaceMedian
	for i := range 60 {
		word := 70
		if i%7 == 0 {
			word = 175
		}
		s.Add(word)
	}
	if s.Value < 0.65 || s.Value > 0.8 {
		t.Errorf("got %.2f", s.Value)
	}
}

// A report fades within the time of a request towards what the target usually
// reports, that towards the pool's mean; never below the own requests.
func TestFillFadesTowardsThePool(t *testing.T) {
	const request = 100 * time.Millisecond
	report := LoadReport{Busy: 8, Slots: 4, TypicalUtilization: 1, HasReport: true}
	at := func(age time.Duration) float64 {
		report.Age = age
		return ExpectedUtilization(report, 0.5, request)
	}
	if at(0) != 2 {
		t.Error("a new report does not count fully")
	}
	if middle := at(5 * request); middle < 0.8 || middle > 1 {
		t.Errorf("got %.2f", middle)
	}
	if old := at(2 * silentLife); old < 0.25 || old > 0.4 {
		t.Errorf("an old report gives %.2f", old)
	}
	if never := ExpectedUtilization(LoadReport{Slots: 4}, 0.5, request); never != 0.25 {
		t.Errorf("no report gives %.2f", never)
	}
	if got := ExpectedUtilization(LoadReport{OwnInFlight: 4, Slots: 4}, 0.5, request); got != 1 {
		t.Errorf("own requests give %.2f", got)
	}
	if got := ExpectedUtilization(LoadReport{Busy: 4, OwnDelta: 2, Slots: 4, HasReport: true}, 0, request); got != 1.5 {
		t.Errorf("own requests since the report give %.2f", got)
	}
	if first, later := SmoothUtilization(0, 3, true), SmoothUtilization(1, 2, false); first != 3 || later <= 1 || later >= 2 {
		t.Errorf("usual loads %.2f and %.2f", first, later)
	}
}
