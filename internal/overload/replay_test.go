package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/targets"
)

// The load: three times the programs that the engines carry for eight seconds, a
// third of the engines four times slower meanwhile. Time is passed in.

const (
	step        = 10 * time.Millisecond
	loadFrom    = 4 * time.Second
	loadTo      = 12 * time.Second
	replayEnd   = 22 * time.Second
	engineCount = 44
	slots       = 8
	queue       = 24
	// owners of budgets pass reports on.
	owners     = 24
	turnTime   = 250 * time.Millisecond
	thinkTime  = 100 * time.Millisecond
	turns      = 4
	callerTime = 4 * time.Second
	// usualPrograms begin each step, of about 3.5 that the engines carry.
	usualPrograms = 2.2
	aim           = turns*(turnTime+thinkTime)*3/2 + 200*time.Millisecond
)

// way is a way to decide who is let in.
type way interface {
	admit(instance int, r Request, now time.Time) policy.AdmissionVerdict
	again(instance, refusals int, now time.Time) bool
	// heard brings a target's report, which a turn at an instance carried.
	heard(instance, engine, busy int, now time.Time)
	// tick passes each step.
	tick(now time.Time)
}

// nobody decides.
type nobody struct{}

func (nobody) admit(int, Request, time.Time) policy.AdmissionVerdict {
	return policy.AdmissionVerdict{Admit: true}
}
func (nobody) again(int, int, time.Time) bool { return true }
func (nobody) heard(int, int, int, time.Time) {}
func (nobody) tick(time.Time)                 {}

// known is what one instance knows of the engines.
type known struct {
	registry *targets.Registry
	engines  []*targets.Target
}

// noConnections has no connection kept.
type noConnections struct{}

func (noConnections) HasIdle(string, time.Time) bool { return false }

func newKnown() *known {
	k := &known{registry: targets.NewRegistry("dc", noConnections{})}
	for e := range engineCount {
		id := fmt.Sprint("e", e)
		k.registry.Put(targets.Entry{ID: id, Service: "engine", Address: id, DataCentre: "dc", Slots: slots})
		t := k.registry.PickIncarnation(id)
		k.registry.End(t)
		k.engines = append(k.engines, t)
	}
	return k
}

func (k *known) hear(engine, busy int, at time.Time) {
	load := call.Load{Running: min(busy, slots), Waiting: max(busy-slots, 0), Slots: slots, Pace: 100}
	k.registry.RecordLoad(k.engines[engine], load, at)
}

// shared: each instance decides from reports that ride on messages to others.
type shared struct {
	known  []*known
	guards []*Guard
	// cut instances exchange nothing; none of them is an owner.
	cut    int
	random *rand.Rand
}

func newShared(instances, cut int) *shared {
	s := &shared{cut: cut, random: rand.New(rand.NewPCG(3, 4))}
	for range instances {
		k := newKnown()
		s.known = append(s.known, k)
		g := New(k.registry, tally.NoopScope)
		g.jitter = s.random.Float64
		s.guards = append(s.guards, g)
	}
	return s
}

func (s *shared) admit(i int, r Request, now time.Time) policy.AdmissionVerdict {
	if r.Class == policy.ClassFirstTurn {
		s.ask(i, now)
	}
	return s.guards[i].Admit(r, now)
}
func (s *shared) again(i, refusals int, now time.Time) bool {
	return s.guards[i].AllowRetry("engine", refusals, now)
}
func (s *shared) tick(time.Time) {}

func (s *shared) heard(i, engine, busy int, now time.Time) {
	s.known[i].hear(engine, busy, now)
	s.ask(i, now)
}

// ask exchanges what is known with an owner, unless the instance is cut off.
func (s *shared) ask(i int, now time.Time) {
	if i >= len(s.known)-s.cut {
		return
	}
	owner := s.known[s.random.IntN(owners)].registry
	own := s.known[i].registry
	owner.MergeLoadReports(own.OwnLoadReports(now), now)
	own.MergeLoadReports(owner.LoadReports(now), now)
	own.MergePoolReports(owner.PoolReports(now), now)
}

// dealt: a coordinator deals out the right to begin programs five times a second
// from what all instances tell it then; without it nobody may begin any for as
// long as nobody else is chosen.
type dealt struct {
	known     *known
	granted   []float64
	asked     []float64
	lostUntil time.Time
	lostFrom  time.Time
}

func (d *dealt) admit(i int, r Request, _ time.Time) policy.AdmissionVerdict {
	if r.Class != policy.ClassFirstTurn {
		return policy.AdmissionVerdict{Admit: true}
	}
	d.asked[i]++
	if d.granted[i] < 1 {
		return policy.AdmissionVerdict{RetryAfter: 200 * time.Millisecond}
	}
	d.granted[i]--
	return policy.AdmissionVerdict{Admit: true}
}

func (d *dealt) again(int, int, time.Time) bool { return true }

func (d *dealt) heard(_, engine, busy int, now time.Time) { d.known.hear(engine, busy, now) }

func (d *dealt) tick(now time.Time) {
	if now.UnixMilli()%200 != 0 || (now.After(d.lostFrom) && now.Before(d.lostUntil)) {
		return
	}
	free := 1.1 - d.known.registry.Pool("engine", now).Utilization
	room := max(free*engineCount*slots/2, 1)
	total := 0.0
	for _, a := range d.asked {
		total += a
	}
	for i := range d.granted {
		d.granted[i] = min(d.granted[i], 1) + room*(d.asked[i]+0.2)/(total+0.2*float64(len(d.granted)))
		d.asked[i] = 0
	}
}

// program is one on its way; it tries each turn up to tries times.
type program struct {
	instance int
	turn     int
	tries    int
	began    time.Time
	name     string
	sentAt   time.Time
}

type engine struct {
	slow    bool
	running []run
	waiting []*program
}

type run struct {
	program *program
	ends    time.Time
}

// replay is one load on its way.
type replay struct {
	way       way
	engines   [engineCount]engine
	due       map[time.Time][]*program
	random    *rand.Rand
	inTime    map[int]int
	begun     map[int]int
	instances int
}

// play returns the share of the programs that were in time by windows of two
// seconds in which they began.
func play(w way, instances int) []float64 {
	r := &replay{
		way: w, due: make(map[time.Time][]*program),
		random: rand.New(rand.NewPCG(1, 2)), inTime: make(map[int]int), begun: make(map[int]int), instances: instances,
	}
	for now := start; now.Before(start.Add(replayEnd)); now = now.Add(step) {
		r.step(now)
	}
	shares := make([]float64, int(replayEnd/time.Second)/2-2)
	for i := range shares {
		shares[i] = float64(r.inTime[i]) / float64(r.begun[i])
	}
	return shares
}

func (r *replay) step(now time.Time) {
	since := now.Sub(start)
	loaded := since >= loadFrom && since < loadTo
	count := usualPrograms
	if loaded {
		count *= 3
	}
	for range int(count + r.random.Float64()) {
		p := &program{instance: r.random.IntN(r.instances), began: now}
		p.name = fmt.Sprint(r.random.Uint64())
		r.begun[r.window(p)]++
		r.due[now] = append(r.due[now], p)
	}
	r.way.tick(now)
	for e := range r.engines {
		r.engines[e].slow = loaded && e%3 == 0
		r.work(e, now)
	}
	for _, p := range r.due[now] {
		r.send(p, now)
	}
	delete(r.due, now)
}

func (r *replay) window(p *program) int { return int(p.began.Sub(start) / (2 * time.Second)) }

func (r *replay) later(p *program, at time.Time) {
	at = start.Add(at.Sub(start).Round(step)).Add(step)
	r.due[at] = append(r.due[at], p)
}

// send sends a turn to the less busy of two engines for their speed: where it goes
// is not what is compared here.
func (r *replay) send(p *program, now time.Time) {
	class := policy.ClassInProgress
	switch {
	case p.turn == 0:
		class = policy.ClassFirstTurn
	case now.Sub(p.began) > aim:
		class = policy.ClassOverdue
	}
	verdict := r.way.admit(p.instance, Request{Service: "engine", Program: p.name, Class: class}, now)
	if !verdict.Admit {
		r.comeBack(p, now, verdict.RetryAfter)
		return
	}
	for refusals := 1; refusals <= 4; refusals++ {
		e, other := r.random.IntN(engineCount), r.random.IntN(engineCount)
		if r.wait(other) < r.wait(e) {
			e = other
		}
		busy := len(r.engines[e].running) + len(r.engines[e].waiting)
		r.way.heard(p.instance, e, busy, now)
		if busy < slots+queue {
			p.sentAt = now
			r.engines[e].waiting = append(r.engines[e].waiting, p)
			return
		}
		if !r.way.again(p.instance, refusals, now) {
			break
		}
	}
	r.comeBack(p, now, 150*time.Millisecond)
}

// wait grows with the time that a turn waits at an engine.
func (r *replay) wait(e int) int {
	g := &r.engines[e]
	busy := len(g.running) + len(g.waiting)
	if g.slow {
		return 4 * busy
	}
	return busy
}

func (r *replay) comeBack(p *program, now time.Time, after time.Duration) {
	if p.tries++; p.tries < 6 {
		r.later(p, now.Add(after))
	}
}

// work ends what is done at an engine and starts what waits.
func (r *replay) work(e int, now time.Time) {
	g := &r.engines[e]
	kept := g.running[:0]
	for _, run := range g.running {
		if run.ends.After(now) {
			kept = append(kept, run)
			continue
		}
		r.ended(run.program, now)
	}
	g.running = kept
	for len(g.running) < slots && len(g.waiting) > 0 {
		p := g.waiting[0]
		g.waiting = g.waiting[1:]
		if now.Sub(p.sentAt) > callerTime {
			continue
		}
		took := turnTime
		if g.slow {
			took *= 4
		}
		g.running = append(g.running, run{p, now.Add(took)})
	}
}

func (r *replay) ended(p *program, now time.Time) {
	p.turn++
	p.tries = 0
	if p.turn < turns {
		r.later(p, now.Add(thinkTime))
		return
	}
	if now.Sub(p.began) <= aim {
		r.inTime[r.window(p)]++
	}
}

func sum(shares []float64) float64 {
	total := 0.0
	for _, s := range shares {
		total += s
	}
	return total
}

func TestWaysOutOfAnOverload(t *testing.T) {
	for _, instances := range []int{90, 300} {
		deal := func(from, to time.Duration) *dealt {
			return &dealt{known: newKnown(), granted: make([]float64, instances), asked: make([]float64, instances),
				lostFrom: start.Add(from), lostUntil: start.Add(to)}
		}
		ways := map[string]way{
			"nobody":              nobody{},
			"shared":              newShared(instances, 0),
			"shared, a tenth cut": newShared(instances, instances/10),
			"dealt":               deal(0, 0),
			"dealt, lost for 3 s": deal(6*time.Second, 9*time.Second),
		}
		shares := make(map[string][]float64)
		for name, w := range ways {
			shares[name] = play(w, instances)
			t.Logf("%3d instances, %-20s in time by 2 s: %.2f", instances, name, shares[name])
		}
		during, after := int(loadFrom/time.Second)/2, int(loadTo/time.Second)/2
		for _, name := range []string{"shared", "shared, a tenth cut"} {
			for i, share := range shares[name][after+1:] {
				if share < 0.85 {
					t.Errorf("%d instances, %s: %.2f in time in window %d after the load", instances, name, share, i+1)
				}
			}
			if got, none := sum(shares[name][during:after]), sum(shares["nobody"][during:after]); got <= none {
				t.Errorf("%d instances, %s: %.2f in time during the load, %.2f where nobody decides", instances, name, got, none)
			}
		}
	}
}
