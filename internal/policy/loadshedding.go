package policy

import (
	"math"
	"time"
)

// If callers begin more programs than the targets can finish, each additional
// program delays all others until none meets its deadline. Requests are refused
// where the least work is lost: at the first turn of a program.

// AdmissionClass classifies a request by the work that is lost if it is refused.
type AdmissionClass uint8

// Admission classes.
const (
	// ClassOutside is a request that belongs to no program.
	ClassOutside AdmissionClass = iota
	// ClassFirstTurn is the first turn of a program.
	ClassFirstTurn
	// ClassInProgress is a turn or call of a program that has begun.
	ClassInProgress
	// ClassOverdue is a turn or call of a program that is past its deadline.
	ClassOverdue
)

func (c AdmissionClass) String() string {
	switch c {
	case ClassFirstTurn:
		return "first_turn"
	case ClassInProgress:
		return "under_way"
	case ClassOverdue:
		return "late"
	default:
		return "outside_programs"
	}
}

// PoolLoad is the known load of a service's targets.
type PoolLoad struct {
	Service string
	// Utilization is the number of running and queued requests as a fraction of
	// the slots, according to the reports of ReportingTargets of the
	// UsableTargets. ReportAge is the average age of the reports.
	Utilization      float64
	ReportingTargets int
	UsableTargets    int
	ReportAge        time.Duration
	// SpeedsLearned reports whether the targets' speeds are known. Without them
	// busy targets cannot be distinguished from slow ones.
	SpeedsLearned bool
}

const (
	// uninformativeTargets is the number of targets up to which the load of a
	// service does not predict the wait of the next request.
	uninformativeTargets = 2
	// minReportingFraction is the fraction of the targets that must have
	// reported.
	minReportingFraction = 0.2
)

// HasEnoughData reports whether enough is known about the pool to refuse
// requests.
func (p PoolLoad) HasEnoughData() bool {
	return p.SpeedsLearned && p.UsableTargets > uninformativeTargets && p.ReportingTargets > uninformativeTargets && float64(p.ReportingTargets) >= minReportingFraction*float64(p.UsableTargets)
}

// Full reports whether all slots are known to be in use.
func (p PoolLoad) Full() bool { return p.HasEnoughData() && p.Utilization >= 1 }

// AdmissionRequest describes a request that is to be admitted.
type AdmissionRequest struct {
	Class AdmissionClass
	// Rank is the request's priority rank relative to the average; higher ranks
	// are less urgent.
	Rank float64
	// RelativeSize is what a program of this route needs as a fraction of the
	// average program; 0 if unknown.
	RelativeSize float64
	// LimitUtilization is the utilization of the organisation's limit; 0 if
	// unknown.
	LimitUtilization float64
	// Random is a number from 0 to 1 that stays the same over all attempts of a
	// program, so that retrying does not increase its chance of admission.
	Random float64
	// Jitter is a number from 0 to 1 that spreads the retries of refused
	// callers.
	Jitter float64
	// TimeLeft is how long the caller still waits, TypicalTime how long such
	// requests take at present; 0 if unknown.
	TimeLeft    time.Duration
	TypicalTime time.Duration
}

// RefusalCause is the reason why a request was refused.
type RefusalCause string

// Causes of a refusal.
const (
	CausePoolFull  RefusalCause = "pool_full"
	CauseNotInTime RefusalCause = "not_in_time"
)

// AdmissionVerdict is the decision on an AdmissionRequest.
type AdmissionVerdict struct {
	Admit bool
	Cause RefusalCause
	// Pool is the pool with the highest RefusalProbability, the fraction of such
	// requests that it refuses.
	Pool               PoolLoad
	RefusalProbability float64
	RetryAfter         time.Duration
}

// ramp is a refusal probability that rises linearly from 0 at a utilization of
// start towards 1 at start+width, up to maxRefusalProbability.
type ramp struct{ start, width float64 }

func (r ramp) probability(utilization, shift float64) float64 {
	start := max(r.start-shift, minRampStart)
	return min(max((utilization-start)/r.width, 0), maxRefusalProbability)
}

// The ramps begin above a utilization of 1: a program meets its deadline if it takes up
// to about one and a half of its time on idle engines, so that a quarter of the slots may
// wait.
var (
	firstTurnRamp = ramp{start: 1.25, width: 0.5}
	// Overdue programs are refused only where refusing first turns is not
	// enough.
	overdueRamp = ramp{start: 1.6, width: 0.6}
)

const (
	// minRampStart is the utilization below which nothing is refused.
	minRampStart = 0.6
	// maxRefusalProbability admits a few requests at any load, since their
	// responses show how busy the targets are.
	maxRefusalProbability = 0.97
	// rankShift is how much earlier the ramp starts for each rank.
	rankShift = 0.05
	// sizeShift is how much earlier the ramp starts for each doubling of a
	// program's size.
	sizeShift = 0.05
	// maxShift bounds the sum of both shifts in either direction.
	maxShift = 0.3
	// FairUsageThreshold is the utilization of its limit up to which an
	// organisation is treated like all others. At the limit its requests are
	// refused limitRefusalFactor times as often.
	FairUsageThreshold = 0.75
	limitRefusalFactor = 3
	// minRelativeAdmission is the minimum admission probability of any request
	// relative to that of the most urgent ones.
	minRelativeAdmission = 0.3
)

// AdmitRequest decides whether a request may use all the pools that it needs.
func AdmitRequest(request AdmissionRequest, pools ...PoolLoad) AdmissionVerdict {
	for _, p := range pools {
		if p.Full() && request.TimeLeft > 0 && request.TimeLeft < request.TypicalTime/2 {
			return AdmissionVerdict{Cause: CauseNotInTime, Pool: p, RefusalProbability: 1, RetryAfter: RetryAfter(request, p, 0)}
		}
	}
	verdict := AdmissionVerdict{Admit: true}
	for _, p := range pools {
		if probability := refusalProbability(request, p); probability > verdict.RefusalProbability {
			verdict.Pool, verdict.RefusalProbability = p, probability
		}
	}
	if request.Random >= verdict.RefusalProbability {
		return verdict
	}
	verdict.Admit, verdict.Cause = false, CausePoolFull
	verdict.RetryAfter = RetryAfter(request, verdict.Pool, verdict.RefusalProbability-request.Random)
	return verdict
}

// refusalProbability returns the probability with which a pool refuses such
// requests.
func refusalProbability(request AdmissionRequest, pool PoolLoad) float64 {
	if !pool.HasEnoughData() {
		return 0
	}
	var r ramp
	switch request.Class {
	case ClassFirstTurn:
		r = firstTurnRamp
	case ClassOverdue:
		r = overdueRamp
	default:
		return 0
	}
	minimum := r.probability(pool.Utilization, -maxShift)
	probability := r.probability(pool.Utilization, rampShift(request)) * limitFactor(request.LimitUtilization)
	return min(probability, 1-minRelativeAdmission*(1-minimum))
}

// rampShift returns how much earlier the ramp starts for a request than for the
// average one.
func rampShift(request AdmissionRequest) float64 {
	return min(max(rankShift*request.Rank+sizeRampShift(request), -maxShift), maxShift)
}

// sizeRampShift returns the part of the shift that is due to the program's size.
// Size never reverses the order of ranks.
func sizeRampShift(request AdmissionRequest) float64 {
	if request.Class != ClassFirstTurn || request.RelativeSize <= 0 {
		return 0
	}
	shift := sizeShift * math.Log2(request.RelativeSize)
	if shift*request.Rank < 0 {
		return 0
	}
	return shift
}

// limitFactor returns by how much the utilization of an organisation's limit
// multiplies the refusal probability.
func limitFactor(utilization float64) float64 {
	return 1 + (limitRefusalFactor-1)*min(max((utilization-FairUsageThreshold)/(1-FairUsageThreshold), 0), 1)
}

const (
	// minRetryDelay is about the time in which a busy target frees a slot.
	minRetryDelay = 150 * time.Millisecond
	// rampDrainTime is about the time in which the load falls by the width of a
	// ramp if no program begins.
	rampDrainTime = time.Second
	// maxRetryFraction is the maximum retry delay as a fraction of the caller's
	// remaining time.
	maxRetryFraction = 1.0 / 3
	// retryJitterFraction is the maximum deviation of the retry delay in either
	// direction.
	retryJitterFraction = 0.25
)

// RetryAfter returns the delay after which capacity is expected to be available.
// excess is how far the request was from admission, as a fraction of the ramp.
func RetryAfter(request AdmissionRequest, pool PoolLoad, excess float64) time.Duration {
	delay := float64(minRetryDelay) + excess*float64(rampDrainTime)
	if pool.Full() {
		delay += (min(pool.Utilization, 2) - 1) * float64(minRetryDelay)
	}
	if request.TimeLeft > 0 {
		delay = min(delay, maxRetryFraction*float64(request.TimeLeft))
	}
	delay *= 1 - retryJitterFraction + 2*retryJitterFraction*request.Jitter
	return time.Duration(delay).Round(time.Millisecond)
}
