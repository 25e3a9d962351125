package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// membersRefresh is how often a pool looks at the membership unasked.
	membersRefresh = time.Second
	// poolIdle is how long a pool without work of another dispatcher is
	// kept.
	poolIdle = 30 * time.Second
)

// pool is the queue, the targets and the estimates of one pool.
type pool struct {
	id      structs.PoolID
	service structs.Service
	queue   queue
	// targets is ordered by id.
	targets []*target
	// lastPlaced is the index of the target last placed at.
	lastPlaced int
	programs   map[structs.ProgramID]*program
	sharedKeys map[string]struct{}
	// pauses is ordered by team.
	pauses    []*pauses
	releases  []*release
	shares    *policy.Shares
	estimates policy.Estimates
	budget    policy.RetryBudget
	// interval is the average time between grants while calls wait, and
	// lastGrant the last grant since the queue was empty.
	interval  time.Duration
	lastGrant time.Time
	// lateness is by class.
	lateness map[int]*policy.Lateness

	// scratch is the memory of the options of one call.
	scratch []policy.Option

	refreshed time.Time
	used      time.Time
	// wakeAt is when a target may open again for the waiting calls, checkAt
	// the next check of retention, releases and health, and sweepAt the next
	// one that looks at every call and program.
	wakeAt, checkAt, sweepAt time.Time
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

// busy tells whether the pool has calls or owed releases.
func (p *pool) busy() bool {
	if p.queue.size > 0 || len(p.releases) > 0 {
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

// setService takes over a changed setting; a changed order sorts the queue
// again.
func (p *pool) setService(service structs.Service) {
	if service == p.service {
		return
	}
	reorder := service.Rules.Order != p.service.Rules.Order ||
		service.Rules.Classes != p.service.Rules.Classes ||
		service.Rules.Aging != p.service.Rules.Aging
	for _, t := range p.targets {
		if t.cache.capacity == p.service.CacheTokens {
			t.cache.capacity = service.CacheTokens
		}
	}
	p.service = service
	if !reorder {
		return
	}
	var waiting []*call
	p.queue.each(func(c *call) { waiting = append(waiting, c) })
	p.queue = queue{}
	for _, c := range waiting {
		p.rank(c)
		p.queue.add(c)
	}
}

// rank sets a call's class and key by the rules in force.
func (p *pool) rank(c *call) {
	c.class = policy.Class(p.service.Rules, c.order.Priority)
	c.key = policy.Key(p.service.Rules, c.order)
}

// late finds or makes the lateness of a class.
func (p *pool) late(class int) *policy.Lateness {
	known := p.lateness[class]
	if known == nil {
		known = new(policy.Lateness)
		p.lateness[class] = known
	}
	return known
}

// refreshTargets takes over the membership's view: new targets, those that
// leave and those that vanished.
func (p *pool) refreshTargets(now time.Time, members structs.Members) {
	p.refreshed = now
	listed := members.Targets(p.id.Service)
	for _, t := range p.targets {
		t.gone = true
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
		p.targets[i].gone = false
	}
	p.targets = slices.DeleteFunc(p.targets, func(t *target) bool {
		return t.gone && len(t.running) == 0
	})
}

// targetFailed counts a failure of a target.
func (p *pool) targetFailed(now time.Time, t *target) {
	t.health.RecordFailure(p.service.Rules, now, p.mayEject())
}

// mayEject tells whether one more target may be ejected: at most half of a
// pool is out.
func (p *pool) mayEject() bool {
	out := 0
	for _, t := range p.targets {
		if !t.eligible() {
			out++
		}
	}
	return 2*(out+1) <= len(p.targets)
}
