package owner

import (
	"slices"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// lane is the live state of a lane: its queue and its current call.
type lane struct {
	name    structs.Lane
	queue   []*call
	current *call
	// blocked counts the previous owners' runs that may still be sent.
	blocked  int
	gapTimer *timer
}

func (p *program) laneOf(name structs.Lane) *lane {
	l := p.lanes[name]
	if l == nil {
		l = &lane{name: name}
		p.lanes[name] = l
	}
	return l
}

// insert queues a call. Numbered calls are queued by number, others behind them
// in order of arrival.
func (l *lane) insert(c *call) {
	c.lane = l
	at := len(l.queue)
	for at > 0 && c.spec.Number > 0 && l.queue[at-1].spec.Number > c.spec.Number {
		at--
	}
	l.queue = slices.Insert(l.queue, at, c)
}

func (l *lane) remove(c *call) {
	if l.current == c {
		l.current = nil
	}
	if i := slices.Index(l.queue, c); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
	}
}

// lastNumber returns the highest number of the lane's completed calls.
func (p *program) lastNumber(name structs.Lane) uint64 {
	row := p.row()
	if row == nil || row.Lanes[name] == nil {
		return 0
	}
	return row.Lanes[name].Last
}

// advance starts the next call of each free lane.
func (p *program) advance() {
	if !p.shard.owned() {
		return
	}
	for _, name := range journal.SortedKeys(p.lanes) {
		l := p.lanes[name]
		if l == nil {
			continue
		}
		p.advanceLane(l)
		if l.current == nil && len(l.queue) == 0 && l.blocked == 0 {
			p.shard.o.timers.stop(l.gapTimer)
			delete(p.lanes, name)
		}
	}
}

// advanceLane enforces the order of the lane: one call at a time, and a numbered
// call only directly after its predecessor.
func (p *program) advanceLane(l *lane) {
	for l.current == nil && l.blocked == 0 && len(l.queue) > 0 {
		c := l.queue[0]
		last := p.lastNumber(l.name)
		if c.completeFromRecord() {
			continue
		}
		if c.spec.Number > 0 && c.spec.Number <= last && !c.rerun {
			l.queue, l.current = l.queue[1:], c
			c.refuseVerified(structs.ReasonStaleNumber, 0, nil)
			continue
		}
		if c.spec.Number > last+1 && c.spec.Number > p.gapSkips[l.name] && !p.historyCoversGap(c, last) {
			p.startGapTimer(l)
			return
		}
		p.shard.o.timers.stop(l.gapTimer)
		l.queue = l.queue[1:]
		l.current = c
		c.start()
	}
}

// start checks the call against the lane's history and the policy. It then makes
// the call's cost durable before a permit is requested.
func (c *call) start() {
	p := c.prog
	if reason := p.policyViolation(c); reason != structs.ReasonNone {
		c.refuseVerified(reason, 0, func() {
			if reason != structs.ReasonHistoryFork {
				p.close(reason)
			}
		})
		return
	}
	if c.resumeOpenRun() {
		return
	}
	c.reserveCost()
}

// policyViolation checks the limits of turns and loops and the call's history.
func (p *program) policyViolation(c *call) structs.Reason {
	row := p.row()
	if row == nil {
		return structs.ReasonNone
	}
	policy := p.policy()
	if policy.ProgramTurns > 0 && row.Turns >= policy.ProgramTurns {
		return structs.ReasonTurns
	}
	l := row.Lanes[c.spec.Lane]
	if l == nil {
		return structs.ReasonNone
	}
	if policy.LoopRepeats > 0 && l.RepeatDigest == c.spec.Digest && l.RepeatCount+1 >= policy.LoopRepeats {
		return structs.ReasonLoop
	}
	if forksHistory(l, c.spec) {
		return structs.ReasonHistoryFork
	}
	return structs.ReasonNone
}

// forksHistory reports whether the call's messages diverge from the lane's known
// history.
func forksHistory(l *journal.Lane, spec *structs.Call) bool {
	if spec.Kind != structs.CallChat || spec.Fork || l.HistoryCount == 0 {
		return false
	}
	n := l.HistoryCount
	return len(spec.History) < n || spec.History[n-1] != l.HistoryDigest
}

// history returns the lane's history after the call.
func (c *call) history() (int, structs.ChainDigest) {
	n := len(c.spec.History)
	if n == 0 {
		return 0, structs.ChainDigest{}
	}
	return n, c.spec.History[n-1]
}
