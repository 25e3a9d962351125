package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// membersRefreshInterval is how often a pool rereads the membership without
	// a change event.
	membersRefreshInterval = time.Second
	// poolIdleTimeout is how long an unused pool of another dispatcher is
	// retained.
	poolIdleTimeout = 30 * time.Second
)

// pool holds the queue, the targets and the estimates of one pool.
type pool struct {
	id      structs.PoolID
	service structs.Service
	queue   queue
	// targets is sorted by ID.
	targets []*target
	// lastPlaced is the index in targets of the latest placement.
	lastPlaced int
	programs   map[structs.ProgramID]*program
	sharedKeys map[string]struct{}
	// pauses is sorted by team.
	pauses          []*teamPauses
	pendingReleases []*pendingRelease
	shares          *policy.Shares
	estimates       policy.Estimates
	budget          policy.RetryBudget
	// grantInterval is the moving average of the time between grants while
	// calls wait; lastGrant is the latest grant, zero once the queue is empty.
	grantInterval time.Duration
	lastGrant     time.Time
	// lateness is keyed by class.
	lateness map[int]*policy.Lateness

	// optionBuffer is reused by placementOptions.
	optionBuffer []policy.PlacementOption

	refreshedAt time.Time
	usedAt      time.Time
	// wakeAt is when a target may accept a waiting call again; maintainAt is
	// the next run of maintain; sweepAt is the next scan of all calls and
	// programs.
	wakeAt, maintainAt, sweepAt time.Time
}

func newPool(id structs.PoolID, service structs.Service) *pool {
	return &pool{
		id: id, service: service, lastPlaced: -1,
		programs:   make(map[structs.ProgramID]*program),
		sharedKeys: make(map[string]struct{}),
		shares:     policy.NewShares(),
		estimates:  policy.NewEstimates(),
		budget:     policy.NewRetryBudget(),
		lateness:   make(map[int]*policy.Lateness),
	}
}

// busy reports whether the pool has calls or pending releases.
func (p *pool) busy() bool {
	if p.queue.size > 0 || len(p.pendingReleases) > 0 {
		return true
	}
	return slices.ContainsFunc(p.targets, func(t *target) bool { return len(t.running) > 0 })
}

func (p *pool) target(id structs.TargetID) *target {
	i, ok := p.searchTarget(id)
	if !ok {
		return nil
	}
	return p.targets[i]
}

func (p *pool) searchTarget(id structs.TargetID) (int, bool) {
	return slices.BinarySearchFunc(p.targets, id, func(t *target, id structs.TargetID) int {
		return cmp.Compare(t.info.ID, id)
	})
}

// setService applies changed settings. The queue is sorted again if the order
// of calls changed.
func (p *pool) setService(service structs.Service) {
	if service == p.service {
		return
	}
	orderChanged := service.Rules.Order != p.service.Rules.Order ||
		service.Rules.Classes != p.service.Rules.Classes ||
		service.Rules.Aging != p.service.Rules.Aging
	for _, t := range p.targets {
		if t.cache.capacity == p.service.CacheTokens {
			t.cache.capacity = service.CacheTokens
		}
	}
	p.service = service
	if !orderChanged {
		return
	}
	var waiting []*call
	p.queue.forEach(func(c *call) { waiting = append(waiting, c) })
	p.queue = queue{}
	for _, c := range waiting {
		p.rank(c)
		p.queue.add(c)
	}
}

// rank sets a call's class and key by the current rules.
func (p *pool) rank(c *call) {
	c.class = policy.Class(p.service.Rules, c.order.Priority)
	c.key = policy.OrderKey(p.service.Rules, c.order)
}

// latenessOf returns the lateness of a class, creating it if needed.
func (p *pool) latenessOf(class int) *policy.Lateness {
	late := p.lateness[class]
	if late == nil {
		late = new(policy.Lateness)
		p.lateness[class] = late
	}
	return late
}

// refreshTargets applies the membership: it adds new targets, updates known
// ones and removes unlisted ones without running calls.
func (p *pool) refreshTargets(now time.Time, members structs.Members) {
	p.refreshedAt = now
	listed := members.Targets(p.id.Service)
	for _, t := range p.targets {
		t.unlisted = true
	}
	for _, info := range listed {
		if info.Region != p.id.Region {
			continue
		}
		i, ok := p.searchTarget(info.ID)
		if !ok {
			p.targets = slices.Insert(p.targets, i, newTarget(info, p.service.CacheTokens))
		}
		p.targets[i].info = info
		p.targets[i].unlisted = false
	}
	p.targets = slices.DeleteFunc(p.targets, func(t *target) bool {
		return t.unlisted && len(t.running) == 0
	})
}

// recordFailure records a failure of a target.
func (p *pool) recordFailure(now time.Time, t *target) {
	t.health.RecordFailure(p.service.Rules, now, p.canEject())
}

// canEject reports whether one more target may be ejected. At most half of a
// pool's targets may be ineligible.
func (p *pool) canEject() bool {
	ineligible := 0
	for _, t := range p.targets {
		if !t.eligible() {
			ineligible++
		}
	}
	return 2*(ineligible+1) <= len(p.targets)
}
