// Package overload is what an instance remembers to decide who is let in while
// there is too little room: the pools' loads, how long requests take and the
// budgets of retries. The decisions themselves are in package policy.
package overload

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/targets"
)

const (
	// maxViewAge is how long a view of a pool is used: far below the age of the
	// reports that it is made of.
	maxViewAge = 50 * time.Millisecond
	// maxRoutes bounds the routes whose programs' sizes are kept.
	maxRoutes = 4096
	// calledServiceTTL is how long a service counts among those that programs call.
	calledServiceTTL = 10 * time.Second
	// meanRankWeight is the part of one first turn in the mean rank of a service.
	meanRankWeight = 1.0 / 32
	// turnDecay is the part by which a turn makes older ones count less, minPrograms
	// the programs that tell what one needs.
	turnDecay   = 1.0 / 256
	minPrograms = 3
	// durationWeight is the part of one request in how long requests usually take.
	durationWeight = 1.0 / 16
	// retryRatio and retryBurst bound the sends after a first one to a service
	// without free slots, in parts of the first ones and in sends.
	retryRatio = 0.2
	retryBurst = 4
)

// Pools tells the load of services.
type Pools interface {
	Pool(service string, now time.Time) targets.Pool
}

// Request is one that asks for room.
type Request struct {
	Service string
	// Program names its program in its organisation; ID the request.
	Program string
	ID      string
	// IsCall tells that it is no turn but a call of a program.
	IsCall bool
	Class  policy.RoomClass
	// Route is the one of a turn.
	Route string
	// Rank is how urgent it is; 0 is the most urgent.
	Rank int
	// Usage is what its organisation uses, in parts of its limit; 0 if unknown.
	Usage    float64
	TimeLeft time.Duration
}

// Controller decides for one instance who is let in.
type Controller struct {
	pools  Pools
	scope  tally.Scope
	jitter func() float64

	mu       sync.Mutex
	services map[string]*service
}

// service is what is remembered of one.
type service struct {
	view   policy.PoolLoad
	viewAt time.Time
	// lastCalledAt is when a program last called it.
	lastCalledAt time.Time
	// meanDuration is how long requests that were served took.
	meanDuration time.Duration
	retries      policy.RetryBudget
	// meanRank is the mean rank of the first turns, ranked tells that there was one.
	meanRank float64
	hasRank  bool
	// needs count turns, all and by route.
	turns        turnCounts
	turnsByRoute map[string]*turnCounts
	metrics      metrics
	// admitted and refused count since the start.
	admitted, refused int64
}

// New makes a Guard.
func New(pools Pools, scope tally.Scope) *Controller {
	return &Controller{
		pools: pools, scope: scope.SubScope("room"), jitter: rand.Float64, services: make(map[string]*service),
	}
}

// Admit decides on a request.
func (c *Controller) Admit(r Request, now time.Time) policy.RoomVerdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(r.Service, now)
	if r.IsCall {
		s.lastCalledAt = now
	}
	admission := policy.RoomAsk{
		Class: r.Class, Rank: s.relativeRank(r), Size: s.relativeSize(r), Use: r.Usage, Draw: programHash(r), Jitter: c.jitter(),
		TimeLeft: r.TimeLeft, Usual: s.meanDuration,
	}
	verdict := policy.AdmitRoom(admission, c.requiredPools(r, s, now)...)
	if verdict.Admit {
		s.retries.Allow(0)
		s.recordTurn(r)
		s.admitted++
	} else {
		s.refused++
	}
	s.metrics.count(r.Class, verdict)
	return verdict
}

// relativeRank is how much less urgent a request is than first turns in the mean.
func (s *service) relativeRank(r Request) float64 {
	rank := float64(r.Rank)
	if r.Class == policy.RoomFirst {
		if !s.hasRank {
			s.meanRank, s.hasRank = rank, true
		}
		s.meanRank += meanRankWeight * (rank - s.meanRank)
	}
	if !s.hasRank {
		return 0
	}
	return rank - s.meanRank
}

// turnCounts is how many turns programs make, with those of their sub-agents.
type turnCounts struct{ turns, programs float64 }

// add takes a turn that was let in. Old ones fade.
func (t *turnCounts) add(first bool) {
	t.turns += 1 - turnDecay*t.turns
	t.programs -= turnDecay * t.programs
	if first {
		t.programs++
	}
}

// perProgram is 0 while few programs were seen.
func (t *turnCounts) perProgram() float64 {
	if t == nil || t.programs < minPrograms {
		return 0
	}
	return t.turns / t.programs
}

// recordTurn counts a turn that was let in.
func (s *service) recordTurn(r Request) {
	if r.IsCall || r.Program == "" || r.Route == "" {
		return
	}
	counts := s.turnsByRoute[r.Route]
	if counts == nil {
		if len(s.turnsByRoute) >= maxRoutes {
			clear(s.turnsByRoute) // most are of former settings
		}
		counts = new(turnCounts)
		s.turnsByRoute[r.Route] = counts
	}
	counts.add(r.Class == policy.RoomFirst)
	s.turns.add(r.Class == policy.RoomFirst)
}

// relativeSize is what a program of the request's route needs against others, 0 if that
// is not known.
func (s *service) relativeSize(r Request) float64 {
	mean := s.turns.perProgram()
	if mean == 0 {
		return 0
	}
	return s.turnsByRoute[r.Route].perProgram() / mean
}

// requiredPools lists the pools that a request needs: a program that begins also needs
// those that programs call.
func (c *Controller) requiredPools(r Request, requested *service, now time.Time) []policy.PoolLoad {
	pools := []policy.PoolLoad{requested.view}
	if r.Class != policy.RoomFirst {
		return pools
	}
	for name, s := range c.services {
		if s != requested && !s.lastCalledAt.IsZero() && now.Sub(s.lastCalledAt) < calledServiceTTL {
			pools = append(pools, c.service(name, now).view)
		}
	}
	return pools
}

// AllowRetry tells whether a request may be sent to one more target of a service
// after a number of targets were full. It may where slots are free, and once where
// nothing is known; else such sends are a bounded share.
func (c *Controller) AllowRetry(name string, refusals int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(name, now)
	if !s.view.Learned || !s.view.Full() && (s.view.Tells() || refusals <= 1) {
		return true
	}
	return s.takeRetry()
}

// takeRetry takes a further send from the budget.
func (s *service) takeRetry() bool {
	allowed := s.retries.Allow(1)
	if !allowed {
		s.metrics.retriesRefused.Inc(1)
	}
	return allowed
}

// AllowRetryAfterFailure tells the same after a target failed. Such sends are bounded
// only where all slots are known to be taken: the failure says nothing of the room.
func (c *Controller) AllowRetryAfterFailure(name string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(name, now)
	return !s.view.Full() || s.takeRetry()
}

// RetryAfter is when a caller should come back whose request no target took.
func (c *Controller) RetryAfter(name string, timeLeft time.Duration, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	admission := policy.RoomAsk{Class: policy.RoomUnderWay, Jitter: c.jitter(), TimeLeft: timeLeft}
	return policy.ComeBack(admission, c.service(name, now).view, 0)
}

// RecordDuration notes how long a request took that was served.
func (c *Controller) RecordDuration(name string, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[name]
	if s == nil {
		return
	}
	if s.meanDuration == 0 {
		s.meanDuration = duration
		return
	}
	s.meanDuration += time.Duration(durationWeight * float64(duration-s.meanDuration))
}

// service finds a service with a fresh view of its pool.
func (c *Controller) service(name string, now time.Time) *service {
	s := c.services[name]
	if s == nil {
		s = &service{turnsByRoute: make(map[string]*turnCounts), retries: policy.NewRetryBudgetOf(retryRatio, retryBurst),
			metrics: newMetrics(c.scope, name)}
		c.services[name] = s
	}
	if s.viewAt.IsZero() || now.Sub(s.viewAt) >= maxViewAge {
		p := c.pools.Pool(name, now)
		s.view = policy.PoolLoad{Service: name, Fill: p.Utilization, Known: p.Reporting, All: p.Usable, Age: p.ReportAge, Learned: p.SpeedsLearned}
		s.viewAt = now
		s.metrics.observe(s.view)
	}
	return s
}

// programHash places a program among all, the same at each instance and for each try.
func programHash(r Request) float64 {
	name := r.Program
	if name == "" {
		name = r.ID
	}
	return float64(xxhash.Sum64String(name)>>11) / (1 << 53)
}

// DescribeRefusal tells in one line why a request was refused.
func DescribeRefusal(r Request, v policy.RoomVerdict) string {
	return fmt.Sprintf("%s: service %s at a fill of %.2f, %d of %d targets known, reports %d ms old; class %s, rank %d, "+
		"use of the organisation %.2f of its limit; refused are %.2f of such requests; room is expected in %s",
		v.Cause, v.Pool.Service, v.Pool.Fill, v.Pool.Known, v.Pool.All, v.Pool.Age.Milliseconds(), r.Class, r.Rank,
		r.Usage, v.Chance, v.RetryAfter)
}

// Dump is what an instance knows of a pool.
type Dump struct {
	Service        string  `json:"service"`
	Utilization    float64 `json:"fill"`
	Reporting      int     `json:"known"`
	Usable         int     `json:"all"`
	AgeMs          int64   `json:"age_ms"`
	MeanDurationMs int64   `json:"usual_ms"`
	Admitted       int64   `json:"admitted"`
	Refused        int64   `json:"refused"`
}

// Dump lists the pools.
func (c *Controller) Dump(now time.Time) []Dump {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Dump, 0, len(c.services))
	for name := range c.services {
		s := c.service(name, now)
		all = append(all, Dump{
			Service: name, Utilization: s.view.Fill, Reporting: s.view.Known, Usable: s.view.All, AgeMs: s.view.Age.Milliseconds(),
			MeanDurationMs: s.meanDuration.Milliseconds(), Admitted: s.admitted, Refused: s.refused,
		})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Service < all[j].Service })
	return all
}
