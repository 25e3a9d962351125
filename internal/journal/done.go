package journal

import "github.com/banyanglade/banyanglade/internal/structs"

// applyDone records an outcome. Of two outcomes of one key, an answer supersedes
// "unknown", then the newer epoch supersedes the older one. The result does not
// depend on the order in which an owner and a reader of the log apply them.
func (s *State) applyDone(h Header, b *Done) {
	p := s.program(h, b.CallID)
	p.Services[b.Service] = true
	// The cost is charged to the epoch whose owner started the run.
	epoch := h.Epoch
	if run := p.Open[b.Run]; run != nil {
		epoch = run.Epoch
	}
	delete(p.Open, b.Run)
	p.dropRepeatableRuns(b.Key)
	old := p.Calls[b.Key]
	if old != nil && old.Run == b.Run {
		s.resolveUnknown(p, old, h, b)
		return
	}
	s.charge(p, epoch, b, b.Cost)
	if old != nil && !supersedes(h, b, old) {
		return
	}
	if old == nil {
		p.advance(b)
	}
	s.recordCall(p, h, b, epoch)
}

// resolveUnknown replaces the unknown outcome of a run by an answer that became
// known later.
func (s *State) resolveUnknown(p *Program, old *Call, h Header, b *Done) {
	if old.Outcome.Kind != structs.OutcomeUnknown || b.Outcome.Kind != structs.OutcomeAnswered {
		return
	}
	s.charge(p, old.Charged, b, b.Cost.Sub(old.Cost))
	s.recordCall(p, h, b, old.Charged)
}

// charge adds the cost of a run to the accounting and updates the placement of
// its target.
func (s *State) charge(p *Program, epoch structs.Epoch, b *Done, cost Amount) {
	p.Spent = p.Spent.Add(cost)
	p.ServedNS += b.TookNS
	if b.CacheTokens > 0 {
		p.place(b.Target, b.Service, b.CacheTokens, p.UpdatedMS)
	}
	s.chargeAccounts(p.Team, epoch, cost)
	if !b.Chunk {
		p.Direct = p.Direct.Add(cost)
		return
	}
	c := p.chunkOf(epoch)
	c.Used = c.Used.Add(cost)
}

func (s *State) recordCall(p *Program, h Header, b *Done, charged structs.Epoch) {
	if old := p.Calls[b.Key]; old != nil {
		s.Bytes -= outcomeSize(&old.Outcome)
	}
	s.Bytes += outcomeSize(&b.Outcome)
	p.Calls[b.Key] = newCall(h, b, charged)
}

func newCall(h Header, b *Done, charged structs.Epoch) *Call {
	return &Call{
		Run: b.Run, Epoch: h.Epoch, Charged: charged, TimeMS: h.TimeMS, Lane: b.Lane, Number: b.Number, Digest: b.Digest,
		NotRepeatable: b.NotRepeatable, Cost: b.Cost, Outcome: b.Outcome,
	}
}

func supersedes(h Header, b *Done, old *Call) bool {
	oldKnown := old.Outcome.Kind == structs.OutcomeAnswered
	newKnown := b.Outcome.Kind == structs.OutcomeAnswered
	if oldKnown != newKnown {
		return newKnown
	}
	return h.Epoch > old.Epoch
}

// advance moves the lane past a call that completed for the first time.
func (p *Program) advance(b *Done) {
	p.Turns++
	l := p.Lane(b.Lane)
	l.recordSkipped(b.Number)
	l.Last = max(l.Last, b.Number)
	// An out-of-order record of an earlier call must not revert the history.
	if b.HistoryCount > 0 && (b.Number == 0 || b.Number >= l.Last) {
		l.HistoryCount, l.HistoryDigest = b.HistoryCount, b.HistoryDigest
	}
	if l.RepeatDigest == b.Digest {
		l.RepeatCount++
		return
	}
	l.RepeatDigest, l.RepeatCount = b.Digest, 1
}

// dropRepeatableRuns removes the open repeatable runs of a completed call.
func (p *Program) dropRepeatableRuns(key string) {
	for id, run := range p.Open {
		if run.Key == key && !run.NotRepeatable {
			delete(p.Open, id)
		}
	}
}
