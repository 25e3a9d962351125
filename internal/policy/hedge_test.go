package policy

import (
	"math/rand"
	"testing"
	"time"
)

// Few normal responses reach the hedge delay, hedges stay within their budget
// while half of the responses are late, and they stop under overload.
func TestHedgesStayWithinBudget(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	var s Hedger
	normalLatency := func() time.Duration { return time.Duration(20+random.Intn(60)) * time.Millisecond }
	if _, ok := s.HedgeDelay(0); ok {
		t.Error("hedged without samples")
	}
	late, enabled := 0, 0
	for range 4000 {
		took := normalLatency()
		if delay, ok := s.HedgeDelay(0.3); ok {
			enabled++
			if took > delay {
				late++
			}
		}
		s.Add(took)
	}
	if enabled == 0 || late*50 > enabled {
		t.Errorf("%d of %d normal responses exceeded the hedge delay", late, enabled)
	}
	if s.TailLatency > 160*time.Millisecond {
		t.Errorf("tail latency %s of responses that take at most 80 ms", s.TailLatency)
	}
	hedges := 0
	for range 1000 {
		if _, ok := s.HedgeDelay(0.3); ok && random.Intn(2) == 0 {
			s.RecordHedge()
			hedges++
			continue
		}
		s.Add(normalLatency())
	}
	if hedges == 0 || hedges > 25 {
		t.Errorf("%d hedges for 1,000 requests", hedges)
	}
	for range 1000 {
		s.Add(normalLatency())
	}
	if _, ok := s.HedgeDelay(maxHedgeUtilization); ok {
		t.Error("hedged under overload")
	}
}
