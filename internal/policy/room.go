package policy

import (
	"math"
	"time"
)

// The load: callers begin more programs than the targets can finish. Engines run
// a fixed number of requests at once and let the others wait, so each program
// beyond makes all of them late, and in the end none is in time. A refusal costs
// least where no work is lost yet: at the first turn of a program.

// AdmissionClass is what is lost if a request is refused.
type AdmissionClass uint8

// Classes of requests.
const (
	// ClassOutside requests belong to no program.
	ClassOutside AdmissionClass = iota
	// ClassFirstTurn is the first turn of a program.
	ClassFirstTurn
	// ClassInProgress is a turn or call of a program that has begun.
	ClassInProgress
	// ClassOverdue is a turn or call of a program whose time is over.
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

// PoolLoad is what is known of a service's targets.
type PoolLoad struct {
	Service string
	// Utilization is how many requests run and wait, in parts of the slots, at the Known
	// ones of All targets; the reports are of the mean age Age.
	Utilization      float64
	ReportingTargets int
	Targets          int
	ReportAge        time.Duration
	// SpeedsLearned tells that the targets' speeds are learned. Otherwise those that are
	// busy cannot be told from those that are slow.
	SpeedsLearned bool
}

const (
	// uninformativeTargets is the number up to which a service's load says little of the
	// next request's wait: one long request fills much of it.
	uninformativeTargets = 2
	// minReportingFraction is the share of the targets that must have reported.
	minReportingFraction = 0.2
)

// HasEnoughData tells whether enough is known to refuse anything.
func (p PoolLoad) HasEnoughData() bool {
	return p.SpeedsLearned && p.Targets > uninformativeTargets && p.ReportingTargets > uninformativeTargets && float64(p.ReportingTargets) >= minReportingFraction*float64(p.Targets)
}

// Full tells that all slots are taken, as far as is known.
func (p PoolLoad) Full() bool { return p.HasEnoughData() && p.Utilization >= 1 }

// AdmissionRequest is a request that asks for room.
type AdmissionRequest struct {
	Class AdmissionClass
	// Rank is how much less urgent it is than such requests are in the mean.
	Rank float64
	// RelativeSize is what a program of its route needs, in parts of what programs need in
	// the mean; 0 if unknown.
	RelativeSize float64
	// LimitUsage is what its organisation uses, in parts of its limit; 0 if unknown.
	LimitUsage float64
	// Random is from 0 to 1 and the same for each try of a program, so that tries do
	// not add up and programs under one load are not let in by turns.
	Random float64
	// Jitter is from 0 to 1 and spreads the times to come back.
	Jitter float64
	// TimeLeft is how long its caller waits, Usual how long such requests take
	// now; 0 if unknown.
	TimeLeft    time.Duration
	TypicalTime time.Duration
}

// RefusalCause is why there is no room.
type RefusalCause string

// Causes of a refusal.
const (
	CausePoolFull  RefusalCause = "pool_full"
	CauseNotInTime RefusalCause = "not_in_time"
)

// AdmissionVerdict is the decision on a AdmissionRequest.
type AdmissionVerdict struct {
	Admit bool
	Cause RefusalCause
	// Pool is the one that has no room, Chance the share of such requests that it
	// refuses.
	Pool               PoolLoad
	RefusalProbability float64
	RetryAfter         time.Duration
}

// ramp refuses none up to a fill of start and most of the requests from a fill of
// start+width on.
type ramp struct{ start, width float64 }

func (r ramp) probability(utilization, shift float64) float64 {
	start := max(r.start-shift, minRampStart)
	return min(max((utilization-start)/r.width, 0), maxRefusalProbability)
}

// Programs are in time if they take up to about one and a half of their time on
// idle engines: a quarter of the slots may wait, and the share that is let in has to
// settle before a second round does.
var (
	firstTurnRamp = ramp{start: 1.25, width: 0.5}
	// Late work still earns a part: it goes only where refusing first turns did
	// not suffice.
	overdueRamp = ramp{start: 1.6, width: 0.6}
)

const (
	// minRampStart keeps refusals from a pool of which half is free.
	minRampStart = 0.6
	// maxRefusalProbability lets some through, whose answers tell how full targets are.
	maxRefusalProbability = 0.97
	// rankShift is how much earlier each rank is refused than the one before it.
	rankShift = 0.05
	// sizeShift is how much earlier programs are refused that need twice as much as
	// others: their room carries several small ones.
	sizeShift = 0.05
	// maxShift bounds both, around the mean.
	maxShift = 0.3
	// FairUsageThreshold is the part of its limit up to which an organisation is served as
	// others are: limits leave room above the usual. One at its limit is refused
	// limitRefusalFactor times as often.
	FairUsageThreshold = 0.75
	limitRefusalFactor = 3
	// minRelativeAdmission is how often a rank or an organisation is served at least,
	// against the most urgent.
	minRelativeAdmission = 0.3
)

// AdmitRequest decides whether a request may use the pools that it needs.
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

// refusalProbability is the share of such requests that a pool refuses.
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
	probability := r.probability(pool.Utilization, rampShift(request)) * usageFactor(request.LimitUsage)
	return min(probability, 1-minRelativeAdmission*(1-minimum))
}

// rampShift is how much earlier a request is refused than the mean one.
func rampShift(request AdmissionRequest) float64 {
	return min(max(rankShift*request.Rank+sizeRampShift(request), -maxShift), maxShift)
}

// sizeRampShift is how much earlier a program is refused for what it needs. Size does
// not put it behind less urgent ones, nor before more urgent ones.
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

// usageFactor is how much more often an organisation is refused than others.
func usageFactor(usage float64) float64 {
	return 1 + (limitRefusalFactor-1)*min(max((usage-FairUsageThreshold)/(1-FairUsageThreshold), 0), 1)
}

const (
	// minRetryDelay is about the time in which a busy target frees a slot.
	minRetryDelay = 150 * time.Millisecond
	// rampDrainTime is about the time in which the programs under way fall by a whole
	// ramp when none begins.
	rampDrainTime = time.Second
	// maxRetryFraction is the longest part of their time left that callers wait before
	// they come back.
	maxRetryFraction = 1.0 / 3
	// retryJitterFraction is how much earlier or later than that callers come back.
	retryJitterFraction = 0.25
)

// RetryAfter is when there should be room for a caller: in excess parts of the
// ramp, and the longer the more requests wait at the pool.
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
