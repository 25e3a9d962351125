package journal

import "github.com/banyanglade/banyanglade/internal/structs"

// applyDone records an outcome. Which of two outcomes of one key stands does
// not depend on the order in which a live owner and a reader of the log meet
// them: an answer beats "unknown", then the newer epoch beats the older.
func (s *State) applyDone(h Header, b *Done) {
	p := s.program(h, b.CallID)
	p.Services[b.Service] = true
	// The cost comes from what the owner that began the run had reserved.
	epoch := h.Epoch
	if run := p.Open[b.Run]; run != nil {
		epoch = run.Epoch
	}
	delete(p.Open, b.Run)
	p.dropRuns(b.Key)
	old := p.Calls[b.Key]
	if old != nil && old.Run == b.Run {
		s.correct(p, old, h, b)
		return
	}
	s.charge(p, epoch, b, b.Cost)
	if old != nil && !supersedes(h, b, old) {
		return
	}
	if old == nil {
		p.advance(b)
	}
	s.record(p, h, b, epoch)
}

// correct replaces the unknown outcome of a run by what was learnt later.
func (s *State) correct(p *Program, old *Call, h Header, b *Done) {
	if old.Outcome.Kind != structs.OutcomeUnknown || b.Outcome.Kind != structs.OutcomeAnswered {
		return
	}
	s.charge(p, old.Charged, b, b.Cost.Sub(old.Cost))
	s.record(p, h, b, old.Charged)
}

// charge books the cost of a run and what its target holds since.
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
	c := p.chunk(epoch)
	c.Used = c.Used.Add(cost)
}

func (s *State) record(p *Program, h Header, b *Done, charged structs.Epoch) {
	if old := p.Calls[b.Key]; old != nil {
		s.Bytes -= size(&old.Outcome)
	}
	s.Bytes += size(&b.Outcome)
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

// advance moves the lane past a call that was done for the first time.
func (p *Program) advance(b *Done) {
	p.Turns++
	l := p.Lane(b.Lane)
	l.skip(b.Number)
	l.Last = max(l.Last, b.Number)
	// A late record of an earlier call must not set the history back.
	if b.HistoryCount > 0 && (b.Number == 0 || b.Number >= l.Last) {
		l.HistoryCount, l.HistoryDigest = b.HistoryCount, b.HistoryDigest
	}
	if l.RepeatDigest == b.Digest {
		l.RepeatCount++
		return
	}
	l.RepeatDigest, l.RepeatCount = b.Digest, 1
}

// dropRuns forgets the repeatable runs of a call that is done.
func (p *Program) dropRuns(key string) {
	for id, run := range p.Open {
		if run.Key == key && !run.NotRepeatable {
			delete(p.Open, id)
		}
	}
}
