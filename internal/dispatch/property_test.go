package dispatch

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// simulation performs random actions of owners, targets and the membership on a
// dispatcher and checks its invariants after each tick.
type simulation struct {
	*fixture
	sent      []*structs.PermitRequest
	responses map[structs.RunID]int
	ended     map[structs.RunID]bool
	running   map[structs.RunID]structs.TargetID
	err       string
}

const (
	simTargets = 3
	simSlots   = 2
)

func newSimulation(t testing.TB) *simulation {
	return &simulation{
		fixture:   newFixture(t, simTargets, simSlots),
		responses: make(map[structs.RunID]int), ended: make(map[structs.RunID]bool),
		running: make(map[structs.RunID]structs.TargetID),
	}
}

func (s *simulation) fail(format string, args ...any) {
	if s.err == "" {
		s.err = fmt.Sprintf(format, args...)
	}
}

// step performs one action; the number selects the action and its subject.
func (s *simulation) step(action int) {
	subject := action / 10
	switch action % 10 {
	case 0, 1, 2, 3:
		s.sendRequest(subject)
	case 4, 5:
		s.finishOne(subject)
	case 6:
		s.cancelOne(subject)
	case 7:
		s.changeMembers(subject)
	case 8:
		s.injectEvent(subject)
	case 9:
		s.now = s.now.Add(time.Duration(subject%2000) * time.Millisecond)
		s.check(s.tick())
	}
}

func (s *simulation) sendRequest(subject int) {
	m := request(fmt.Sprint(len(s.sent)), withProgram(structs.ProgramID(fmt.Sprint("p", subject%7))),
		withPrompt(int64(subject%5)*3000), func(m *structs.PermitRequest) {
			m.Priority, m.Team = subject%2, structs.Team(fmt.Sprint(subject%3))
			m.Remaining = time.Duration(subject%20+1) * time.Second
			m.Served, m.SharedKey, m.SharedTokens = time.Duration(subject)*time.Millisecond, "s", 100
		})
	s.sent = append(s.sent, m)
	if subject%4 == 0 {
		s.check(s.send(m, m)) // a duplicate in the same tick
		return
	}
	s.check(s.send(m))
}

func (s *simulation) finishOne(subject int) {
	for i := range s.sent {
		m := s.sent[(i+subject)%len(s.sent)]
		if target, ok := s.running[m.Ref.Run]; ok {
			delete(s.running, m.Ref.Run)
			s.ended[m.Ref.Run] = true
			end := finish(m, target)
			end.Failure = structs.RunFailure(subject % 4)
			s.check(s.send(end))
			return
		}
	}
}

func (s *simulation) cancelOne(subject int) {
	if len(s.sent) == 0 {
		return
	}
	m := s.sent[subject%len(s.sent)]
	if s.responses[m.Ref.Run] == 0 && !s.ended[m.Ref.Run] {
		s.ended[m.Ref.Run] = true
		s.responses[m.Ref.Run]++
		s.check(s.send(&structs.PermitCancel{Pool: testPool, Ref: m.Ref}))
	}
}

func (s *simulation) changeMembers(subject int) {
	targets := slices.Clone(s.members.targets)
	targets[subject%simTargets].Leaving = subject%4 == 0
	s.members.targets = targets
	s.check(s.tick(structs.MembersListed{}))
}

// injectEvent sends events of targets and peers, including delayed, wrong and
// duplicate ones.
func (s *simulation) injectEvent(subject int) {
	target := structs.TargetID(fmt.Sprint("t", subject%simTargets))
	program := fmt.Sprint("p", subject%7)
	events := []wire.CacheEvent{
		cacheEvent(uint64(subject%50), wire.CacheStored, program, int64(subject)),
		cacheEvent(uint64(subject%60), wire.CacheEvicted, program, 0),
	}
	switch subject % 5 {
	case 0:
		s.check(s.tick(structs.TargetCache{Target: target, Gap: subject%2 == 0, Events: events}))
	case 1:
		s.check(s.tick(structs.TargetUnreachable{Target: target}))
	case 2:
		s.check(s.tick(structs.PeerDown{Peer: "o"}))
	case 3:
		s.check(s.tick(structs.TargetLoad{Target: target, Load: wire.EngineLoad{Running: subject % 4}}))
	case 4:
		s.check(s.send(&structs.ProgramEnded{Pool: testPool, Program: structs.ProgramID(program)}))
	}
}

// check verifies the responses of one tick and the resulting state.
func (s *simulation) check(commands []structs.Command) {
	for _, refused := range refusals(commands) {
		s.recordResponse(refused.Ref.Run, "refusal")
		s.ended[refused.Ref.Run] = true
	}
	for run, target := range grants(commands) {
		if old, granted := s.running[run]; granted {
			if old != target {
				s.fail("run %s granted at %s and then at %s", run, old, target)
			}
			continue
		}
		s.recordResponse(run, "grant")
		s.running[run] = target
		i := slices.IndexFunc(s.members.targets, func(t structs.Target) bool { return t.ID == target })
		if s.members.targets[i].Leaving {
			s.fail("run %s granted at leaving target %s", run, target)
		}
	}
	for _, t := range s.d.testTargets() {
		if len(t.running) > simSlots {
			s.fail("%d permits at target %s with %d slots", len(t.running), t.info.ID, simSlots)
		}
	}
}

func (d *Dispatcher) testTargets() []*target {
	if p := d.findPool(testPool); p != nil {
		return p.targets
	}
	return nil
}

func (s *simulation) recordResponse(run structs.RunID, kind string) {
	s.responses[run]++
	if s.responses[run] > 1 || s.ended[run] {
		s.fail("run %s got a %s as response %d (ended: %v)", run, kind, s.responses[run], s.ended[run])
	}
}

// drain ends all runs and advances the clock until no call waits.
func (s *simulation) drain() {
	for range 10 * (len(s.sent) + 1) {
		s.finishOne(0)
		s.now = s.now.Add(time.Second)
		s.check(s.tick())
	}
	for _, m := range s.sent {
		if s.responses[m.Ref.Run] != 1 {
			s.fail("run %s got %d responses, want 1", m.Ref.Run, s.responses[m.Ref.Run])
		}
	}
}

func TestProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	actions := gen.SliceOf(gen.IntRange(0, 100_000))
	properties.Property("slot limits, leaving targets and exactly one response", prop.ForAll(func(numbers []int) string {
		s := newSimulation(t)
		for _, number := range numbers {
			s.step(number)
		}
		s.drain()
		return s.err
	}, actions))
	properties.Property("same inputs give same outputs", prop.ForAll(func(numbers []int) bool {
		first, second := newSimulation(t), newSimulation(t)
		for _, number := range numbers {
			first.step(number)
			second.step(number)
			if !reflect.DeepEqual(first.last, second.last) {
				return false
			}
		}
		return true
	}, actions))
	properties.TestingRun(t)
}
