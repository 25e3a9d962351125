package dispatch

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// maxDumpCalls limits the waiting calls listed per pool.
const maxDumpCalls = 1000

// PoolDump is the state of one pool as shown to operators.
type PoolDump struct {
	Service structs.ServiceName
	Region  structs.Region
	Rules   structs.Rules
	Waiting int
	// GrantInterval is the moving average of the time between grants while
	// calls wait.
	GrantInterval string
	CallTime      string
	OwedReleases  int
	Targets       []TargetDump
	Calls         []CallDump
}

// TargetDump is the state of one target as shown to operators.
type TargetDump struct {
	ID            structs.TargetID
	Running       int
	Foreign       int
	Leaving       bool
	Gone          bool
	Health        string
	Slowness      float64
	Prefill       string
	CacheTokens   int64
	CacheCapacity int64
	CacheEntries  int
}

// CallDump describes a waiting call and why it has no permit yet.
type CallDump struct {
	Run      structs.RunID
	Program  structs.ProgramID
	Owner    structs.InstanceID
	Team     structs.Team
	Class    int
	Place    int
	Waited   string
	Why      string
	StartsIn string
}

// Dump returns the state of all pools as of the last tick.
func (d *Dispatcher) Dump() any {
	dump := make([]PoolDump, 0, len(d.pools))
	for _, p := range d.pools {
		dump = append(dump, d.dumpPool(p))
	}
	return dump
}

func (d *Dispatcher) dumpPool(p *pool) PoolDump {
	dump := PoolDump{
		Service: p.id.Service, Region: p.id.Region, Rules: p.service.Rules,
		Waiting: p.queue.size, GrantInterval: p.grantInterval.String(),
		CallTime: p.estimates.CallTime.String(), OwedReleases: len(p.pendingReleases),
	}
	for _, t := range p.targets {
		dump.Targets = append(dump.Targets, TargetDump{
			ID: t.info.ID, Running: len(t.running), Foreign: t.foreign,
			Leaving: t.info.Leaving, Gone: t.unlisted,
			Health: string(t.health.State), Slowness: t.health.Slowness,
			Prefill:     t.backlog(d.now).String(),
			CacheTokens: t.cache.used, CacheCapacity: t.cache.capacity,
			CacheEntries: len(t.cache.entries),
		})
	}
	for place, c := range p.queue.top(maxDumpCalls, func(*teamQueue) bool { return false }) {
		dump.Calls = append(dump.Calls, d.dumpCall(p, c, place))
	}
	return dump
}

func (d *Dispatcher) dumpCall(p *pool, c *call, place int) CallDump {
	return CallDump{
		Run: c.run(), Program: c.program(), Owner: c.owner, Team: c.request.Team,
		Class: c.class, Place: place + 1, Waited: d.now.Sub(c.arrived).Round(time.Millisecond).String(),
		Why: p.waitReason(d.now, c), StartsIn: d.expectedWait(d.now, c).Round(time.Millisecond).String(),
	}
}

// waitReason describes why a call has no permit yet.
func (p *pool) waitReason(now time.Time, c *call) string {
	switch {
	case c.ownerDown:
		return "its owner does not answer"
	case !p.hasServingTarget():
		return "no target"
	case !p.hasOpenTarget(now):
		return "no target has a free slot and little prefill queued"
	case p.shares.ExceedsBurst(p.service.Rules, c.request.Team, p.shares.Floor(p.queue.backloggedTeams(c.class))):
		return "its team is ahead of its share"
	case p.queue.countAhead(c) >= maxCandidates:
		return "others go first"
	}
	return "waits for the target that holds its prefix"
}
