package owner

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// DumpState is the state of an owner, for operators.
type DumpState struct {
	Writer   string
	Draining bool
	InFlight int
	Timers   int
	Shards   []DumpShard
	Pools    []DumpPool
}

// DumpShard is the state of one shard.
type DumpShard struct {
	Shard    structs.ShardID
	Tenure   string
	Epoch    structs.Epoch
	Owner    structs.InstanceID
	Next     uint64
	Snapshot uint64
	LogDown  bool
	Held     int
	Pending  int
	// Garbage counts records that could not be decoded, Void those without
	// effect.
	Garbage  int
	Void     int
	Programs []structs.ProgramInfo
	Calls    []DumpCall
}

// DumpCall is a live call and the phase it waits in.
type DumpCall struct {
	Program       structs.ProgramID
	Lane          structs.Lane
	Number        uint64
	Key           string
	Run           structs.RunID
	Waits         string
	Target        structs.TargetID
	NotRepeatable bool
	Sent          bool
	Attempt       int
	Gateways      []structs.InstanceID
	Age           time.Duration
}

// DumpPool is a pool from which permits are requested.
type DumpPool struct {
	Service    structs.ServiceName
	Dispatcher structs.InstanceID
	Calls      int
}

// Dump returns the whole state as a value for JSON.
func (o *Owner) Dump() any {
	d := DumpState{Writer: o.writer, Draining: o.draining, InFlight: o.InFlight(), Timers: len(o.timers.heap)}
	for _, s := range o.sortedShards() {
		if s.tenure != tenureNone {
			d.Shards = append(d.Shards, s.dump())
		}
	}
	for _, id := range o.sortedPools() {
		p := o.pools[id]
		d.Pools = append(d.Pools, DumpPool{Service: id.Service, Dispatcher: p.dispatcher, Calls: len(p.calls)})
	}
	return d
}

func (s *shard) dump() DumpShard {
	d := DumpShard{
		Shard: s.id, Tenure: string(s.tenure), Epoch: s.state.Epoch, Owner: s.state.Owner,
		Next: s.next, Snapshot: s.state.Snapshot, LogDown: s.logDown(), Held: len(s.held),
		Pending: len(s.app.queue) + len(s.app.inFlight), Garbage: s.undecodable, Void: s.void,
	}
	for _, p := range s.sortedPrograms() {
		d.Programs = append(d.Programs, p.info())
		for _, c := range p.sortedCalls() {
			d.Calls = append(d.Calls, c.dump())
		}
	}
	return d
}

func (c *call) dump() DumpCall {
	d := DumpCall{
		Program: c.spec.Program, Lane: c.spec.Lane, Number: c.spec.Number, Key: c.key, Run: c.run,
		Waits: string(c.phase), Target: c.target.ID, NotRepeatable: c.notRepeatable, Sent: c.sentRuns > 0,
		Attempt: c.attempt, Age: c.shard.o.now.Sub(c.arrived),
	}
	for _, w := range c.waiters {
		d.Gateways = append(d.Gateways, w.from)
	}
	return d
}

// Programs lists up to limit programs under a team path that this instance owns,
// in order of shard and id.
func (o *Owner) Programs(team structs.Team, limit int) []structs.ProgramInfo {
	var list []structs.ProgramInfo
	for _, s := range o.sortedShards() {
		if !s.owned() {
			continue
		}
		for _, id := range journal.SortedKeys(s.state.Programs) {
			row := s.state.Programs[id]
			if !team.Contains(row.Team) {
				continue
			}
			if len(list) >= limit {
				return list
			}
			list = append(list, s.liveProgram(id, row.Team).info())
		}
	}
	return list
}

// info describes the program for operators and callers.
func (p *program) info() structs.ProgramInfo {
	limit := p.budgetLimit()
	info := structs.ProgramInfo{
		ID: p.id, Team: p.team, Shard: p.shard.id, Owner: p.shard.o.cfg.Self.ID, State: structs.ProgramActive,
		TokenLimit: limit.Tokens, FeeLimit: limit.Fees, TokensHeld: p.held.Tokens, FeesHeld: p.held.Fees,
	}
	row := p.row()
	if row == nil {
		return info
	}
	info.Created, info.Updated = time.UnixMilli(row.CreatedMS), time.UnixMilli(row.UpdatedMS)
	info.Turns, info.Served = row.Turns, time.Duration(row.ServedNS)
	info.TokensSpent, info.FeesSpent = row.Spent.Tokens, row.Spent.Fees
	for _, run := range row.Open {
		info.TokensHeld += run.Hold.Tokens
		info.FeesHeld += run.Hold.Fees
	}
	info.Lanes = make(map[structs.Lane]uint64, len(row.Lanes))
	for name, l := range row.Lanes {
		info.Lanes[name] = l.Last
	}
	info.Targets = journal.SortedKeys(row.Placements)
	switch {
	case row.Closed:
		info.State, info.Reason = structs.ProgramClosed, string(row.Reason)
	case len(p.calls) == 0:
		info.State = structs.ProgramPaused
	}
	return info
}
