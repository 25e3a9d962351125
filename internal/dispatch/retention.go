package dispatch

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// maintenanceInterval is how often retention, releases and health are
	// checked.
	maintenanceInterval = 100 * time.Millisecond
	// sweepInterval is how often all waiting calls and programs are scanned.
	sweepInterval = 500 * time.Millisecond
	// minReleaseBackoff is the delay before a release is sent again; it doubles
	// up to maxReleaseBackoff.
	minReleaseBackoff = 200 * time.Millisecond
	maxReleaseBackoff = 30 * time.Second
	// closeGrace is the length of a pause up to which the end of a program does
	// not count as abandonment: programs usually end shortly after their last
	// call.
	closeGrace = 250 * time.Millisecond
	// programIdleTimeout is how long a program without calls or cache is
	// retained.
	programIdleTimeout = 10 * time.Minute
)

// program is the state of a program with calls or cache in a pool.
type program struct {
	team structs.Team
	// waited is the total time that its calls have waited in the queue.
	waited           time.Duration
	waiting, running int
	// idleSince is the end of its last run, or when it was first seen.
	idleSince time.Time
	// pause is its element in the paused list of its team, nil if it is not
	// paused; abandoned is set once the pause exceeds the team's abandon
	// timeout.
	pause     *list.Element
	abandoned bool
	// targets are those that may hold cache of the program.
	targets []*target
	ended   bool
}

// pendingRelease is a ReleaseCache command that the target has not confirmed.
type pendingRelease struct {
	target       *target
	program      structs.ProgramID
	programEnded bool
	backoff      time.Duration
	sendAt       time.Time
}

// teamPauses tracks the tool pauses of one team.
type teamPauses struct {
	team     structs.Team
	estimate *policy.Pauses
	// paused holds the paused programs that are not abandoned, longest pause
	// first.
	paused list.List
}

// pausesOf returns the pauses of a team, creating them if needed.
func (p *pool) pausesOf(team structs.Team) *teamPauses {
	i, ok := slices.BinarySearchFunc(p.pauses, team, func(pauses *teamPauses, team structs.Team) int {
		return cmp.Compare(pauses.team, team)
	})
	if !ok {
		p.pauses = slices.Insert(p.pauses, i, &teamPauses{team: team, estimate: policy.NewPauses()})
	}
	return p.pauses[i]
}

// startPause starts the pause of a program without calls.
func (p *pool) startPause(now time.Time, prog *program) {
	if prog.pause != nil || prog.ended || prog.waiting+prog.running > 0 {
		return
	}
	prog.idleSince, prog.abandoned = now, false
	prog.pause = p.pausesOf(prog.team).paused.PushBack(prog)
}

// endPause ends a pause. If returned is set, the program made a further call;
// otherwise it ended.
func (p *pool) endPause(now time.Time, prog *program, returned bool) {
	team := p.pausesOf(prog.team)
	switch {
	case prog.pause == nil && !prog.abandoned:
		return
	case returned:
		team.estimate.ObserveReturn(now.Sub(prog.idleSince), prog.abandoned)
	case !prog.abandoned && now.Sub(prog.idleSince) > closeGrace:
		team.estimate.ObserveAbandoned()
	}
	if prog.pause != nil {
		team.paused.Remove(prog.pause)
	}
	prog.pause, prog.abandoned = nil, false
}

// markAbandoned ends the pauses that exceed the abandon timeout of their team.
func (p *pool) markAbandoned(now time.Time) {
	for _, team := range p.pauses {
		limit := team.estimate.AbandonTimeout()
		for front := team.paused.Front(); front != nil; front = team.paused.Front() {
			prog := front.Value.(*program)
			if now.Sub(prog.idleSince) < limit {
				break
			}
			team.paused.Remove(front)
			prog.pause, prog.abandoned = nil, true
			team.estimate.ObserveAbandoned()
		}
	}
}

func (p *pool) program(now time.Time, id structs.ProgramID, team structs.Team) *program {
	prog := p.programs[id]
	if prog == nil {
		prog = &program{}
		p.programs[id] = prog
	}
	if team != "" {
		prog.team = team
	}
	if prog.idleSince.IsZero() {
		prog.idleSince = now
	}
	return prog
}

// applyHints adds the cache locations that the owner reports for a program that
// is new to the pool. For a known program the pool's own index is more
// accurate.
func (p *pool) applyHints(now time.Time, m *structs.PermitRequest) {
	if p.programs[m.Ref.Program] != nil || p.service.Kind != structs.ServiceEngine {
		return
	}
	prog := p.program(now, m.Ref.Program, m.Team)
	for _, hint := range m.Hints {
		t := p.target(hint.Target)
		tokens := hint.Tokens - m.SharedTokens
		if t == nil || tokens <= 0 {
			continue
		}
		entry := t.cache.touch(now, string(m.Ref.Program))
		entry.team = m.Team
		t.cache.setTokens(entry, max(entry.tokens, tokens))
		prog.targets = append(prog.targets, t)
	}
}

// programReturned records a further call of a program, which ends its pause.
func (p *pool) programReturned(now time.Time, c *call) {
	prog := p.programs[c.program()]
	p.endPause(now, prog, true)
	prog.waiting++
}

// startRun marks the cache entries of a run as in use.
func (p *pool) startRun(now time.Time, c *call) {
	m, t := c.request, c.target
	prog := p.programs[c.program()]
	prog.running++
	if p.service.Kind != structs.ServiceEngine {
		return
	}
	if !slices.Contains(prog.targets, t) {
		prog.targets = append(prog.targets, t)
	}
	entry := t.cache.touch(now, string(c.program()))
	entry.team = m.Team
	entry.running++
	if m.SharedKey != "" {
		shared := t.cache.touch(now, m.SharedKey)
		shared.shared = true
		shared.running++
		t.cache.setTokens(shared, max(shared.tokens, m.SharedTokens))
	}
	p.pendingReleases = slices.DeleteFunc(p.pendingReleases, func(r *pendingRelease) bool {
		return r.target == t && r.program == c.program() && !r.programEnded
	})
}

// endRun unmarks the cache entries of a run.
func (p *pool) endRun(c *call) {
	m, t := c.request, c.target
	p.programs[c.program()].running--
	for _, key := range []string{string(c.program()), m.SharedKey} {
		if entry := t.cache.find(key); entry != nil && entry.running > 0 {
			entry.running--
		}
	}
}

// recordCache updates the cache index after a run and releases copies of the
// program's cache at other targets.
func (p *pool) recordCache(now time.Time, c *call, t *target, m *structs.PermitFinish) {
	prog := p.programs[c.program()]
	prog.idleSince = now
	if p.service.Kind != structs.ServiceEngine {
		return
	}
	if tokens := m.CacheTokens - c.request.SharedTokens; tokens > 0 {
		entry := t.cache.touch(now, string(c.program()))
		t.cache.setTokens(entry, tokens)
	}
	if prog.ended {
		p.releaseProgram(now, c.program(), prog)
		return
	}
	p.startPause(now, prog)
	if p.service.Rules.Retention == policy.RetainWorth {
		p.releaseCopies(now, c.program(), prog, t)
	}
}

// releaseCopies releases a program's cache at all targets but the last one,
// except where the program runs or more of it is cached.
func (p *pool) releaseCopies(now time.Time, id structs.ProgramID, prog *program, last *target) {
	held := last.cache.tokens(string(id))
	for _, t := range slices.Clone(prog.targets) {
		entry := t.cache.find(string(id))
		if t != last && (entry == nil || entry.running == 0 && entry.tokens <= held) {
			p.scheduleRelease(now, id, prog, t, false)
		}
	}
}

// endProgram releases all cache of a program that ended.
func (p *pool) endProgram(now time.Time, id structs.ProgramID) {
	prog := p.programs[id]
	if prog == nil {
		return
	}
	p.endPause(now, prog, false)
	prog.ended = true
	p.releaseProgram(now, id, prog)
}

func (p *pool) releaseProgram(now time.Time, id structs.ProgramID, prog *program) {
	if !p.service.Rules.ReleaseGone {
		return
	}
	for _, t := range slices.Clone(prog.targets) {
		p.scheduleRelease(now, id, prog, t, true)
	}
}

// scheduleRelease queues the release of a program's cache at a target.
func (p *pool) scheduleRelease(now time.Time, id structs.ProgramID, prog *program, t *target, programEnded bool) {
	prog.targets = slices.DeleteFunc(prog.targets, func(other *target) bool { return other == t })
	t.cache.release(now, string(id))
	for _, r := range p.pendingReleases {
		if r.target == t && r.program == id {
			r.programEnded = r.programEnded || programEnded
			return
		}
	}
	p.pendingReleases = append(p.pendingReleases, &pendingRelease{target: t, program: id, programEnded: programEnded, sendAt: now, backoff: minReleaseBackoff})
	p.maintainAt = now
}

// confirmRelease removes a pending release once the target has confirmed it.
func (p *pool) confirmRelease(_ time.Time, t *target, e structs.CacheReleased) {
	if !e.Done {
		return
	}
	p.pendingReleases = slices.DeleteFunc(p.pendingReleases, func(r *pendingRelease) bool {
		return r.target == t && r.program == e.Program
	})
}

// applyCacheEvents applies a target's cache events to its index.
func (p *pool) applyCacheEvents(now time.Time, t *target, e structs.TargetCache) {
	for _, event := range e.Events {
		t.cache.applyEvent(now, event, func(entry *cacheEntry) { p.describeEntry(now, t, entry) })
	}
}

// describeEntry sets the team or the shared flag of an entry that a cache event
// created.
func (p *pool) describeEntry(now time.Time, t *target, entry *cacheEntry) {
	if _, entry.shared = p.sharedKeys[entry.key]; entry.shared {
		return
	}
	prog := p.program(now, structs.ProgramID(entry.key), "")
	entry.team = prog.team
	if !slices.Contains(prog.targets, t) {
		prog.targets = append(prog.targets, t)
	}
}

// maintain runs the periodic work of a pool: it ends ejections, releases cache
// that is not worth retaining, and sends pending releases.
func (d *Dispatcher) maintain(now time.Time, p *pool) {
	if p.maintainAt.After(now) {
		return
	}
	p.markAbandoned(now)
	for _, t := range p.targets {
		t.health.Advance(now)
		t.cache.prune(now)
		p.releaseUnretained(now, t)
	}
	p.pendingReleases = slices.DeleteFunc(p.pendingReleases, func(r *pendingRelease) bool { return r.target.unlisted })
	for _, r := range p.pendingReleases {
		if r.sendAt.After(now) {
			continue
		}
		d.emit(structs.ReleaseCache{Target: r.target.info, Program: r.program})
		r.sendAt = now.Add(r.backoff)
		r.backoff = min(maxReleaseBackoff, 2*r.backoff)
	}
	if !p.sweepAt.After(now) {
		d.refuseUnmeetable(now, p)
		p.dropIdlePrograms(now)
		p.sweepAt = now.Add(sweepInterval)
	}
	p.maintainAt = time.Time{}
	if p.busy() || p.holdsCache() {
		p.maintainAt = now.Add(maintenanceInterval)
	}
}

func (p *pool) holdsCache() bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool {
		return len(t.cache.entries) > 0 || t.health.State == policy.Ejected
	})
}

// releaseUnretained releases the cache of paused programs that the retention
// policy does not keep.
func (p *pool) releaseUnretained(now time.Time, t *target) {
	rules := p.service.Rules
	if rules.Retention == policy.RetainAll {
		return
	}
	utilization := t.cache.utilization()
	for element := t.cache.lru.Back(); element != nil; {
		entry := element.Value.(*cacheEntry)
		element = element.Prev()
		id := structs.ProgramID(entry.key)
		prog := p.programs[id]
		if entry.tokens == 0 || entry.shared || entry.running > 0 || prog == nil || prog.waiting+prog.running > 0 {
			continue
		}
		if !policy.Retain(rules, p.returnProbability(now, entry), utilization) {
			p.scheduleRelease(now, id, prog, t, false)
		}
	}
}

// returnProbability estimates the probability that a cached prefix is used
// again.
func (p *pool) returnProbability(now time.Time, entry *cacheEntry) float64 {
	if entry.shared {
		return 1
	}
	return p.pausesOf(entry.team).estimate.ReturnProbability(now.Sub(entry.touchedAt))
}

// evictionCost estimates the cost of recomputing what is evicted when need more
// tokens are stored.
func (p *pool) evictionCost(now time.Time, t *target, need int64) time.Duration {
	victims, need := t.cache.victims(need, func(entry *cacheEntry) float64 { return p.returnProbability(now, entry) })
	return policy.EvictionCost(victims, need, p.estimates.PrefillPerToken)
}

// dropIdlePrograms removes programs that have ended, and idle ones without
// cache.
func (p *pool) dropIdlePrograms(now time.Time) {
	for id, prog := range p.programs {
		if prog.waiting+prog.running > 0 {
			continue
		}
		if prog.ended || now.Sub(prog.idleSince) > programIdleTimeout && !prog.hasCache(id) {
			p.endPause(now, prog, false)
			delete(p.programs, id)
		}
	}
}

// hasCache reports whether any target has cache of the program.
func (prog *program) hasCache(id structs.ProgramID) bool {
	return slices.ContainsFunc(prog.targets, func(t *target) bool { return t.cache.tokens(string(id)) > 0 })
}
