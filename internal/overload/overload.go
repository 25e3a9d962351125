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
	// viewAge is how long a view of a pool is used: far below the age of the
	// reports that it is made of.
	viewAge = 50 * time.Millisecond
	// maxRoutes bounds the routes whose programs' sizes are kept.
	maxRoutes = 4096
	// usedFor is how long a service counts among those that programs call.
	usedFor = 10 * time.Second
	// rankWeight is the part of one first turn in the mean rank of a service.
	rankWeight = 1.0 / 32
	// needFade is the part by which a turn makes older ones count less, needPrograms
	// the programs that tell what one needs.
	needFade     = 1.0 / 256
	needPrograms = 3
	// usualWeight is the part of one request in how long requests usually take.
	usualWeight = 1.0 / 16
	// retryShare and retryBurst bound the sends after a first one to a service
	// without free slots, in parts of the first ones and in sends.
	retryShare = 0.2
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
	Class  policy.AdmissionClass
	// Route is the one of a turn.
	Route string
	// Rank is how urgent it is; 0 is the most urgent.
	Rank int
	// Usage is what its organisation uses, in parts of its limit; 0 if unknown.
	Usage    float64
	TimeLeft time.Duration
}

// Guard decides for one instance who is let in.
type Guard struct {
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
	// calledAt is when a program last called it.
	calledAt time.Time
	// usual is how long requests that were served took.
	usual   time.Duration
	retries policy.RetryBudget
	// rank is the mean rank of the first turns, ranked tells that there was one.
	rank   float64
	ranked bool
	// needs count turns, all and by route.
	all     need
	needs   map[string]*need
	metrics metrics
	// admitted and refused count since the start.
	admitted, refused int64
}

// New makes a Guard.
func New(pools Pools, scope tally.Scope) *Guard {
	return &Guard{
		pools: pools, scope: scope.SubScope("room"), jitter: rand.Float64, services: make(map[string]*service),
	}
}

// Admit decides on a request.
func (g *Guard) Admit(r Request, now time.Time) policy.AdmissionVerdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(r.Service, now)
	if r.IsCall {
		s.calledAt = now
	}
	ask := policy.AdmissionRequest{
		Class: r.Class, Rank: s.rankAbove(r), RelativeSize: s.size(r), LimitUsage: r.Usage, Random: draw(r), Jitter: g.jitter(),
		TimeLeft: r.TimeLeft, TypicalTime: s.usual,
	}
	verdict := policy.AdmitRequest(ask, g.needed(r, s, now)...)
	if verdict.Admit {
		s.retries.Allow(0)
		s.learn(r)
		s.admitted++
	} else {
		s.refused++
	}
	s.metrics.count(r.Class, verdict)
	return verdict
}

// rankAbove is how much less urgent a request is than first turns in the mean.
func (s *service) rankAbove(r Request) float64 {
	rank := float64(r.Rank)
	if r.Class == policy.ClassFirstTurn {
		if !s.ranked {
			s.rank, s.ranked = rank, true
		}
		s.rank += rankWeight * (rank - s.rank)
	}
	if !s.ranked {
		return 0
	}
	return rank - s.rank
}

// need is how many turns programs make, with those of their sub-agents.
type need struct{ turns, programs float64 }

// add takes a turn that was let in. Old ones fade.
func (n *need) add(first bool) {
	n.turns += 1 - needFade*n.turns
	n.programs -= needFade * n.programs
	if first {
		n.programs++
	}
}

// perProgram is 0 while few programs were seen.
func (n *need) perProgram() float64 {
	if n == nil || n.programs < needPrograms {
		return 0
	}
	return n.turns / n.programs
}

// learn counts a turn that was let in.
func (s *service) learn(r Request) {
	if r.IsCall || r.Program == "" || r.Route == "" {
		return
	}
	n := s.needs[r.Route]
	if n == nil {
		if len(s.needs) >= maxRoutes {
			clear(s.needs) // most are of former settings
		}
		n = new(need)
		s.needs[r.Route] = n
	}
	n.add(r.Class == policy.ClassFirstTurn)
	s.all.add(r.Class == policy.ClassFirstTurn)
}

// size is what a program of the request's route needs against others, 0 if that
// is not known.
func (s *service) size(r Request) float64 {
	mean := s.all.perProgram()
	if mean == 0 {
		return 0
	}
	return s.needs[r.Route].perProgram() / mean
}

// needed lists the pools that a request needs: a program that begins also needs
// those that programs call.
func (g *Guard) needed(r Request, own *service, now time.Time) []policy.PoolLoad {
	pools := []policy.PoolLoad{own.view}
	if r.Class != policy.ClassFirstTurn {
		return pools
	}
	for name, s := range g.services {
		if s != own && !s.calledAt.IsZero() && now.Sub(s.calledAt) < usedFor {
			pools = append(pools, g.service(name, now).view)
		}
	}
	return pools
}

// AllowRetry tells whether a request may be sent to one more target of a service
// after a number of targets were full. It may where slots are free, and once where
// nothing is known; else such sends are a bounded share.
func (g *Guard) AllowRetry(name string, refusals int, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(name, now)
	if !s.view.SpeedsLearned || !s.view.Full() && (s.view.HasEnoughData() || refusals <= 1) {
		return true
	}
	return s.again()
}

// again takes a further send from the budget.
func (s *service) again() bool {
	allowed := s.retries.Allow(1)
	if !allowed {
		s.metrics.noRetry.Inc(1)
	}
	return allowed
}

// AllowRetryAfterFailure tells the same after a target failed. Such sends are bounded
// only where all slots are known to be taken: the failure says nothing of the room.
func (g *Guard) AllowRetryAfterFailure(name string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(name, now)
	return !s.view.Full() || s.again()
}

// RetryAfter is when a caller should come back whose request no target took.
func (g *Guard) RetryAfter(name string, timeLeft time.Duration, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	ask := policy.AdmissionRequest{Class: policy.ClassInProgress, Jitter: g.jitter(), TimeLeft: timeLeft}
	return policy.RetryAfter(ask, g.service(name, now).view, 0)
}

// RecordDuration notes how long a request took that was served.
func (g *Guard) RecordDuration(name string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil {
		return
	}
	if s.usual == 0 {
		s.usual = took
		return
	}
	s.usual += time.Duration(usualWeight * float64(took-s.usual))
}

// service finds a service with a fresh view of its pool.
func (g *Guard) service(name string, now time.Time) *service {
	s := g.services[name]
	if s == nil {
		s = &service{needs: make(map[string]*need), retries: policy.NewRetryBudgetWith(retryShare, retryBurst),
			metrics: newMetrics(g.scope, name)}
		g.services[name] = s
	}
	if s.viewAt.IsZero() || now.Sub(s.viewAt) >= viewAge {
		p := g.pools.Pool(name, now)
		s.view = policy.PoolLoad{Service: name, Utilization: p.Utilization, ReportingTargets: p.Reporting, Targets: p.Usable, ReportAge: p.ReportAge, SpeedsLearned: p.SpeedsLearned}
		s.viewAt = now
		s.metrics.see(s.view)
	}
	return s
}

// draw places a program among all, the same at each instance and for each try.
func draw(r Request) float64 {
	name := r.Program
	if name == "" {
		name = r.ID
	}
	return float64(xxhash.Sum64String(name)>>11) / (1 << 53)
}

// DescribeRefusal tells in one line why a request was refused.
func DescribeRefusal(r Request, v policy.AdmissionVerdict) string {
	return fmt.Sprintf("%s: service %s at a fill of %.2f, %d of %d targets known, reports %d ms old; class %s, rank %d, "+
		"use of the organisation %.2f of its limit; refused are %.2f of such requests; room is expected in %s",
		v.Cause, v.Pool.Service, v.Pool.Utilization, v.Pool.ReportingTargets, v.Pool.Targets, v.Pool.ReportAge.Milliseconds(), r.Class, r.Rank,
		r.Usage, v.RefusalProbability, v.RetryAfter)
}

// Dump is what an instance knows of a pool.
type Dump struct {
	Service  string  `json:"service"`
	Fill     float64 `json:"fill"`
	Known    int     `json:"known"`
	All      int     `json:"all"`
	AgeMs    int64   `json:"age_ms"`
	UsualMs  int64   `json:"usual_ms"`
	Admitted int64   `json:"admitted"`
	Refused  int64   `json:"refused"`
}

// Dump lists the pools.
func (g *Guard) Dump(now time.Time) []Dump {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]Dump, 0, len(g.services))
	for name := range g.services {
		s := g.service(name, now)
		all = append(all, Dump{
			Service: name, Fill: s.view.Utilization, Known: s.view.ReportingTargets, All: s.view.Targets, AgeMs: s.view.ReportAge.Milliseconds(),
			UsualMs: s.usual.Milliseconds(), Admitted: s.admitted, Refused: s.refused,
		})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Service < all[j].Service })
	return all
}
