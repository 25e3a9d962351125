package policy

import (
	"math/rand"
	"testing"
	"time"
)

// Second sends come after a time that few answers pass, stay within their part of
// the requests while half of the answers straggle, and stop in an overload.
func TestSecondSendsStayWithinTheirPart(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	var s Hedger
	usual := func() time.Duration { return time.Duration(20+random.Intn(60)) * time.Millisecond }
	if _, ok := s.HedgeDelay(0); ok {
		t.Error("a second send was allowed before anything was seen")
	}
	late, known := 0, 0
	for range 4000 {
		took := usual()
		if patience, ok := s.HedgeDelay(0.3); ok {
			known++
			if took > patience {
				late++
			}
		}
		s.Add(took)
	}
	if known == 0 || late*50 > known {
		t.Errorf("%d of %d usual answers passed the patience", late, known)
	}
	if s.Rare > 160*time.Millisecond {
		t.Errorf("%s is waited for answers of at most 80 ms", s.Rare)
	}
	again := 0
	for range 1000 {
		if _, ok := s.HedgeDelay(0.3); ok && random.Intn(2) == 0 {
			s.RecordHedge()
			again++
			continue
		}
		s.Add(usual())
	}
	if again == 0 || again > 25 {
		t.Errorf("%d second sends for 1,000 requests", again)
	}
	for range 1000 {
		s.Add(usual())
	}
	if _, ok := s.HedgeDelay(againFill); ok {
		t.Error("a second send was allowed in an overload")
	}
}
