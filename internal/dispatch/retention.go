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
	// maintenanceInterval is how often retention, releases and health are checked.
	maintenanceInterval = 100 * time.Millisecond
	// sweepInterval is how often every waiting call and program is looked
	// at.
	sweepInterval = 500 * time.Millisecond
	// minReleaseBackoff is the first wait before a release is sent again; it
	// doubles up to maxReleaseBackoff.
	minReleaseBackoff = 200 * time.Millisecond
	maxReleaseBackoff = 30 * time.Second
	// closeGrace is the age of a pause up to which the end of a program is
	// no lost return: programs are closed shortly after their last call.
	closeGrace = 250 * time.Millisecond
	// programIdleTimeout is how long a program without calls and cache is known.
	programIdleTimeout = 10 * time.Minute
)

// program is what a pool knows of a program with calls or cache there.
type program struct {
	team structs.Team
	// waited is the time that its calls have waited in the queue.
	waited           time.Duration
	waiting, running int
	// idleSince is the end of its last run, or when it was first seen.
	idleSince time.Time
	// pause is its place among the team's open pauses, nil if it does not
	// pause; presumed tells that it paused so long that it seems lost.
	pause     *list.Element
	abandoned bool
	// targets may hold cache of it.
	targets []*target
	ended   bool
}

// pendingRelease is a ReleaseCache that is not yet confirmed.
type pendingRelease struct {
	target       *target
	program      structs.ProgramID
	programEnded bool
	backoff      time.Duration
	sendAt       time.Time
}

// teamPauses follows the tool pauses of one team.
type teamPauses struct {
	team     structs.Team
	estimate *policy.Pauses
	// paused lists the programs that pause and are not presumed lost, the
	// longest first.
	paused list.List
}

// pausesOf finds or makes the pauses of a team.
func (p *pool) pausesOf(team structs.Team) *teamPauses {
	i, ok := slices.BinarySearchFunc(p.pauses, team, func(prog *teamPauses, team structs.Team) int {
		return cmp.Compare(prog.team, team)
	})
	if !ok {
		p.pauses = slices.Insert(p.pauses, i, &teamPauses{team: team, estimate: policy.NewPauses()})
	}
	return p.pauses[i]
}

// startPause begins a pause of a program without calls.
func (p *pool) startPause(now time.Time, prog *program) {
	if prog.pause != nil || prog.ended || prog.waiting+prog.running > 0 {
		return
	}
	prog.idleSince, prog.abandoned = now, false
	prog.pause = p.pausesOf(prog.team).paused.PushBack(prog)
}

// endPause ends a pause: by a further call, or by the end of the program.
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

// markAbandoned ends the pauses that are so long that few programs return.
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

// applyHints records where an unknown program's prefix was held last, as its
// owner knows it. Of a known program the own record knows better.
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

// programReturned ends a pause by a further call.
func (p *pool) programReturned(now time.Time, c *call) {
	prog := p.programs[c.program()]
	p.endPause(now, prog, true)
	prog.waiting++
}

// startRun marks the cache entries that a run uses.
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

// endRun ends the use of the cache entries of a run.
func (p *pool) endRun(c *call) {
	m, t := c.request, c.target
	p.programs[c.program()].running--
	for _, key := range []string{string(c.program()), m.SharedKey} {
		if entry := t.cache.find(key); entry != nil && entry.running > 0 {
			entry.running--
		}
	}
}

// recordCache books what the target holds after a run, and releases copies of the
// program at other targets.
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

// releaseCopies releases a program's cache at targets other than its last one
// where nothing of it runs.
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

// scheduleRelease owes a target the release of a program's cache.
func (p *pool) scheduleRelease(now time.Time, id structs.ProgramID, prog *program, t *target, gone bool) {
	prog.targets = slices.DeleteFunc(prog.targets, func(other *target) bool { return other == t })
	t.cache.release(now, string(id))
	for _, r := range p.pendingReleases {
		if r.target == t && r.program == id {
			r.programEnded = r.programEnded || gone
			return
		}
	}
	p.pendingReleases = append(p.pendingReleases, &pendingRelease{target: t, program: id, programEnded: gone, sendAt: now, backoff: minReleaseBackoff})
	p.maintainAt = now
}

// confirmRelease ends an owed release once the target confirms it.
func (p *pool) confirmRelease(_ time.Time, t *target, e structs.CacheReleased) {
	if !e.Done {
		return
	}
	p.pendingReleases = slices.DeleteFunc(p.pendingReleases, func(r *pendingRelease) bool {
		return r.target == t && r.program == e.Program
	})
}

// applyCacheEvents corrects the record of a target's cache.
func (p *pool) applyCacheEvents(now time.Time, t *target, e structs.TargetCache) {
	for _, event := range e.Events {
		t.cache.applyEvent(now, event, func(entry *cacheEntry) { p.describeEntry(now, t, entry) })
	}
}

// describeEntry fills in what is known of an entry that a cache event made.
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

// maintain does what is due from time to time: it ends ejections, lets go of
// cache that is not worth its memory, and sends owed releases.
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

// releaseUnretained releases the cache of paused programs that is not worth its memory.
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

// returnProbability is the chance that a cached prefix is used again.
func (p *pool) returnProbability(now time.Time, entry *cacheEntry) float64 {
	if entry.shared {
		return 1
	}
	return p.pausesOf(entry.team).estimate.ReturnProbability(now.Sub(entry.touchedAt))
}

// evictionCost is the replacement cost of storing so many tokens more.
func (p *pool) evictionCost(now time.Time, t *target, need int64) time.Duration {
	victims, need := t.cache.victims(need, func(entry *cacheEntry) float64 { return p.returnProbability(now, entry) })
	return policy.EvictionCost(victims, need, p.estimates.PrefillPerToken)
}

// dropIdlePrograms drops programs without calls and cache.
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

// hasCache tells whether any target is known to hold cache of the program.
func (prog *program) hasCache(id structs.ProgramID) bool {
	return slices.ContainsFunc(prog.targets, func(t *target) bool { return t.cache.tokens(string(id)) > 0 })
}
