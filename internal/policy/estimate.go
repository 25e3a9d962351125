package policy

// The load pattern: targets of one service differ in speed, turn slow for parts
// of a second or for seconds, and an instance hears of each of them seldom. What
// was heard last is believed fully while it is new and less and less later.

import (
	"math"
	"time"
)

const (
	// speedGain is the weight of a new sample in a Speed.
	speedGain = 0.15
	// speedLife is the age in which a Speed loses most of its weight, so that a
	// target that was put aside is tried again.
	speedLife = 10 * time.Second
	// noiseWeight is how many times the error of a mean its distance from the
	// usual must be for half of it to count.
	noiseWeight = 1.5
	// minSlowness and maxSlowness bound an estimate.
	minSlowness = 0.25
	maxSlowness = 8
	// heardSpeed is the weight of another instance's mean that is newer.
	heardSpeed = 0.5
	// paceLife is the age in which a target's report of its present pace fades:
	// it changes many times a second.
	paceLife = 250 * time.Millisecond
	// standingStep is the least part by which a report moves a target's Standing.
	standingStep = 0.04
	// trendGain is the weight of a report in a target's usual load, and trendLife
	// the time in which that fades.
	trendGain = 0.2
	trendLife = 2 * time.Second
	// silentPart of the pool's mean is expected at a target of which nothing was
	// heard for some silentLife: instances pass on what busy ones report.
	silentPart = 0.5
	silentLife = 5 * time.Second
	// minLoadLife bounds how fast a report of requests fades: within the usual
	// time of a request those that it counted have ended.
	minLoadLife = 50 * time.Millisecond
)

// SpeedEstimate is the time that a target takes for a unit of work, learned from
// samples. The unit is the service's own: it only counts against the mean of
// the service's targets.
type SpeedEstimate struct {
	Mean float64
	// Variance is that of single samples around the mean.
	Variance float64
	// UpdatedAt is the time of the last sample, zero for none.
	UpdatedAt time.Time
}

// Add takes a sample in.
func (s *SpeedEstimate) Add(sample float64, now time.Time) {
	if s.UpdatedAt.IsZero() {
		// One sample may be far off: its error is taken as large as itself.
		s.Mean, s.Variance, s.UpdatedAt = sample, sample*sample, now
		return
	}
	off := sample - s.Mean
	s.Mean += speedGain * off
	s.Variance += speedGain * (off*off - s.Variance)
	s.UpdatedAt = now
}

// MergeRemote takes another instance's mean in if it is newer. The variance is that of
// samples, so it stays.
func (s *SpeedEstimate) MergeRemote(mean float64, at time.Time) {
	if mean <= 0 || !at.After(s.UpdatedAt) {
		return
	}
	if s.UpdatedAt.IsZero() {
		s.Mean, s.UpdatedAt = mean, at
		return
	}
	s.Mean += heardSpeed * (mean - s.Mean)
	s.UpdatedAt = at
}

// Slowness is the target's time over the usual one; standing is what its own reports
// say, which counts where nothing was learned. A distance from that within the
// mean's own error counts little.
func (s *SpeedEstimate) Slowness(usual, standing float64, now time.Time) float64 {
	if s.UpdatedAt.IsZero() || usual <= 0 {
		return standing
	}
	slowness := standing + s.trend(usual, standing)*fade(now.Sub(s.UpdatedAt), speedLife)
	return min(max(slowness, minSlowness), maxSlowness)
}

// trend is how far the mean is from the target's standing, in parts of the usual,
// without what may be noise.
func (s *SpeedEstimate) trend(usual, standing float64) float64 {
	off := s.Mean/usual - standing
	noise := noiseWeight * s.errorOfMean() / (usual * usual)
	return off * off * off / (off*off + noise + math.SmallestNonzeroFloat64)
}

// AdvertisedMean is the mean that others are told: without what may be noise, which they
// cannot know. It is 0 if nothing was learned.
func (s *SpeedEstimate) AdvertisedMean(usual, standing float64) float64 {
	if s.UpdatedAt.IsZero() || usual <= 0 {
		return 0
	}
	return usual * (standing + s.trend(usual, standing))
}

// errorOfMean is the variance of the moving mean.
func (s *SpeedEstimate) errorOfMean() float64 { return s.Variance * speedGain / (2 - speedGain) }

// PaceMedian is the median of the paces that a target reports, 1 as usual: machines that
// turn slow for parts of a second do not move it.
type PaceMedian struct {
	Value   float64
	reports int
}

// Add takes a reported pace in, in percent of the usual.
func (s *PaceMedian) Add(percent int) {
	pace := float64(percent) / 100
	if s.reports == 0 {
		s.Value = pace
	}
	s.reports++
	step := s.Value * max(1/float64(s.reports+1), standingStep)
	s.Value += min(max(pace-s.Value, -step), step)
}

// CurrentSlowness is the slowness of a target that turned slow for now, by a new report of
// its pace: slowness where that says nothing worse. Both are over the usual.
func CurrentSlowness(slowness, pace float64, age time.Duration) float64 {
	return slowness + max(pace-slowness, 0)*fade(age, paceLife)
}

// LoadReport is what is known of the requests at a target.
type LoadReport struct {
	// Busy counts the requests that the target reported, Since this instance's
	// own that began after it less those that ended, Own all of its own.
	Busy        int
	OwnDelta    int
	OwnInFlight int
	Slots       int
	// TypicalUtilization is the moving mean of the reports, as SmoothUtilization makes it.
	TypicalUtilization float64
	// HasReport tells that there is a report, of an Age.
	HasReport bool
	Age       time.Duration
}

// SmoothUtilization takes a report of requests, in parts of the slots, into the moving
// mean of a target's reports.
func SmoothUtilization(usual, reported float64, first bool) float64 {
	if first {
		return reported
	}
	return usual + trendGain*(reported-usual)
}

// ExpectedUtilization is the expected number of requests at a target, in parts of its slots.
// A report fades within the usual time of a request towards what the target
// usually reports, that towards the pool's mean, and with long silence below it.
func ExpectedUtilization(r LoadReport, pool float64, request time.Duration) float64 {
	slots := float64(max(r.Slots, 1))
	own := float64(r.OwnInFlight) / slots
	if !r.HasReport {
		return max(silentPart*pool, own)
	}
	pool *= silentPart + (1-silentPart)*fade(r.Age, silentLife)
	reported := max(float64(r.Busy+r.OwnDelta)/slots, 0)
	usual := pool + (r.TypicalUtilization-pool)*fade(r.Age, trendLife)
	return max(usual+(reported-usual)*fade(r.Age, max(request, minLoadLife)), own)
}

// fade is the weight of what is of an age.
func fade(age, life time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(life))
}
