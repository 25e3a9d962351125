package policy

import (
	"math/rand"
	"testing"
	"time"
)

var estimateStart = time.Unix(100, 0)

// unitTimeAfter returns a UnitTimeEstimate after n samples at intervals of 100 ms, and
// the time of the last one.
func unitTimeAfter(n int, sample func() float64) (UnitTimeEstimate, time.Time) {
	var s UnitTimeEstimate
	now := estimateStart
	for range n {
		now = now.Add(100 * time.Millisecond)
		s.Add(sample(), now)
	}
	return s, now
}

// Estimates of equal targets stay near 1 in spite of noise, while a target that
// is several times slower is detected.
func TestUnitTimeEstimateSeparatesNoiseFromDeviation(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	outliers := 0
	for range 200 {
		s, now := unitTimeAfter(20, random.ExpFloat64)
		if slowness := s.Slowness(1, 1, now); slowness > 1.4 || slowness < 0.6 {
			outliers++
		}
	}
	if outliers > 20 {
		t.Errorf("%d of 200 equal targets are estimated as unequal", outliers)
	}
	s, now := unitTimeAfter(20, func() float64 { return 4 * random.ExpFloat64() })
	if slowness := s.Slowness(1, 1, now); slowness < 2 {
		t.Errorf("target that takes four times as long has slowness %.2f", slowness)
	}
	s, now = unitTimeAfter(6, func() float64 { return 0.6 })
	if slowness := s.Slowness(1, 1, now); slowness > 0.75 {
		t.Errorf("fast target has slowness %.2f", slowness)
	}
}

// A slow target that is no longer used is tried again, since its estimate decays
// to the typical one.
func TestUnitTimeEstimateDecaysToTypical(t *testing.T) {
	s, now := unitTimeAfter(10, func() float64 { return 5 })
	before := s.Slowness(1, 1, now)
	after := s.Slowness(1, 1, now.Add(3*unitTimeDecayTime))
	if before < 4 || after > 1.3 {
		t.Errorf("slowness %.2f when new, %.2f when old", before, after)
	}
	var none UnitTimeEstimate
	if none.Slowness(1, 1, now) != 1 || s.Slowness(0, 1, now) != 1 {
		t.Error("unknown target does not have slowness 1")
	}
}

// The advertised mean is close to typical after two noisy samples, and close to
// the actual mean for a target that is slow.
func TestAdvertisedMeanExcludesNoise(t *testing.T) {
	samples := []float64{0.4, 2.6}
	few, _ := unitTimeAfter(2, func() float64 { next := samples[0]; samples = samples[1:]; return next })
	if mean := few.AdvertisedMean(1, 1); mean < 0.8 || mean > 1.2 {
		t.Errorf("advertised %.2f for a mean of %.2f", mean, few.Mean)
	}
	slow, _ := unitTimeAfter(10, func() float64 { return 4 })
	if mean := slow.AdvertisedMean(1, 1); mean < 3 {
		t.Errorf("advertised %.2f for a mean of %.2f", mean, slow.Mean)
	}
	if none := new(UnitTimeEstimate).AdvertisedMean(1, 1); none != 0 {
		t.Errorf("advertised %.2f without samples", none)
	}
}

func TestMergeRemoteTakesNewerMeans(t *testing.T) {
	var s UnitTimeEstimate
	s.MergeRemote(4, estimateStart)
	if s.Mean != 4 {
		t.Errorf("mean %.1f after the first remote mean", s.Mean)
	}
	s.Add(4, estimateStart.Add(time.Second))
	s.MergeRemote(1, estimateStart.Add(time.Second))
	if s.Mean != 4 {
		t.Error("remote mean as old as the last sample was merged")
	}
	s.MergeRemote(1, estimateStart.Add(2*time.Second))
	if s.Mean >= 4 || s.Mean <= 1 {
		t.Errorf("mean %.1f after a newer remote mean", s.Mean)
	}
}

// A report of the current pace decays quickly, and the median follows the
// prevailing pace even if the first report differs.
func TestPaceReportsDecay(t *testing.T) {
	if CurrentSlowness(0.7, 2.5, 0) != 2.5 || CurrentSlowness(4, 1, 0) != 4 {
		t.Error("a new report of a worse pace does not count fully")
	}
	if late := CurrentSlowness(1, 2.5, 4*paceDecayTime); late > 1.05 {
		t.Errorf("slowness %.2f from an old pace report", late)
	}
	var s PaceMedian
	for i := range 60 {
		percent := 70
		if i%7 == 0 {
			percent = 175
		}
		s.Add(percent)
	}
	if s.Value < 0.65 || s.Value > 0.8 {
		t.Errorf("median pace %.2f", s.Value)
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
		t.Errorf("utilization %.2f from an old report", old)
	}
	if never := ExpectedUtilization(LoadReport{Slots: 4}, 0.5, request); never != 0.25 {
		t.Errorf("utilization %.2f without a report", never)
	}
	if got := ExpectedUtilization(LoadReport{OwnInFlight: 4, Slots: 4}, 0.5, request); got != 1 {
		t.Errorf("utilization %.2f with own requests only", got)
	}
	if got := ExpectedUtilization(LoadReport{Busy: 4, OwnDelta: 2, Slots: 4, HasReport: true}, 0, request); got != 1.5 {
		t.Errorf("utilization %.2f with own requests since the report", got)
	}
	if first, later := SmoothUtilization(0, 3, true), SmoothUtilization(1, 2, false); first != 3 || later <= 1 || later >= 2 {
		t.Errorf("typical utilization %.2f and %.2f", first, later)
	}
}
