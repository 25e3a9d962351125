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
	// checkInterval is how often retention, releases and health are checked.
	checkInterval = 100 * time.Millisecond
	// sweepInterval is how often every waiting call and program is looked
	// at.
	sweepInterval = 500 * time.Millisecond
	// releaseRetry is the first wait before a release is sent again; it
	// doubles up to releaseRetryMax.
	releaseRetry    = 200 * time.Millisecond
	releaseRetryMax = 30 * time.Second
	// closeGrace is the age of a pause up to which the end of a program is
	// no lost return: programs are closed shortly after their last call.
	closeGrace = 250 * time.Millisecond
	// programIdle is how long a program without calls and cache is known.
	programIdle = 10 * time.Minute
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
	pause    *list.Element
	presumed bool
	// targets may hold cache of it.
	targets []*target
	gone    bool
}

// release is a ReleaseCache that is not yet confirmed.
type release struct {
	target  *target
	program structs.ProgramID
	gone    bool
	wait    time.Duration
	next    time.Time
}

// pauses follows the tool pauses of one team.
type pauses struct {
	team     structs.Team
	estimate *policy.Pauses
	// open lists the programs that pause and are not presumed lost, the
	// longest first.
	open list.List
}

// teamPauses finds or makes the pauses of a team.
func (p *pool) teamPauses(team structs.Team) *pauses {
	i, ok := slices.BinarySearchFunc(p.pauses, team, func(known *pauses, team structs.Team) int {
		return cmp.Compare(known.team, team)
	})
	if !ok {
		p.pauses = slices.Insert(p.pauses, i, &pauses{team: team, estimate: policy.NewPauses()})
	}
	return p.pauses[i]
}

// startPause begins a pause of a program without calls.
func (p *pool) startPause(now time.Time, known *program) {
	if known.pause != nil || known.gone || known.waiting+known.running > 0 {
		return
	}
	known.idleSince, known.presumed = now, false
	known.pause = p.teamPauses(known.team).open.PushBack(known)
}

// endPause ends a pause: by a further call, or by the end of the program.
func (p *pool) endPause(now time.Time, known *program, returned bool) {
	team := p.teamPauses(known.team)
	switch {
	case known.pause == nil && !known.presumed:
		return
	case returned:
		team.estimate.ObserveReturn(now.Sub(known.idleSince), known.presumed)
	case !known.presumed && now.Sub(known.idleSince) > closeGrace:
		team.estimate.ObserveAbandoned()
	}
	if known.pause != nil {
		team.open.Remove(known.pause)
	}
	known.pause, known.presumed = nil, false
}

// presumeLost ends the pauses that are so long that few programs return.
func (p *pool) presumeLost(now time.Time) {
	for _, team := range p.pauses {
		limit := team.estimate.AbandonTimeout()
		for front := team.open.Front(); front != nil; front = team.open.Front() {
			known := front.Value.(*program)
			if now.Sub(known.idleSince) < limit {
				break
			}
			team.open.Remove(front)
			known.pause, known.presumed = nil, true
			team.estimate.ObserveAbandoned()
		}
	}
}

func (p *pool) program(now time.Time, id structs.ProgramID, team structs.Team) *program {
	known := p.programs[id]
	if known == nil {
		known = &program{}
		p.programs[id] = known
	}
	if team != "" {
		known.team = team
	}
	if known.idleSince.IsZero() {
		known.idleSince = now
	}
	return known
}

// takeHints records where an unknown program's prefix was held last, as its
// owner knows it. Of a known program the own record knows better.
func (p *pool) takeHints(now time.Time, m *structs.PermitRequest) {
	if p.programs[m.Ref.Program] != nil || p.service.Kind != structs.ServiceEngine {
		return
	}
	known := p.program(now, m.Ref.Program, m.Team)
	for _, hint := range m.Hints {
		t := p.target(hint.Target)
		own := hint.Tokens - m.SharedTokens
		if t == nil || own <= 0 {
			continue
		}
		entry := t.cache.use(now, string(m.Ref.Program))
		entry.team = m.Team
		t.cache.set(entry, max(entry.tokens, own))
		known.targets = append(known.targets, t)
	}
}

// programReturned ends a pause by a further call.
func (p *pool) programReturned(now time.Time, c *call) {
	known := p.programs[c.program()]
	p.endPause(now, known, true)
	known.waiting++
}

// use marks the cache entries that a run uses.
func (p *pool) use(now time.Time, c *call) {
	m, t := c.request, c.target
	known := p.programs[c.program()]
	known.running++
	if p.service.Kind != structs.ServiceEngine {
		return
	}
	if !slices.Contains(known.targets, t) {
		known.targets = append(known.targets, t)
	}
	entry := t.cache.use(now, string(c.program()))
	entry.team = m.Team
	entry.running++
	if m.SharedKey != "" {
		shared := t.cache.use(now, m.SharedKey)
		shared.shared = true
		shared.running++
		t.cache.set(shared, max(shared.tokens, m.SharedTokens))
	}
	p.releases = slices.DeleteFunc(p.releases, func(r *release) bool {
		return r.target == t && r.program == c.program() && !r.gone
	})
}

// unuse ends the use of the cache entries of a run.
func (p *pool) unuse(c *call) {
	m, t := c.request, c.target
	p.programs[c.program()].running--
	for _, key := range []string{string(c.program()), m.SharedKey} {
		if entry := t.cache.find(key); entry != nil && entry.running > 0 {
			entry.running--
		}
	}
}

// keep books what the target holds after a run, and releases copies of the
// program at other targets.
func (p *pool) keep(now time.Time, c *call, t *target, m *structs.PermitFinish) {
	known := p.programs[c.program()]
	known.idleSince = now
	if p.service.Kind != structs.ServiceEngine {
		return
	}
	if held := m.CacheTokens - c.request.SharedTokens; held > 0 {
		entry := t.cache.use(now, string(c.program()))
		t.cache.set(entry, held)
	}
	if known.gone {
		p.releaseProgram(now, c.program(), known)
		return
	}
	p.startPause(now, known)
	if p.service.Rules.Retention == policy.RetainWorth {
		p.releaseCopies(now, c.program(), known, t)
	}
}

// releaseCopies releases a program's cache at targets other than its last one
// where nothing of it runs.
func (p *pool) releaseCopies(now time.Time, id structs.ProgramID, known *program, last *target) {
	held := last.cache.tokens(string(id))
	for _, t := range slices.Clone(known.targets) {
		entry := t.cache.find(string(id))
		if t != last && (entry == nil || entry.running == 0 && entry.tokens <= held) {
			p.release(now, id, known, t, false)
		}
	}
}

// programGone releases all cache of a program that ended.
func (p *pool) programGone(now time.Time, id structs.ProgramID) {
	known := p.programs[id]
	if known == nil {
		return
	}
	p.endPause(now, known, false)
	known.gone = true
	p.releaseProgram(now, id, known)
}

func (p *pool) releaseProgram(now time.Time, id structs.ProgramID, known *program) {
	if !p.service.Rules.ReleaseGone {
		return
	}
	for _, t := range slices.Clone(known.targets) {
		p.release(now, id, known, t, true)
	}
}

// release owes a target the release of a program's cache.
func (p *pool) release(now time.Time, id structs.ProgramID, known *program, t *target, gone bool) {
	known.targets = slices.DeleteFunc(known.targets, func(other *target) bool { return other == t })
	t.cache.drop(now, string(id))
	for _, r := range p.releases {
		if r.target == t && r.program == id {
			r.gone = r.gone || gone
			return
		}
	}
	p.releases = append(p.releases, &release{target: t, program: id, gone: gone, next: now, wait: releaseRetry})
	p.checkAt = now
}

// released ends an owed release once the target confirms it.
func (p *pool) released(_ time.Time, t *target, e structs.CacheReleased) {
	if !e.Done {
		return
	}
	p.releases = slices.DeleteFunc(p.releases, func(r *release) bool {
		return r.target == t && r.program == e.Program
	})
}

// cacheReported corrects the record of a target's cache.
func (p *pool) cacheReported(now time.Time, t *target, e structs.TargetCache) {
	for _, event := range e.Events {
		t.cache.apply(now, event, func(entry *cacheEntry) { p.describe(now, t, entry) })
	}
}

// describe fills in what is known of an entry that a cache event made.
func (p *pool) describe(now time.Time, t *target, entry *cacheEntry) {
	if _, entry.shared = p.sharedKeys[entry.key]; entry.shared {
		return
	}
	known := p.program(now, structs.ProgramID(entry.key), "")
	entry.team = known.team
	if !slices.Contains(known.targets, t) {
		known.targets = append(known.targets, t)
	}
}

// check does what is due from time to time: it ends ejections, lets go of
// cache that is not worth its memory, and sends owed releases.
func (d *Dispatcher) check(now time.Time, p *pool) {
	if p.checkAt.After(now) {
		return
	}
	p.presumeLost(now)
	for _, t := range p.targets {
		t.health.Advance(now)
		t.cache.prune(now)
		p.letGo(now, t)
	}
	p.releases = slices.DeleteFunc(p.releases, func(r *release) bool { return r.target.gone })
	for _, r := range p.releases {
		if r.next.After(now) {
			continue
		}
		d.emit(structs.ReleaseCache{Target: r.target.info, Program: r.program})
		r.next = now.Add(r.wait)
		r.wait = min(releaseRetryMax, 2*r.wait)
	}
	if !p.sweepAt.After(now) {
		d.refuseHopeless(now, p)
		p.forgetPrograms(now)
		p.sweepAt = now.Add(sweepInterval)
	}
	p.checkAt = time.Time{}
	if p.busy() || p.holdsCache() {
		p.checkAt = now.Add(checkInterval)
	}
}

func (p *pool) holdsCache() bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool {
		return len(t.cache.entries) > 0 || t.health.State == policy.Ejected
	})
}

// letGo releases the cache of paused programs that is not worth its memory.
func (p *pool) letGo(now time.Time, t *target) {
	rules := p.service.Rules
	if rules.Retention == policy.RetainAll {
		return
	}
	fill := t.cache.fill()
	for element := t.cache.recent.Back(); element != nil; {
		entry := element.Value.(*cacheEntry)
		element = element.Prev()
		id := structs.ProgramID(entry.key)
		known := p.programs[id]
		if entry.tokens == 0 || entry.shared || entry.running > 0 || known == nil || known.waiting+known.running > 0 {
			continue
		}
		if !policy.Retain(rules, p.returnChance(now, entry), fill) {
			p.release(now, id, known, t, false)
		}
	}
}

// returnChance is the chance that a cached prefix is used again.
func (p *pool) returnChance(now time.Time, entry *cacheEntry) float64 {
	if entry.shared {
		return 1
	}
	return p.teamPauses(entry.team).estimate.ReturnProbability(now.Sub(entry.touched))
}

// evictionCost is the replacement cost of storing so many tokens more.
func (p *pool) evictionCost(now time.Time, t *target, need int64) time.Duration {
	victims, need := t.cache.victims(need, func(entry *cacheEntry) float64 { return p.returnChance(now, entry) })
	return policy.EvictionCost(victims, need, p.estimates.PrefillPerToken)
}

// forgetPrograms drops programs without calls and cache.
func (p *pool) forgetPrograms(now time.Time) {
	for id, known := range p.programs {
		if known.waiting+known.running > 0 {
			continue
		}
		if known.gone || now.Sub(known.idleSince) > programIdle && !known.cached(id) {
			p.endPause(now, known, false)
			delete(p.programs, id)
		}
	}
}

// cached tells whether any target is known to hold cache of the program.
func (k *program) cached(id structs.ProgramID) bool {
	return slices.ContainsFunc(k.targets, func(t *target) bool { return t.cache.tokens(string(id)) > 0 })
}
