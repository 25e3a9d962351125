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
	// fewTargets is the number up to which a service's load says little of the
	// next request's wait: one long request fills much of it.
	fewTargets = 2
	// knownShare is the share of the targets that must have reported.
	knownShare = 0.2
)

// HasEnoughData tells whether enough is known to refuse anything.
func (p PoolLoad) HasEnoughData() bool {
	return p.SpeedsLearned && p.Targets > fewTargets && p.ReportingTargets > fewTargets && float64(p.ReportingTargets) >= knownShare*float64(p.Targets)
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

func (r ramp) chance(fill, shift float64) float64 {
	start := max(r.start-shift, lowestStart)
	return min(max((fill-start)/r.width, 0), mostRefused)
}

// Programs are in time if they take up to about one and a half of their time on
// idle engines: a quarter of the slots may wait, and the share that is let in has to
// settle before a second round does.
var (
	firstRamp = ramp{start: 1.25, width: 0.5}
	// Late work still earns a part: it goes only where refusing first turns did
	// not suffice.
	lateRamp = ramp{start: 1.6, width: 0.6}
)

const (
	// lowestStart keeps refusals from a pool of which half is free.
	lowestStart = 0.6
	// mostRefused lets some through, whose answers tell how full targets are.
	mostRefused = 0.97
	// rankShift is how much earlier each rank is refused than the one before it.
	rankShift = 0.05
	// sizeShift is how much earlier programs are refused that need twice as much as
	// others: their room carries several small ones.
	sizeShift = 0.05
	// mostShift bounds both, around the mean.
	mostShift = 0.3
	// FairUsageThreshold is the part of its limit up to which an organisation is served as
	// others are: limits leave room above the usual. One at its limit is refused
	// useFactor times as often.
	FairUsageThreshold = 0.75
	useFactor          = 3
	// leastServed is how often a rank or an organisation is served at least,
	// against the most urgent.
	leastServed = 0.3
)

// AdmitRequest decides whether a request may use the pools that it needs.
func AdmitRequest(ask AdmissionRequest, pools ...PoolLoad) AdmissionVerdict {
	for _, p := range pools {
		if p.Full() && ask.TimeLeft > 0 && ask.TimeLeft < ask.TypicalTime/2 {
			return AdmissionVerdict{Cause: CauseNotInTime, Pool: p, RefusalProbability: 1, RetryAfter: RetryAfter(ask, p, 0)}
		}
	}
	verdict := AdmissionVerdict{Admit: true}
	for _, p := range pools {
		if chance := refusalChance(ask, p); chance > verdict.RefusalProbability {
			verdict.Pool, verdict.RefusalProbability = p, chance
		}
	}
	if ask.Random >= verdict.RefusalProbability {
		return verdict
	}
	verdict.Admit, verdict.Cause = false, CausePoolFull
	verdict.RetryAfter = RetryAfter(ask, verdict.Pool, verdict.RefusalProbability-ask.Random)
	return verdict
}

// refusalChance is the share of such requests that a pool refuses.
func refusalChance(ask AdmissionRequest, pool PoolLoad) float64 {
	if !pool.HasEnoughData() {
		return 0
	}
	var r ramp
	switch ask.Class {
	case ClassFirstTurn:
		r = firstRamp
	case ClassOverdue:
		r = lateRamp
	default:
		return 0
	}
	best := r.chance(pool.Utilization, -mostShift)
	chance := r.chance(pool.Utilization, earlier(ask)) * oftener(ask.LimitUsage)
	return min(chance, 1-leastServed*(1-best))
}

// earlier is how much earlier a request is refused than the mean one.
func earlier(ask AdmissionRequest) float64 {
	return min(max(rankShift*ask.Rank+sizeEarlier(ask), -mostShift), mostShift)
}

// sizeEarlier is how much earlier a program is refused for what it needs. Size does
// not put it behind less urgent ones, nor before more urgent ones.
func sizeEarlier(ask AdmissionRequest) float64 {
	if ask.Class != ClassFirstTurn || ask.RelativeSize <= 0 {
		return 0
	}
	shift := sizeShift * math.Log2(ask.RelativeSize)
	if shift*ask.Rank < 0 {
		return 0
	}
	return shift
}

// oftener is how much more often an organisation is refused than others.
func oftener(use float64) float64 {
	return 1 + (useFactor-1)*min(max((use-FairUsageThreshold)/(1-FairUsageThreshold), 0), 1)
}

const (
	// leastComeBack is about the time in which a busy target frees a slot.
	leastComeBack = 150 * time.Millisecond
	// drainTime is about the time in which the programs under way fall by a whole
	// ramp when none begins.
	drainTime = time.Second
	// waitShare is the longest part of their time left that callers wait before
	// they come back.
	waitShare = 1.0 / 3
	// jitterShare is how much earlier or later than that callers come back.
	jitterShare = 0.25
)

// RetryAfter is when there should be room for a caller: in excess parts of the
// ramp, and the longer the more requests wait at the pool.
func RetryAfter(ask AdmissionRequest, pool PoolLoad, excess float64) time.Duration {
	after := float64(leastComeBack) + excess*float64(drainTime)
	if pool.Full() {
		after += (min(pool.Utilization, 2) - 1) * float64(leastComeBack)
	}
	if ask.TimeLeft > 0 {
		after = min(after, waitShare*float64(ask.TimeLeft))
	}
	after *= 1 - jitterShare + 2*jitterShare*ask.Jitter
	return time.Duration(after).Round(time.Millisecond)
}
