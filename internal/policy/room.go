package policy

import (
	"math"
	"time"
)

// The load: callers begin more programs than the targets can finish. Engines run
// a fixed number of requests at once and let the others wait, so each program
// beyond makes all of them late, and in the end none is in time. A refusal costs
// least where no work is lost yet: at the first turn of a program.

// RoomClass is what is lost if a request is refused.
type RoomClass uint8

// Classes of requests.
const (
	// RoomOutside requests belong to no program.
	RoomOutside RoomClass = iota
	// RoomFirst is the first turn of a program.
	RoomFirst
	// RoomUnderWay is a turn or call of a program that has begun.
	RoomUnderWay
	// RoomLate is a turn or call of a program whose time is over.
	RoomLate
)

func (c RoomClass) String() string {
	switch c {
	case RoomFirst:
		return "first_turn"
	case RoomUnderWay:
		return "under_way"
	case RoomLate:
		return "late"
	default:
		return "outside_programs"
	}
}

// PoolLoad is what is known of a service's targets.
type PoolLoad struct {
	Service string
	// Fill is how many requests run and wait, in parts of the slots, at the Known
	// ones of All targets; the reports are of the mean age Age.
	Fill  float64
	Known int
	All   int
	Age   time.Duration
	// Learned tells that the targets' speeds are learned. Otherwise those that are
	// busy cannot be told from those that are slow.
	Learned bool
}

const (
	// fewTargets is the number up to which a service's load says little of the
	// next request's wait: one long request fills much of it.
	fewTargets = 2
	// knownShare is the share of the targets that must have reported.
	knownShare = 0.2
)

// Tells tells whether enough is known to refuse anything.
func (p PoolLoad) Tells() bool {
	return p.Learned && p.All > fewTargets && p.Known > fewTargets && float64(p.Known) >= knownShare*float64(p.All)
}

// Full tells that all slots are taken, as far as is known.
func (p PoolLoad) Full() bool { return p.Tells() && p.Fill >= 1 }

// RoomAsk is a request that asks for room.
type RoomAsk struct {
	Class RoomClass
	// Rank is how much less urgent it is than such requests are in the mean.
	Rank float64
	// Size is what a program of its route needs, in parts of what programs need in
	// the mean; 0 if unknown.
	Size float64
	// Use is what its organisation uses, in parts of its limit; 0 if unknown.
	Use float64
	// Draw is from 0 to 1 and the same for each try of a program, so that tries do
	// not add up and programs under one load are not let in by turns.
	Draw float64
	// Jitter is from 0 to 1 and spreads the times to come back.
	Jitter float64
	// TimeLeft is how long its caller waits, Usual how long such requests take
	// now; 0 if unknown.
	TimeLeft time.Duration
	Usual    time.Duration
}

// RoomCause is why there is no room.
type RoomCause string

// Causes of a refusal.
const (
	RoomPoolFull  RoomCause = "pool_full"
	RoomNotInTime RoomCause = "not_in_time"
)

// RoomVerdict is the decision on a RoomAsk.
type RoomVerdict struct {
	Admit bool
	Cause RoomCause
	// Pool is the one that has no room, Chance the share of such requests that it
	// refuses.
	Pool       PoolLoad
	Chance     float64
	RetryAfter time.Duration
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
	// FairUse is the part of its limit up to which an organisation is served as
	// others are: limits leave room above the usual. One at its limit is refused
	// useFactor times as often.
	FairUse   = 0.75
	useFactor = 3
	// leastServed is how often a rank or an organisation is served at least,
	// against the most urgent.
	leastServed = 0.3
)

// AdmitRoom decides whether a request may use the pools that it needs.
func AdmitRoom(ask RoomAsk, pools ...PoolLoad) RoomVerdict {
	for _, p := range pools {
		if p.Full() && ask.TimeLeft > 0 && ask.TimeLeft < ask.Usual/2 {
			return RoomVerdict{Cause: RoomNotInTime, Pool: p, Chance: 1, RetryAfter: ComeBack(ask, p, 0)}
		}
	}
	verdict := RoomVerdict{Admit: true}
	for _, p := range pools {
		if chance := refusalChance(ask, p); chance > verdict.Chance {
			verdict.Pool, verdict.Chance = p, chance
		}
	}
	if ask.Draw >= verdict.Chance {
		return verdict
	}
	verdict.Admit, verdict.Cause = false, RoomPoolFull
	verdict.RetryAfter = ComeBack(ask, verdict.Pool, verdict.Chance-ask.Draw)
	return verdict
}

// refusalChance is the share of such requests that a pool refuses.
func refusalChance(ask RoomAsk, pool PoolLoad) float64 {
	if !pool.Tells() {
		return 0
	}
	var r ramp
	switch ask.Class {
	case RoomFirst:
		r = firstRamp
	case RoomLate:
		r = lateRamp
	default:
		return 0
	}
	best := r.chance(pool.Fill, -mostShift)
	chance := r.chance(pool.Fill, earlier(ask)) * oftener(ask.Use)
	return min(chance, 1-leastServed*(1-best))
}

// earlier is how much earlier a request is refused than the mean one.
func earlier(ask RoomAsk) float64 {
	return min(max(rankShift*ask.Rank+sizeEarlier(ask), -mostShift), mostShift)
}

// sizeEarlier is how much earlier a program is refused for what it needs. Size does
// not put it behind less urgent ones, nor before more urgent ones.
func sizeEarlier(ask RoomAsk) float64 {
	if ask.Class != RoomFirst || ask.Size <= 0 {
		return 0
	}
	shift := sizeShift * math.Log2(ask.Size)
	if shift*ask.Rank < 0 {
		return 0
	}
	return shift
}

// oftener is how much more often an organisation is refused than others.
func oftener(use float64) float64 {
	return 1 + (useFactor-1)*min(max((use-FairUse)/(1-FairUse), 0), 1)
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

// ComeBack is when there should be room for a caller: in excess parts of the
// ramp, and the longer the more requests wait at the pool.
func ComeBack(ask RoomAsk, pool PoolLoad, excess float64) time.Duration {
	after := float64(leastComeBack) + excess*float64(drainTime)
	if pool.Full() {
		after += (min(pool.Fill, 2) - 1) * float64(leastComeBack)
	}
	if ask.TimeLeft > 0 {
		after = min(after, waitShare*float64(ask.TimeLeft))
	}
	after *= 1 - jitterShare + 2*jitterShare*ask.Jitter
	return time.Duration(after).Round(time.Millisecond)
}
