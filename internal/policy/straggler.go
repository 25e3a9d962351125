package policy

// The load pattern: a few answers of a kind of request that may run twice are
// lost or come from a target in trouble, and whoever waits for them is late. A
// second send helps these, and in an overload it harms all.

import "time"

const (
	// rarely is the part of answers that come later than Rare.
	rarely = 0.01
	// rareStep is how far one answer moves Rare, in parts of it.
	rareStep = 0.2
	// rareKnown is the number of answers after which Rare is relied on.
	rareKnown = 50
	// rareMargin times Rare is waited, since work itself is uneven.
	rareMargin = 1.25
	// againShare is how many second sends there may be in parts of all requests,
	// againMost how many are saved up.
	againShare = 0.015
	againMost  = 2
	// againFill is how busy a service may be, in parts of its slots, for second
	// sends.
	againFill = 0.8
)

// Hedger follows the times of one kind of request.
type Hedger struct {
	// Rare is the time that few answers pass.
	Rare time.Duration
	seen int
	// saved is the number of second sends that are allowed now.
	saved float64
}

// Add takes the time of an answer in.
func (s *Hedger) Add(took time.Duration) {
	s.seen++
	s.saved = min(s.saved+againShare, againMost)
	if s.Rare == 0 {
		s.Rare = took
		return
	}
	step := float64(s.Rare) * rareStep
	if took > s.Rare {
		s.Rare += time.Duration(step * (1 - rarely))
		return
	}
	s.Rare -= time.Duration(step * rarely)
}

// HedgeDelay is how long a first send may take where a second one is allowed, in a
// service of a fill; false if there is to be none for now.
func (s *Hedger) HedgeDelay(fill float64) (time.Duration, bool) {
	if s.seen < rareKnown || s.saved < 1 || fill >= againFill {
		return 0, false
	}
	return time.Duration(rareMargin * float64(s.Rare)), true
}

// RecordHedge counts a second send, after a first one that passed Rare.
func (s *Hedger) RecordHedge() {
	s.saved--
	s.Add(s.Rare + 1)
}
