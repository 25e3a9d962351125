package owner

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// targetRemovedTimeout is how long a target may be missing from the membership
// list, which may lag, before its cache is considered released.
const targetRemovedTimeout = 10 * time.Minute

// cacheTargets lists the targets that may hold cache of the program without a
// record: all of them, if a previous owner may have crashed before its records
// were in the log. A target without such cache confirms at once.
func (p *program) cacheTargets() []journal.CacheTarget {
	if !p.inherited() {
		return nil
	}
	var list []journal.CacheTarget
	for _, service := range p.shard.o.settings.Services() {
		if service.Kind != structs.ServiceEngine {
			continue
		}
		for _, t := range p.shard.o.members.Targets(service.Name) {
			list = append(list, journal.CacheTarget{Target: t.ID, Service: service.Name})
		}
	}
	return list
}

// startRelease requests the release of a closed program's cache from every target
// that may hold it, once no call of the program runs.
func (p *program) startRelease() {
	row := p.row()
	if row == nil || !row.Closed || len(p.calls) > 0 || len(row.Placements) == 0 || !p.shard.owned() {
		return
	}
	if p.releaseTimer != nil && p.releaseTimer.index >= 0 {
		return
	}
	p.releaseBackoff = minReleaseBackoff
	p.releaseAll()
}

// releaseAll repeats the requests until every target has confirmed.
func (p *program) releaseAll() {
	row := p.row()
	if row == nil || len(row.Placements) == 0 || !p.shard.owned() {
		return
	}
	o := p.shard.o
	for _, id := range journal.SortedKeys(row.Placements) {
		if target, ok := o.findTarget(row.Placements[id].Service, id); ok {
			o.emit(structs.ReleaseCache{Target: target, Program: p.id})
		} else if o.now.Sub(time.UnixMilli(row.UpdatedMS)) > targetRemovedTimeout {
			p.shard.app.push(&journal.Released{Program: p.id, Target: id}, lazy, nil)
		}
	}
	p.releaseTimer = o.after(p.releaseBackoff, p.releaseAll)
	p.releaseBackoff = min(2*p.releaseBackoff, maxReleaseBackoff)
}

func (o *Owner) onCacheReleased(e structs.CacheReleased) {
	region, _, err := e.Program.Parse()
	if err != nil || region != o.cfg.Self.Region || !e.Done {
		return
	}
	s := o.shards[structs.ShardOf(e.Program, o.cfg.Shards)]
	if s == nil || !s.owned() {
		return
	}
	row := s.row(e.Program)
	if row == nil || !row.Closed || row.Placements[e.Target] == nil {
		return
	}
	s.app.push(&journal.Released{Program: e.Program, Target: e.Target}, lazy, func() {
		if p := s.programs[e.Program]; p != nil && len(p.row().Placements) == 0 {
			o.timers.stop(p.releaseTimer)
		}
	})
}

// notifyDispatchers notifies the dispatchers of the program's pools that it ended.
func (p *program) notifyDispatchers() {
	row := p.row()
	if row == nil {
		return
	}
	for _, service := range journal.SortedKeys(row.Services) {
		pool := structs.PoolID{Service: service, Region: p.shard.o.cfg.Self.Region}
		if d, ok := p.shard.o.members.DispatcherOf(pool); ok {
			p.shard.o.send(d, &structs.ProgramEnded{Pool: pool, Program: p.id})
		}
	}
}

// hasPendingWork reports whether the shard needs an owner although no call waits.
func (s *shard) hasPendingWork() bool {
	for _, p := range s.state.Programs {
		if !p.Closed || len(p.Placements) > 0 || slices.ContainsFunc(p.OpenRuns(), isNotRepeatable) {
			return true
		}
	}
	return false
}

func isNotRepeatable(run *journal.OpenRun) bool { return run.NotRepeatable }
