package owner

import (
	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// chunkDivisor limits a reservation beyond what the call needs, as a fraction of
// the program's budget. If the owner crashes, the unspent part of a chunk is
// lost.
const chunkDivisor = 16

// aheadDivisor limits a reservation made ahead of a call, as a fraction of the
// available budget.
const aheadDivisor = 4

// worstCase returns the maximum cost of one run of the call.
func (c *call) worstCase() journal.Amount {
	a := journal.Amount{Fees: c.spec.Fee}
	if c.spec.Kind == structs.CallChat {
		a.Tokens = c.spec.PromptTokens + c.spec.MaxTokens
	}
	return a
}

// budgetLimit returns the program's budget. 0 means unlimited.
func (p *program) budgetLimit() journal.Amount {
	policy := p.policy()
	return journal.Amount{Tokens: policy.ProgramTokens, Fees: policy.ProgramFees}
}

// available returns what may still be reserved or held: the budget less all
// amounts committed in the log or pending.
func (p *program) available() journal.Amount {
	limit := p.budgetLimit()
	left := limit.Sub(p.pending)
	if row := p.row(); row != nil {
		left = left.Sub(row.Committed())
	}
	if limit.Tokens == 0 {
		left.Tokens = unlimited
	}
	if limit.Fees == 0 {
		left.Fees = unlimited
	}
	return left
}

const unlimited = 1 << 60

// chunkFree returns the part of this epoch's chunk that no call holds.
func (p *program) chunkFree() journal.Amount {
	var free journal.Amount
	if row := p.row(); row != nil {
		if chunk := row.Chunks[p.shard.epoch]; chunk != nil && !chunk.Settled {
			free = chunk.Reserved.Sub(chunk.Used).Sub(p.held)
		}
	}
	limit := p.budgetLimit()
	if limit.Tokens == 0 {
		free.Tokens = unlimited
	}
	if limit.Fees == 0 {
		free.Fees = unlimited
	}
	return free
}

// reserveCost makes the call's cost durable: in its Intent for a not-repeatable
// call, by a reservation otherwise.
func (c *call) reserveCost() {
	if c.notRepeatable {
		c.writeIntent()
		return
	}
	c.reserveFromChunk()
}

// reserveFromChunk holds a repeatable call's worst case from the chunk. If the
// chunk is too small, the call waits for a further reservation.
func (c *call) reserveFromChunk() {
	if !c.holdTeamBudgets() {
		return
	}
	p := c.prog
	need := c.worstCase()
	limit := p.budgetLimit()
	if limit.IsZero() {
		c.awaitPermit()
		return
	}
	free := p.chunkFree()
	if need.LessOrEqual(free) {
		c.hold, c.heldFromChunk = c.hold.Add(need), true
		p.held = p.held.Add(need)
		c.awaitPermit()
		return
	}
	c.phase = phaseReserve
	missing := need.Sub(free).Max(journal.Amount{})
	if !missing.LessOrEqual(p.available()) {
		c.refuseBudget()
		return
	}
	if c.shard.logDown() {
		c.refuse(structs.ReasonLogUnavailable, logRetryAfter)
		return
	}
	if !p.reserving {
		p.appendReserve(missing)
	}
}

// refuseBudget refuses a call because the budget is exhausted. It sets RetryAfter
// only if other calls hold budget that may be released.
func (c *call) refuseBudget() {
	if !c.prog.held.IsZero() || !c.prog.pending.IsZero() {
		c.refuseVerified(structs.ReasonBudget, busyRetryAfter, nil)
		return
	}
	c.refuseVerified(structs.ReasonBudget, 0, nil)
}

func (p *program) appendReserve(missing journal.Amount) {
	amount := p.chunkSize(missing)
	p.pending = p.pending.Add(amount)
	p.reserving = true
	// The program of a single call is opened by its first record.
	if p.row() == nil {
		p.shard.app.push(&journal.Open{Program: p.id, Team: p.team, Single: true}, urgent, nil)
	}
	p.shard.app.push(&journal.Reserve{Program: p.id, Amount: amount}, urgent, func() {
		p.pending = p.pending.Sub(amount)
		p.reserving = false
		p.onReserved()
	})
}

// chunkSize rounds a reservation up, so that following calls need none.
func (p *program) chunkSize(missing journal.Amount) journal.Amount {
	limit, left := p.budgetLimit(), p.available()
	amount := missing
	if missing.Tokens > 0 {
		share := min(p.policy().ChunkTokens, limit.Tokens/chunkDivisor)
		amount.Tokens = min(max(missing.Tokens, share), left.Tokens)
	}
	return amount
}

// onReserved resumes the calls that waited for a reservation.
func (p *program) onReserved() {
	for _, c := range p.sortedCalls() {
		if c.phase == phaseReserve {
			c.reserveCost()
		}
	}
}

// chargeFailedRun charges the worst case of a failed run. A further run needs its
// own hold.
func (c *call) chargeFailedRun() {
	c.failedCost = c.failedCost.Add(c.worstCase())
	c.failedRuns++
}

// reserveAhead reserves the expected cost of the next call, so that it does not
// wait for the log. It does so only while much of the budget is available.
func (p *program) reserveAhead(need journal.Amount) {
	s := p.shard
	if !s.owned() || s.logDown() || s.o.draining || p.reserving || p.budgetLimit().IsZero() || p.closing {
		return
	}
	row := p.row()
	if row == nil || row.Single || row.Closed {
		return
	}
	missing := need.Sub(p.chunkFree()).Max(journal.Amount{})
	left := p.available()
	maxAhead := journal.Amount{Tokens: left.Tokens / aheadDivisor, Fees: left.Fees / aheadDivisor}
	if !missing.IsZero() && missing.LessOrEqual(maxAhead) {
		p.appendReserve(missing)
	}
}

// releaseHold releases the amounts that the call holds.
func (c *call) releaseHold() {
	if c.heldFromChunk {
		c.prog.held = c.prog.held.Sub(c.hold)
	}
	c.hold, c.heldFromChunk = journal.Amount{}, false
	c.releaseTeamBudgets()
}

// settleChunks records that this instance spends no more from its chunks. It
// reports whether it wrote a record.
func (s *shard) settleChunks() bool {
	// The cost of a call in flight is not recorded yet.
	if s.calls > 0 {
		return false
	}
	wrote := false
	for _, id := range journal.SortedKeys(s.state.Programs) {
		chunk := s.state.Programs[id].Chunks[s.epoch]
		if chunk == nil || chunk.Settled {
			continue
		}
		s.app.push(&journal.Settled{Program: id}, lazy, nil)
		wrote = true
	}
	s.returnGrants()
	return wrote
}
