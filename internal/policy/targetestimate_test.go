package policy

import (
	"math/rand"
	"testing"
	"time"
)

var estimateStart = time.Unix(100, 0)

// speedAfter returns a SpeedEstimate after n samples at intervals of 100 ms, and
// the time of the last one.
func speedAfter(n int, sample func() float64) (SpeedEstimate, time.Time) {
	var s SpeedEstimate
	now := estimateStart
	for range n {
		now = now.Add(100 * time.Millisecond)
		s.Add(sample(), now)
	}
	return s, now
}

// Estimates of equal targets stay near 1 in spite of noise, while a target that
// is several times slower is detected.
func TestSpeedEstimateSeparatesNoiseFromDeviation(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	far := 0
	for range 200 {
		s, now := speedAfter(20, random.ExpFloat64)
		if slowness := s.Slowness(1, 1, now); slowness > 1.4 || slowness < 0.6 {
			far++
		}
	}
	if far > 20 {
		t.Errorf("%d of 200 equal targets look uneven", far)
	}
	s, now := speedAfter(20, func() float64 { return 4 * random.ExpFloat64() })
	if slowness := s.Slowness(1, 1, now); slowness < 2 {
		t.Errorf("a target that takes four times as long looks %.2f times as slow", slowness)
	}
	s, now = speedAfter(6, func() float64 { return 0.6 })
	if slowness := s.Slowness(1, 1, now); slowness > 0.75 {
		t.Errorf("a fast target looks %.2f times as slow", slowness)
	}
}

// A slow target that is no longer used is tried again, since its estimate decays
// to the typical one.
func TestSpeedEstimateDecaysToTypical(t *testing.T) {
	s, now := speedAfter(10, func() float64 { return 5 })
	before := s.Slowness(1, 1, now)
	after := s.Slowness(1, 1, now.Add(3*speedDecayTime))
	if before < 4 || after > 1.3 {
		t.Errorf("slowness %.2f when new, %.2f when old", before, after)
	}
	var none SpeedEstimate
	if none.Slowness(1, 1, now) != 1 || s.Slowness(0, 1, now) != 1 {
		t.Error("an unknown target is not like the usual")
	}
}

// The advertised mean is close to typical after two noisy samples, and close to
// the actual mean for a target that is slow.
func TestAdvertisedMeanExcludesNoise(t *testing.T) {
	uneven := []float64{0.4, 2.6}
	few, _ := speedAfter(2, func() float64 { next := uneven[0]; uneven = uneven[1:]; return next })
	if told := few.AdvertisedMean(1, 1); told < 0.8 || told > 1.2 {
		t.Errorf("told %.2f of a mean of %.2f", told, few.Mean)
	}
	slow, _ := speedAfter(10, func() float64 { return 4 })
	if told := slow.AdvertisedMean(1, 1); told < 3 {
		t.Errorf("told %.2f of a mean of %.2f", told, slow.Mean)
	}
	if none := new(SpeedEstimate).AdvertisedMean(1, 1); none != 0 {
		t.Errorf("told %.2f of nothing", none)
	}
}

func TestMergeRemoteTakesNewerMeans(t *testing.T) {
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

// A report of the current pace decays quickly, and the median follows the
// prevailing pace even if the first report differs.
func TestPaceReportsDecay(t *testing.T) {
	if CurrentSlowness(0.7, 2.5, 0) != 2.5 || CurrentSlowness(4, 1, 0) != 4 {
		t.Error("a new pace that is worse does not count fully")
	}
	if late := CurrentSlowness(1, 2.5, 4*paceDecayTime); late > 1.05 {
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

// A report decays towards the target's typical utilization, that towards the
// pool's mean, and the result is never below the instance's own requests.
func TestExpectedUtilizationDecaysToPoolMean(t *testing.T) {
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
	if old := at(2 * unreportedDecayTime); old < 0.25 || old > 0.4 {
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
