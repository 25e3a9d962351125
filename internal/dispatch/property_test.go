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

// world plays random actions against a dispatcher as owners, targets and the
// membership would, and checks what must hold after each tick.
type world struct {
	*fixture
	sent    []*structs.PermitRequest
	answers map[structs.RunID]int
	ended   map[structs.RunID]bool
	running map[structs.RunID]structs.TargetID
	err     string
}

const (
	worldTargets = 3
	worldSlots   = 2
)

func newWorld(t testing.TB) *world {
	return &world{
		fixture: newFixture(t, worldTargets, worldSlots),
		answers: make(map[structs.RunID]int), ended: make(map[structs.RunID]bool),
		running: make(map[structs.RunID]structs.TargetID),
	}
}

func (w *world) fail(format string, args ...any) {
	if w.err == "" {
		w.err = fmt.Sprintf(format, args...)
	}
}

// play does one action; the number chooses it and its subject.
func (w *world) play(number int) {
	subject := number / 10
	switch number % 10 {
	case 0, 1, 2, 3:
		w.ask(subject)
	case 4, 5:
		w.finishOne(subject)
	case 6:
		w.cancelOne(subject)
	case 7:
		w.changeMembers(subject)
	case 8:
		w.disturb(subject)
	case 9:
		w.now = w.now.Add(time.Duration(subject%2000) * time.Millisecond)
		w.check(w.tick())
	}
}

func (w *world) ask(subject int) {
	m := request(fmt.Sprint(len(w.sent)), ofProgram(structs.ProgramID(fmt.Sprint("p", subject%7))),
		withPrompt(int64(subject%5)*3000), func(m *structs.PermitRequest) {
			m.Priority, m.Team = subject%2, structs.Team(fmt.Sprint(subject%3))
			m.Remaining = time.Duration(subject%20+1) * time.Second
			m.Served, m.SharedKey, m.SharedTokens = time.Duration(subject)*time.Millisecond, "s", 100
		})
	w.sent = append(w.sent, m)
	if subject%4 == 0 {
		w.check(w.send(m, m)) // a duplicate in the same tick
		return
	}
	w.check(w.send(m))
}

func (w *world) finishOne(subject int) {
	for i := range w.sent {
		m := w.sent[(i+subject)%len(w.sent)]
		if target, ok := w.running[m.Ref.Run]; ok {
			delete(w.running, m.Ref.Run)
			w.ended[m.Ref.Run] = true
			end := finish(m, target)
			end.Failure = structs.RunFailure(subject % 4)
			w.check(w.send(end))
			return
		}
	}
}

func (w *world) cancelOne(subject int) {
	if len(w.sent) == 0 {
		return
	}
	m := w.sent[subject%len(w.sent)]
	if w.answers[m.Ref.Run] == 0 && !w.ended[m.Ref.Run] {
		w.ended[m.Ref.Run] = true
		w.answers[m.Ref.Run]++
		w.check(w.send(&structs.PermitCancel{Pool: testPool, Ref: m.Ref}))
	}
}

func (w *world) changeMembers(subject int) {
	targets := slices.Clone(w.members.targets)
	targets[subject%worldTargets].Leaving = subject%4 == 0
	w.members.targets = targets
	w.check(w.tick(structs.MembersListed{}))
}

// disturb sends what targets and peers say: late, wrong or twice.
func (w *world) disturb(subject int) {
	target := structs.TargetID(fmt.Sprint("t", subject%worldTargets))
	program := fmt.Sprint("p", subject%7)
	events := []wire.CacheEvent{
		cacheEvent(uint64(subject%50), wire.CacheStored, program, int64(subject)),
		cacheEvent(uint64(subject%60), wire.CacheEvicted, program, 0),
	}
	switch subject % 5 {
	case 0:
		w.check(w.tick(structs.TargetCache{Target: target, Gap: subject%2 == 0, Events: events}))
	case 1:
		w.check(w.tick(structs.TargetUnreachable{Target: target}))
	case 2:
		w.check(w.tick(structs.PeerDown{Peer: "o"}))
	case 3:
		w.check(w.tick(structs.TargetLoad{Target: target, Load: wire.EngineLoad{Running: subject % 4}}))
	case 4:
		w.check(w.send(&structs.ProgramEnded{Pool: testPool, Program: structs.ProgramID(program)}))
	}
}

// check tests the answers of one tick and the state after it.
func (w *world) check(commands []structs.Command) {
	for _, refused := range refusals(commands) {
		w.answer(refused.Ref.Run, "refusal")
		w.ended[refused.Ref.Run] = true
	}
	for run, target := range grants(commands) {
		if old, again := w.running[run]; again {
			if old != target {
				w.fail("run %s granted at %s and again at %s", run, old, target)
			}
			continue
		}
		w.answer(run, "grant")
		w.running[run] = target
		i := slices.IndexFunc(w.members.targets, func(t structs.Target) bool { return t.ID == target })
		if w.members.targets[i].Leaving {
			w.fail("run %s granted at %s, which leaves", run, target)
		}
	}
	for _, t := range w.d.findPoolTargets() {
		if len(t.running) > worldSlots {
			w.fail("%d permits at %s of %d slots", len(t.running), t.info.ID, worldSlots)
		}
	}
}

func (d *Dispatcher) findPoolTargets() []*target {
	if p := d.findPool(testPool); p != nil {
		return p.targets
	}
	return nil
}

func (w *world) answer(run structs.RunID, what string) {
	w.answers[run]++
	if w.answers[run] > 1 || w.ended[run] {
		w.fail("run %s got a %s as answer %d (ended %v)", run, what, w.answers[run], w.ended[run])
	}
}

// settle ends all runs and lets time pass until nothing waits.
func (w *world) settle() {
	for range 10 * (len(w.sent) + 1) {
		w.finishOne(0)
		w.now = w.now.Add(time.Second)
		w.check(w.tick())
	}
	for _, m := range w.sent {
		if w.answers[m.Ref.Run] != 1 {
			w.fail("run %s got %d answers", m.Ref.Run, w.answers[m.Ref.Run])
		}
	}
}

func TestProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	actions := gen.SliceOf(gen.IntRange(0, 100_000))
	properties.Property("slots, leaving targets and exactly one answer", prop.ForAll(func(numbers []int) string {
		w := newWorld(t)
		for _, number := range numbers {
			w.play(number)
		}
		w.settle()
		return w.err
	}, actions))
	properties.Property("same inputs give same outputs", prop.ForAll(func(numbers []int) bool {
		first, second := newWorld(t), newWorld(t)
		for _, number := range numbers {
			first.play(number)
			second.play(number)
			if !reflect.DeepEqual(first.last, second.last) {
				return false
			}
		}
		return true
	}, actions))
	properties.TestingRun(t)
}
