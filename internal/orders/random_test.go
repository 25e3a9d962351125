package orders

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// Under random faults no target may see an order of an old epoch after one of a
// newer epoch, and once faults cease, all targets reach the desired state.
// gopter prints the seed of a failing schedule.
func TestRandomFaults(t *testing.T) {
	properties := gopter.NewProperties(nil)
	for _, checks := range []bool{true, false} {
		properties.Property(fmt.Sprintf("epochs never decrease at targets, checks=%t", checks), prop.ForAll(
			func(seed uint64) (string, error) { return "", runSchedule(t, seed, checks) }, gen.UInt64(),
		))
	}
	properties.TestingRun(t)
}

func runSchedule(t *testing.T, seed uint64, checks bool) error {
	s := newSimulation(t, checks, 3, 3)
	s.rand = rand.New(rand.NewPCG(seed, 0))
	s.append = func() (time.Duration, bool) {
		late := time.Duration(0)
		if s.rand.IntN(5) == 0 {
			late = s.randomDuration(4 * time.Second)
		}
		return late, s.rand.IntN(4) == 0
	}
	for range 300 {
		s.injectFault()
		s.run(time.Second)
		if err := s.checkEpochOrder(); err != nil {
			return err
		}
	}
	s.run(time.Minute)
	for i, n := range s.nodes {
		n.selected = i == 0
	}
	s.run(3 * time.Minute)
	if !s.converged() {
		return fmt.Errorf("not all targets reached the desired state: %+v", s.nodes[0].controller.Dump())
	}
	return s.checkEpochOrder()
}

func (s *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(limit)))
}

// injectFault injects at most one random fault.
func (s *simulation) injectFault() {
	n := s.nodes[s.rand.IntN(len(s.nodes))]
	n.sendDelay, n.sendAtLimit = s.randomDuration(time.Second), s.rand.IntN(2) == 0
	switch s.rand.IntN(12) {
	case 0, 1:
		n.paused = true
		s.schedule(s.randomDuration(40*time.Second), func() { n.paused = false })
	case 2:
		n.start()
	case 3:
		s.logDown = true
		s.schedule(s.randomDuration(30*time.Second), func() { s.logDown = false })
	case 4:
		n.partitioned = true
		s.schedule(s.randomDuration(40*time.Second), func() { n.partitioned = false })
	case 5, 6:
		n.selected = !n.selected
	case 7:
		e := s.engines["t0"]
		e.unresponsive = true
		s.schedule(s.randomDuration(20*time.Second), func() { e.unresponsive = false })
	case 8:
		e := s.engines["t1"]
		e.state = wire.OrderState{ChecksFencing: s.checksFencing, Fencing: e.state.Fencing}
	case 9:
		s.firstOffset = uint64(len(s.records))
	default:
		s.setModel(fmt.Sprint("m", s.rand.IntN(5)))
	}
}
