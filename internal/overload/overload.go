// Package overload decides which requests an instance admits under overload. It
// keeps the loads of the pools, the durations of requests and the retry budgets;
// the decisions themselves are made by package policy.
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
	// maxViewAge is how long the load of a pool is cached. It is short relative to the
	// age of the underlying reports.
	maxViewAge = 50 * time.Millisecond
	// maxRoutes limits the routes with stored turn counts per service.
	maxRoutes = 4096
	// calledServiceTTL is how long after a call by a program a service is required for
	// new programs.
	calledServiceTTL = 10 * time.Second
	// meanRankWeight is the weight of one first turn in the mean rank of a service.
	meanRankWeight = 1.0 / 32
	// turnDecay is the weight that each turn takes from the previous ones. minPrograms
	// is the number of programs required for an estimate.
	turnDecay   = 1.0 / 256
	minPrograms = 3
	// durationWeight is the weight of one request in the mean duration.
	durationWeight = 1.0 / 16
	// retryRatio and retryBurst limit the retries to a service without free slots: as a
	// fraction of the first sends, and as a number of sends.
	retryRatio = 0.2
	retryBurst = 4
)

// Pools provides the load of services.
type Pools interface {
	Pool(service string, now time.Time) targets.Pool
}

// Request is a request for admission.
type Request struct {
	Service string
	// Program identifies the program within its organisation, ID the request.
	Program string
	ID      string
	// IsCall indicates a call made by a program rather than a turn.
	IsCall bool
	Class  policy.AdmissionClass
	// Route is the route of a turn.
	Route string
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank int
	// Usage is the organisation's usage as a fraction of its limit; 0 if unknown.
	Usage    float64
	TimeLeft time.Duration
}

// Controller decides which requests this instance admits. It is safe for concurrent
// use.
type Controller struct {
	pools  Pools
	scope  tally.Scope
	jitter func() float64

	mu       sync.Mutex
	services map[string]*service
}

// service is the state of one service.
type service struct {
	view   policy.PoolLoad
	viewAt time.Time
	// lastCalledAt is when a program last called the service.
	lastCalledAt time.Time
	// meanDuration is the moving average of the duration of served requests.
	meanDuration time.Duration
	retries      policy.RetryBudget
	// meanRank is the mean rank of first turns; hasRank indicates that there was one.
	meanRank float64
	hasRank  bool
	// turns and turnsByRoute count the admitted turns.
	turns        turnCounts
	turnsByRoute map[string]*turnCounts
	metrics      metrics
	// admitted and refused count requests since the start.
	admitted, refused int64
}

// New returns a Controller that decides by the loads of pools.
func New(pools Pools, scope tally.Scope) *Controller {
	return &Controller{
		pools: pools, scope: scope.SubScope("room"), jitter: rand.Float64, services: make(map[string]*service),
	}
}

// Admit decides whether a request is admitted.
func (c *Controller) Admit(r Request, now time.Time) policy.AdmissionVerdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(r.Service, now)
	if r.IsCall {
		s.lastCalledAt = now
	}
	admission := policy.AdmissionRequest{
		Class: r.Class, Rank: s.relativeRank(r), RelativeSize: s.relativeSize(r), LimitUsage: r.Usage, Random: programHash(r), Jitter: c.jitter(),
		TimeLeft: r.TimeLeft, TypicalTime: s.meanDuration,
	}
	verdict := policy.AdmitRequest(admission, c.requiredPools(r, s, now)...)
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

// relativeRank returns how much less urgent a request is than first turns on
// average.
func (s *service) relativeRank(r Request) float64 {
	rank := float64(r.Rank)
	if r.Class == policy.ClassFirstTurn {
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

// turnCounts counts turns, including those of sub-agents, and programs. Older ones
// decay.
type turnCounts struct{ turns, programs float64 }

// add records an admitted turn.
func (t *turnCounts) add(first bool) {
	t.turns += 1 - turnDecay*t.turns
	t.programs -= turnDecay * t.programs
	if first {
		t.programs++
	}
}

// perProgram returns the mean number of turns per program, 0 if too few programs
// were seen.
func (t *turnCounts) perProgram() float64 {
	if t == nil || t.programs < minPrograms {
		return 0
	}
	return t.turns / t.programs
}

// recordTurn records an admitted turn.
func (s *service) recordTurn(r Request) {
	if r.IsCall || r.Program == "" || r.Route == "" {
		return
	}
	counts := s.turnsByRoute[r.Route]
	if counts == nil {
		if len(s.turnsByRoute) >= maxRoutes {
			clear(s.turnsByRoute) // most belong to removed routes
		}
		counts = new(turnCounts)
		s.turnsByRoute[r.Route] = counts
	}
	counts.add(r.Class == policy.ClassFirstTurn)
	s.turns.add(r.Class == policy.ClassFirstTurn)
}

// relativeSize returns the turns per program of the request's route relative to all
// routes, 0 if unknown.
func (s *service) relativeSize(r Request) float64 {
	mean := s.turns.perProgram()
	if mean == 0 {
		return 0
	}
	return s.turnsByRoute[r.Route].perProgram() / mean
}

// requiredPools returns the loads that decide on a request. A new program also
// requires the services that programs call.
func (c *Controller) requiredPools(r Request, requested *service, now time.Time) []policy.PoolLoad {
	pools := []policy.PoolLoad{requested.view}
	if r.Class != policy.ClassFirstTurn {
		return pools
	}
	for name, s := range c.services {
		if s != requested && !s.lastCalledAt.IsZero() && now.Sub(s.lastCalledAt) < calledServiceTTL {
			pools = append(pools, c.service(name, now).view)
		}
	}
	return pools
}

// AllowRetry reports whether a request may be sent to another target after refusals
// targets of the service were full. Retries are unlimited while slots are free or
// speeds are not learned, and a first retry is allowed while the load is unknown;
// other retries are taken from the budget.
func (c *Controller) AllowRetry(name string, refusals int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(name, now)
	if !s.view.SpeedsLearned || !s.view.Full() && (s.view.HasEnoughData() || refusals <= 1) {
		return true
	}
	return s.takeRetry()
}

// takeRetry takes a retry from the budget and reports whether one was left.
func (s *service) takeRetry() bool {
	allowed := s.retries.Allow(1)
	if !allowed {
		s.metrics.retriesRefused.Inc(1)
	}
	return allowed
}

// AllowRetryAfterFailure reports whether a request may be sent to another target
// after one failed. A failure does not indicate overload, so retries are limited
// only while all slots are known to be taken.
func (c *Controller) AllowRetryAfterFailure(name string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(name, now)
	return !s.view.Full() || s.takeRetry()
}

// RetryAfter returns the RetryAfter delay for a request that no target accepted.
func (c *Controller) RetryAfter(name string, timeLeft time.Duration, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	admission := policy.AdmissionRequest{Class: policy.ClassInProgress, Jitter: c.jitter(), TimeLeft: timeLeft}
	return policy.RetryAfter(admission, c.service(name, now).view, 0)
}

// RecordDuration records the duration of a served request.
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

// service returns the state of a service, with the load of its pool updated. The
// mutex must be held.
func (c *Controller) service(name string, now time.Time) *service {
	s := c.services[name]
	if s == nil {
		s = &service{turnsByRoute: make(map[string]*turnCounts), retries: policy.NewRetryBudgetWith(retryRatio, retryBurst),
			metrics: newMetrics(c.scope, name)}
		c.services[name] = s
	}
	if s.viewAt.IsZero() || now.Sub(s.viewAt) >= maxViewAge {
		p := c.pools.Pool(name, now)
		s.view = policy.PoolLoad{Service: name, Utilization: p.Utilization, ReportingTargets: p.Reporting, Targets: p.Usable, ReportAge: p.ReportAge, SpeedsLearned: p.SpeedsLearned}
		s.viewAt = now
		s.metrics.observe(s.view)
	}
	return s
}

// programHash maps a program to a number in [0, 1), the same at all instances and
// for all attempts. A request without a program is mapped by its ID.
func programHash(r Request) float64 {
	name := r.Program
	if name == "" {
		name = r.ID
	}
	return float64(xxhash.Sum64String(name)>>11) / (1 << 53)
}

// DescribeRefusal returns a one-line explanation of a refusal.
func DescribeRefusal(r Request, v policy.AdmissionVerdict) string {
	return fmt.Sprintf("%s: service %s at utilization %.2f, %d of %d targets reporting, reports %d ms old; class %s, rank %d, "+
		"organisation at %.2f of its limit; fraction %.2f of such requests refused; capacity expected in %s",
		v.Cause, v.Pool.Service, v.Pool.Utilization, v.Pool.ReportingTargets, v.Pool.Targets, v.Pool.ReportAge.Milliseconds(), r.Class, r.Rank,
		r.Usage, v.RefusalProbability, v.RetryAfter)
}

// ServiceDump is the state of a service in a dump.
type ServiceDump struct {
	Service        string  `json:"service"`
	Utilization    float64 `json:"fill"`
	Reporting      int     `json:"known"`
	Usable         int     `json:"all"`
	AgeMs          int64   `json:"age_ms"`
	MeanDurationMs int64   `json:"usual_ms"`
	Admitted       int64   `json:"admitted"`
	Refused        int64   `json:"refused"`
}

// Dump returns the state of all services, sorted by name.
func (c *Controller) Dump(now time.Time) []ServiceDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]ServiceDump, 0, len(c.services))
	for name := range c.services {
		s := c.service(name, now)
		all = append(all, ServiceDump{
			Service: name, Utilization: s.view.Utilization, Reporting: s.view.ReportingTargets, Usable: s.view.Targets, AgeMs: s.view.ReportAge.Milliseconds(),
			MeanDurationMs: s.meanDuration.Milliseconds(), Admitted: s.admitted, Refused: s.refused,
		})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Service < all[j].Service })
	return all
}
