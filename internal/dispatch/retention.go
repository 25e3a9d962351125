package dispatch

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// checkInterval is how often retention, releases and health are checked.
	checkInterval = 100 * time.Millisecond
	// releaseRetry is the first wait before a release is sent again; it
	// doubles up to releaseRetryMax.
	releaseRetry    = 200 * time.Millisecond
	releaseRetryMax = 30 * time.Second
	// programIdle is how long a program without calls and cache is known.
	programIdle = 10 * time.Minute
)

// program is what a pool knows of a program with calls or cache there.
type program struct {
	team structs.Team
	// waited is the time that its calls have waited in the queue.
	waited           time.Duration
	waiting, running int
	// idleSince is the end of its last run, zero before.
	idleSince time.Time
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

// pauseBook keeps the pause lengths by team, and of all teams together for
// those without enough samples.
type pauseBook struct {
	teams map[structs.Team]*policy.Pauses
}

func newPauseBook() pauseBook {
	return pauseBook{teams: make(map[structs.Team]*policy.Pauses)}
}

func (b *pauseBook) team(team structs.Team) *policy.Pauses {
	known := b.teams[team]
	if known == nil {
		known = policy.NewPauses()
		b.teams[team] = known
	}
	return known
}

func (p *pool) program(now time.Time, id structs.ProgramID, team structs.Team) *program {
	known := p.programs[id]
	if known == nil {
		known = &program{team: team}
		p.programs[id] = known
	}
	if known.idleSince.IsZero() {
		known.idleSince = now
	}
	return known
}

// programReturned ends a pause by a further call.
func (p *pool) programReturned(now time.Time, c *call) {
	known := p.programs[c.program()]
	if known.waiting+known.running == 0 && len(known.targets) > 0 {
		p.pauses.team(known.team).Returned(now.Sub(known.idleSince))
	}
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
	if known.waiting+known.running == 0 && len(known.targets) > 0 && !known.gone {
		p.pauses.team(known.team).Lost(now.Sub(known.idleSince))
	}
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
	t.cache.drop(string(id))
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
		_, shared := p.sharedKeys[event.Program]
		t.cache.apply(now, event, shared)
	}
}

// check does what is due from time to time: it ends ejections, lets go of
// cache that is not worth its memory, and sends owed releases.
func (d *Dispatcher) check(now time.Time, p *pool) {
	if p.checkAt.After(now) {
		return
	}
	for _, t := range p.targets {
		t.health.Advance(now)
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
	p.forgetPrograms(now)
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
		if entry.shared || entry.running > 0 || known == nil || known.waiting+known.running > 0 {
			continue
		}
		if !policy.Retain(rules, policy.Hold{ReturnChance: p.returnChance(now, entry), Fill: fill}) {
			p.release(now, id, known, t, false)
		}
	}
}

// returnChance is the chance that a cached prefix is used again.
func (p *pool) returnChance(now time.Time, entry *cacheEntry) float64 {
	if entry.shared {
		return 1
	}
	return p.pauses.team(entry.team).ReturnChance(now.Sub(entry.touched))
}

// evictionCost is the replacement cost of storing so many tokens more.
func (p *pool) evictionCost(now time.Time, t *target, need int64) time.Duration {
	victims, need := t.cache.victims(need, func(entry *cacheEntry) float64 { return p.returnChance(now, entry) })
	return policy.EvictionCost(victims, need, p.estimates.PrefillPerToken)
}

// forgetPrograms drops programs without calls and cache.
func (p *pool) forgetPrograms(now time.Time) {
	for id, known := range p.programs {
		idle := known.waiting+known.running == 0
		if idle && (known.gone || len(known.targets) == 0 && now.Sub(known.idleSince) > programIdle) {
			delete(p.programs, id)
		}
	}
}
