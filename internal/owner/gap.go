package owner

import (
	"slices"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// gapRetryAfter is the RetryAfter delay of a refusal because of missing call
// numbers.
const gapRetryAfter = time.Second

// inherited reports whether a previous owner may have run calls of the program.
// Repeatable calls are recorded after their response, so such records may be
// missing.
func (p *program) inherited() bool {
	row := p.row()
	return row != nil && row.Epoch < p.shard.epoch
}

// historyCoversGap reports whether the call's history proves that the caller has
// the responses of the missing numbers. Each number adds at least a response and
// a message to the history that the lane's last call sent.
func (p *program) historyCoversGap(c *call, last uint64) bool {
	row := p.row()
	if row == nil || row.Lanes[c.spec.Lane] == nil || c.spec.Kind != structs.CallChat || c.spec.Fork {
		return false
	}
	l := row.Lanes[c.spec.Lane]
	if l.HistoryCount == 0 || forksHistory(l, c.spec) {
		return false
	}
	added := uint64(len(c.spec.History) - l.HistoryCount)
	return c.spec.Number-last <= added/2
}

// startGapTimer limits how long the lane waits for the missing numbers.
func (p *program) startGapTimer(l *lane) {
	o := p.shard.o
	if l.gapTimer != nil && l.gapTimer.index >= 0 {
		return
	}
	wait := p.policy().GapTimeout
	if p.maySkipGap(l) {
		wait = min(wait, o.cfg.RecoveryWait)
	}
	l.gapTimer = o.after(wait, func() { p.onGapTimeout(l) })
}

// maySkipGap reports whether the lane may skip missing numbers. It may skip those
// that were reported as unknown without a record. It may skip others once an
// epoch, because only the calls that a previous owner answered last can lack a
// record.
func (p *program) maySkipGap(l *lane) bool {
	if len(l.queue) > 0 && l.queue[0].spec.Number <= p.unknownNumbers[l.name]+1 {
		return true
	}
	return p.inherited() && p.gapSkips[l.name] == 0
}

// recordUnknown remembers the number of a call whose outcome is unknown and has
// no record.
func (p *program) recordUnknown(spec *structs.Call, out structs.Outcome) {
	if out.Kind != structs.OutcomeUnknown || spec.Number <= max(p.lastNumber(spec.Lane), p.unknownNumbers[spec.Lane]) {
		return
	}
	if p.unknownNumbers == nil {
		p.unknownNumbers = make(map[structs.Lane]uint64)
	}
	p.unknownNumbers[spec.Lane] = spec.Number
}

// hasAllRuns reports whether the shard's state includes every run of the
// program's calls. Repeatable calls are recorded after their response, so only
// the owner that wrote the program's first record has all of them.
func (p *program) hasAllRuns(notRepeatable bool) bool {
	if notRepeatable {
		return true
	}
	row := p.row()
	return row != nil && row.Epoch == p.shard.epoch
}

// onGapTimeout skips the missing numbers or refuses the calls behind them.
func (p *program) onGapTimeout(l *lane) {
	if !p.shard.owned() || l.current != nil || l.blocked > 0 || len(l.queue) == 0 {
		return
	}
	if p.maySkipGap(l) {
		if p.gapSkips == nil {
			p.gapSkips = make(map[structs.Lane]uint64)
		}
		p.gapSkips[l.name] = l.queue[0].spec.Number
		p.advance()
		return
	}
	p.shard.verifyOwnership(func(verified bool) {
		reason, after := structs.ReasonOrderGap, gapRetryAfter
		if !verified {
			reason, after = structs.ReasonLogUnavailable, logRetryAfter
		}
		p.refuseGap(l.name, reason, after)
	})
}

// refuseGap refuses the lane's calls behind the missing numbers.
func (p *program) refuseGap(name structs.Lane, reason structs.Reason, after time.Duration) {
	l := p.lanes[name]
	if l == nil || l.current != nil || l.blocked > 0 {
		return
	}
	for _, c := range slices.Clone(l.queue) {
		if c.spec.Number > p.lastNumber(name)+1 && c.phase == phaseQueued {
			c.refuse(reason, after)
		}
	}
	p.advance()
}

// wasSkipped reports whether the call's number was skipped, in which case the
// call may have run.
func (p *program) wasSkipped(spec *structs.Call) bool {
	if spec.Number == 0 {
		return false
	}
	last := p.lastNumber(spec.Lane)
	if l := p.lanes[spec.Lane]; l != nil && l.current != nil && spec.Number > last && spec.Number < l.current.spec.Number {
		return true
	}
	row := p.row()
	return row != nil && row.Lanes[spec.Lane] != nil && row.Lanes[spec.Lane].HasSkipped(spec.Number)
}

// completeFromRecord ends a call whose key was recorded while it waited, by a
// previous owner whose record was read late.
func (c *call) completeFromRecord() bool {
	row := c.prog.row()
	if row == nil || row.Calls[c.key] == nil || c.rerun {
		return false
	}
	record := row.Calls[c.key]
	if record.Digest != c.spec.Digest {
		c.refuse(structs.ReasonKeyReused, 0)
		return true
	}
	out := record.Outcome
	out.Replayed = true
	c.run = record.Run
	c.dropMismatchedWaiters()
	c.sendOutcome(out)
	c.end()
	return true
}
