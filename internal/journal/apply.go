package journal

import (
	"slices"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// ApplyResult is the result of applying a record read from the log.
type ApplyResult uint8

// Results of Apply.
const (
	// Applied means that the record took effect, now or earlier through
	// ApplyAhead.
	Applied ApplyResult = iota + 1
	// Duplicate means that the record was read before.
	Duplicate
	// Rejected means that the record is fenced and its writer does not own the
	// shard.
	Rejected
)

// Apply applies the record read at an offset. Offsets must ascend.
func (s *State) Apply(offset uint64, r Record) ApplyResult {
	s.Next = offset + 1
	s.TimeMS = max(s.TimeMS, r.TimeMS)
	w := s.writer(r.Writer)
	if r.Sequence <= w.High {
		return Duplicate
	}
	w.High = r.Sequence
	w.TimeMS = r.TimeMS
	if i := slices.Index(w.Ahead, r.Sequence); i >= 0 {
		w.Ahead = slices.Delete(w.Ahead, i, i+1)
		return Applied
	}
	if !s.passesFencing(r) {
		return Rejected
	}
	s.applyBody(r)
	return Applied
}

// ApplyAhead applies an unfenced record of the owner before it is read back from
// the log. Reading it back has no further effect.
func (s *State) ApplyAhead(r Record) {
	w := s.writer(r.Writer)
	w.Ahead = append(w.Ahead, r.Sequence)
	s.applyBody(r)
}

func (s *State) writer(id string) *Writer {
	w := s.Writers[id]
	if w == nil {
		w = new(Writer)
		s.Writers[id] = w
	}
	return w
}

// passesFencing enforces the fencing invariant: a claim must name the next epoch,
// and any other fenced record must come from the winner of the newest epoch.
func (s *State) passesFencing(r Record) bool {
	kind := r.Body.Kind()
	switch {
	case !kind.Fenced():
		return true
	case kind == KindClaim:
		return r.Epoch == s.Epoch+1
	default:
		return r.Epoch == s.Epoch && r.Writer == s.Writer
	}
}

func (s *State) applyBody(r Record) {
	switch b := r.Body.(type) {
	case *Claim:
		s.Epoch, s.Writer, s.Owner = r.Epoch, r.Writer, b.Instance
	case *Open:
		s.program(r.Header, CallID{Program: b.Program, Team: b.Team, Single: b.Single})
	case *Reserve:
		s.applyReserve(r.Header, b)
	case *Intent:
		s.applyIntent(r.Header, b)
	case *Started:
		s.applyStarted(r.Header, b)
	case *Done:
		s.applyDone(r.Header, b)
	case *Abandoned:
		s.applyAbandoned(b)
	case *Settled:
		s.applySettled(r.Header, b)
	case *Closed:
		s.applyClosed(r.Header, b)
	case *Released:
		s.applyReleased(b)
	case *LedgerGrant:
		s.applyLedgerGrant(r.Header, b)
	case *LedgerReturn:
		s.applyLedgerReturn(b)
	case *Credit:
		s.applyCredit(r.Header, b)
	case *Snapshot:
		s.applySnapshot(b)
	}
}

// applySnapshot records the offset of the newest snapshot once its last part is
// read.
func (s *State) applySnapshot(b *Snapshot) {
	if b.Part == b.Parts-1 {
		s.Snapshot = b.Next + 1
	}
}

// program returns the state of a program and creates it if missing.
func (s *State) program(h Header, id CallID) *Program {
	p := s.Programs[id.Program]
	if p != nil {
		p.UpdatedMS = max(p.UpdatedMS, h.TimeMS)
		return p
	}
	p = &Program{
		ID: id.Program, Team: id.Team, Single: id.Single, Epoch: h.Epoch, CreatedMS: h.TimeMS, UpdatedMS: h.TimeMS,
		Lanes: make(map[structs.Lane]*Lane), Calls: make(map[string]*Call),
		Open: make(map[structs.RunID]*OpenRun), Chunks: make(map[structs.Epoch]*Chunk),
		Placements: make(map[structs.TargetID]*Placement),
		Services:   make(map[structs.ServiceName]bool),
	}
	s.Programs[id.Program] = p
	return p
}

func (p *Program) chunkOf(epoch structs.Epoch) *Chunk {
	c := p.Chunks[epoch]
	if c == nil {
		c = new(Chunk)
		p.Chunks[epoch] = c
	}
	return c
}

func (s *State) applyReserve(h Header, b *Reserve) {
	p := s.Programs[b.Program]
	if p == nil {
		return
	}
	c := p.chunkOf(h.Epoch)
	c.Reserved = c.Reserved.Add(b.Amount)
	c.Writer = h.Writer
}

func (s *State) applyIntent(h Header, b *Intent) {
	p := s.program(h, b.CallID)
	p.Services[b.Service] = true
	p.Open[b.Run] = &OpenRun{
		CallID: b.CallID, Epoch: h.Epoch, TimeMS: h.TimeMS, Service: b.Service, NotRepeatable: true, Hold: b.Hold,
		HistoryCount: b.HistoryCount, HistoryDigest: b.HistoryDigest,
	}
}

func (s *State) applyStarted(h Header, b *Started) {
	p := s.program(h, b.CallID)
	p.Services[b.Service] = true
	if b.Cache {
		p.place(b.Target, b.Service, 0, h.TimeMS)
	}
	if call := p.Calls[b.Key]; call != nil && call.Run == b.Run {
		return
	}
	run := p.Open[b.Run]
	if run == nil {
		run = &OpenRun{
			CallID: b.CallID, Epoch: h.Epoch, TimeMS: h.TimeMS, Service: b.Service, NotRepeatable: b.NotRepeatable,
		}
		p.Open[b.Run] = run
	}
	run.Target = b.Target
}

func (p *Program) place(target structs.TargetID, service structs.ServiceName, tokens, timeMS int64) {
	if target == "" {
		return
	}
	pl := p.Placements[target]
	if pl == nil {
		pl = new(Placement)
		p.Placements[target] = pl
	}
	pl.Service, pl.Tokens, pl.TimeMS = service, max(pl.Tokens, tokens), max(pl.TimeMS, timeMS)
}

func (s *State) applyAbandoned(b *Abandoned) {
	if p := s.Programs[b.Program]; p != nil {
		delete(p.Open, b.Run)
	}
}

func (s *State) applySettled(h Header, b *Settled) {
	p := s.Programs[b.Program]
	if p == nil {
		return
	}
	if c := p.Chunks[h.Epoch]; c != nil && c.Writer == h.Writer {
		c.Settled = true
	}
}

func (s *State) applyClosed(h Header, b *Closed) {
	p := s.Programs[b.Program]
	if p == nil || p.Closed {
		return
	}
	p.Closed, p.Reason = true, b.Reason
	p.UpdatedMS = max(p.UpdatedMS, h.TimeMS)
	for _, t := range b.Targets {
		p.place(t.Target, t.Service, 0, h.TimeMS)
	}
}

func (s *State) applyReleased(b *Released) {
	if p := s.Programs[b.Program]; p != nil {
		delete(p.Placements, b.Target)
	}
}
