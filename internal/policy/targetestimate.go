package policy

// Targets of one service differ in speed and slow down temporarily, and an
// instance receives few samples of each. Estimates therefore decay with the age
// of the last sample towards what is typical.

import (
	"math"
	"time"
)

const (
	// unitTimeGain is the weight of a new sample in a UnitTimeEstimate.
	unitTimeGain = 0.15
	// unitTimeDecayTime is the time constant with which a UnitTimeEstimate decays, so
	// that a target that was avoided is tried again.
	unitTimeDecayTime = 10 * time.Second
	// noiseFactor is the ratio of the squared deviation to the variance of the
	// mean at which half of the deviation counts.
	noiseFactor = 1.5
	// minSlowness and maxSlowness bound an estimate.
	minSlowness = 0.25
	maxSlowness = 8
	// remoteUnitTimeGain is the weight of a newer mean from another instance.
	remoteUnitTimeGain = 0.5
	// paceDecayTime is the time constant with which a target's report of its
	// current pace decays.
	paceDecayTime = 250 * time.Millisecond
	// minPaceStep is the minimum step size of a PaceMedian, as a fraction of its
	// value.
	minPaceStep = 0.04
	// utilizationGain is the weight of a report in a target's typical
	// utilization, utilizationDecayTime the time constant with which that
	// decays.
	utilizationGain      = 0.2
	utilizationDecayTime = 2 * time.Second
	// unreportedFraction of the pool's mean utilization is assumed for a target
	// without reports; after a report it is approached with the time constant
	// unreportedDecayTime. It is below 1 since instances forward the reports of
	// busy targets.
	unreportedFraction  = 0.5
	unreportedDecayTime = 5 * time.Second
	// minReportDecayTime is the minimum time constant with which a report of
	// requests decays. Otherwise it is the typical time of a request, after
	// which the reported ones have ended.
	minReportDecayTime = 50 * time.Millisecond
)

// UnitTimeEstimate is the time that a target takes for a unit of work, learned from
// samples. The unit is specific to the service and only comparable between its
// targets.
type UnitTimeEstimate struct {
	Mean float64
	// Variance is the variance of single samples around the mean.
	Variance float64
	// UpdatedAt is the time of the last sample, zero if there is none.
	UpdatedAt time.Time
}

// Add updates the estimate with a sample.
func (s *UnitTimeEstimate) Add(sample float64, now time.Time) {
	if s.UpdatedAt.IsZero() {
		// A single sample may be far off: assume an error as large as its value.
		s.Mean, s.Variance, s.UpdatedAt = sample, sample*sample, now
		return
	}
	diff := sample - s.Mean
	s.Mean += unitTimeGain * diff
	s.Variance += unitTimeGain * (diff*diff - s.Variance)
	s.UpdatedAt = now
}

// MergeRemote merges another instance's mean if it is newer. The variance is
// that of this instance's samples and does not change.
func (s *UnitTimeEstimate) MergeRemote(mean float64, at time.Time) {
	if mean <= 0 || !at.After(s.UpdatedAt) {
		return
	}
	if s.UpdatedAt.IsZero() {
		s.Mean, s.UpdatedAt = mean, at
		return
	}
	s.Mean += remoteUnitTimeGain * (mean - s.Mean)
	s.UpdatedAt = at
}

// Slowness returns the target's time relative to the typical one. reported is
// the slowness according to the target's own reports, which is used without
// samples. Deviations from it within the error of the mean count little.
func (s *UnitTimeEstimate) Slowness(typical, reported float64, now time.Time) float64 {
	if s.UpdatedAt.IsZero() || typical <= 0 {
		return reported
	}
	slowness := reported + s.deviation(typical, reported)*decayWeight(now.Sub(s.UpdatedAt), unitTimeDecayTime)
	return min(max(slowness, minSlowness), maxSlowness)
}

// deviation returns the difference between the estimated and the reported
// slowness, reduced by what may be noise.
func (s *UnitTimeEstimate) deviation(typical, reported float64) float64 {
	diff := s.Mean/typical - reported
	noise := noiseFactor * s.meanVariance() / (typical * typical)
	return diff * diff * diff / (diff*diff + noise + math.SmallestNonzeroFloat64)
}

// AdvertisedMean returns the mean to advertise to other instances, with the
// noise removed since they do not know the variance. It is 0 without samples.
func (s *UnitTimeEstimate) AdvertisedMean(typical, reported float64) float64 {
	if s.UpdatedAt.IsZero() || typical <= 0 {
		return 0
	}
	return typical * (reported + s.deviation(typical, reported))
}

// meanVariance returns the variance of the moving average.
func (s *UnitTimeEstimate) meanVariance() float64 {
	return s.Variance * unitTimeGain / (2 - unitTimeGain)
}

// PaceMedian estimates the median of the paces that a target reports, where 1 is
// typical. Short slowdowns do not move it.
type PaceMedian struct {
	Value   float64
	reports int
}

// Add updates the median with a reported pace, in percent of the typical one.
func (m *PaceMedian) Add(percent int) {
	pace := float64(percent) / 100
	if m.reports == 0 {
		m.Value = pace
	}
	m.reports++
	step := m.Value * max(1/float64(m.reports+1), minPaceStep)
	m.Value += min(max(pace-m.Value, -step), step)
}

// CurrentSlowness returns the slowness of a target, raised to the pace that it
// reported age ago if that is worse. The effect of the pace decays quickly.
func CurrentSlowness(slowness, pace float64, age time.Duration) float64 {
	return slowness + max(pace-slowness, 0)*decayWeight(age, paceDecayTime)
}

// LoadReport is what is known about the requests at a target.
type LoadReport struct {
	// Busy is the number of requests that the target reported, OwnDelta the
	// number of this instance's requests that started since the report less
	// those that ended, OwnInFlight the number of all its requests there.
	Busy        int
	OwnDelta    int
	OwnInFlight int
	Slots       int
	// TypicalUtilization is the moving average of the reports, see
	// SmoothUtilization.
	TypicalUtilization float64
	// HasReport reports whether the target has sent a report; Age is its age.
	HasReport bool
	Age       time.Duration
}

// SmoothUtilization updates the moving average of a target's utilization with a
// report.
func SmoothUtilization(average, reported float64, first bool) float64 {
	if first {
		return reported
	}
	return average + utilizationGain*(reported-average)
}

// ExpectedUtilization returns the expected number of requests at a target as a
// fraction of its slots. A report decays within the typical time of a request
// towards the target's typical utilization, which decays towards the pool's mean
// and, without reports, below it.
func ExpectedUtilization(r LoadReport, poolMean float64, requestTime time.Duration) float64 {
	slots := float64(max(r.Slots, 1))
	own := float64(r.OwnInFlight) / slots
	if !r.HasReport {
		return max(unreportedFraction*poolMean, own)
	}
	poolMean *= unreportedFraction + (1-unreportedFraction)*decayWeight(r.Age, unreportedDecayTime)
	reported := max(float64(r.Busy+r.OwnDelta)/slots, 0)
	typical := poolMean + (r.TypicalUtilization-poolMean)*decayWeight(r.Age, utilizationDecayTime)
	return max(typical+(reported-typical)*decayWeight(r.Age, max(requestTime, minReportDecayTime)), own)
}

// decayWeight returns the weight of a value of the given age.
func decayWeight(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(timeConstant))
}
