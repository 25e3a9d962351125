package targets

import (
	"math/rand/v2"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// An instance sends each target a request every few seconds, so what it hears
// itself is old when it is needed. Instances pass reports on to the owners of
// budgets, and these to all that ask them for room.

const (
	// ownLoadsMost and loadsMost bound the reports of one message, in both
	// directions.
	ownLoadsMost = 3
	loadsMost    = 8
	// shareableAge is how old a report may be to be passed on.
	shareableAge = time.Second
	// poolLoadAge is how old reports may be that tell of a service as a whole.
	poolLoadAge = 1500 * time.Millisecond
)

// Pool is the load of a service as a whole.
type Pool struct {
	// Fill is how many requests run and wait, in parts of the slots, at those of
	// the Known targets that reported lately; All counts the usable ones.
	Fill  float64
	Known int
	All   int
	// Age is the mean age of the reports.
	Age time.Duration
}

// Pool tells the load of a service.
func (r *Registry) Pool(service string, now time.Time) Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pool(service, now)
}

func (r *Registry) pool(service string, now time.Time) Pool {
	var pool Pool
	slots, age := 0, time.Duration(0)
	busy := 0.0
	for _, t := range r.byService[service] {
		if t.Draining {
			continue
		}
		pool.All++
		if t.loadAt.IsZero() || now.Sub(t.loadAt) > poolLoadAge {
			continue
		}
		pool.Known++
		slots += max(t.Slots, 1)
		busy += float64(t.load.Running + t.load.Waiting)
		age += now.Sub(t.loadAt)
	}
	if pool.Known > 0 {
		pool.Fill = busy / float64(slots)
		pool.Age = age / time.Duration(pool.Known)
	}
	return pool
}

// OwnLoads are the newest reports that targets gave this instance.
func (r *Registry) OwnLoads(now time.Time) []structs.TargetReport {
	return r.shareable(now, ownLoadsMost, func(t *Target) bool { return !t.heard })
}

// Loads are some new reports that this instance knows, whoever heard them.
func (r *Registry) Loads(now time.Time) []structs.TargetReport {
	return r.shareable(now, loadsMost, func(*Target) bool { return true })
}

// shareable lists reports to pass on, from a random place in the table on, so
// that over some messages each is told.
func (r *Registry) shareable(now time.Time, most int, tell func(*Target) bool) []structs.TargetReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var loads []structs.TargetReport
	for _, all := range r.byService {
		usual := usualOf(all)
		start := rand.IntN(len(all) + 1)
		for i := range all {
			t := all[(start+i)%len(all)]
			age := now.Sub(t.loadAt)
			if t.loadAt.IsZero() || age > shareableAge || !tell(t) {
				continue
			}
			loads = append(loads, t.report(usual, now))
			if len(loads) >= most {
				return loads
			}
		}
	}
	return loads
}

// HearLoads takes reports that other instances were given, where they are newer
// than what is known here.
func (r *Registry) HearLoads(loads []structs.TargetReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range loads {
		t, ok := r.byHash[l.Target]
		if !ok {
			continue
		}
		r.hearSpeed(t, l, now)
		at := now.Add(-max(l.Age, 0))
		if l.Running < 0 || l.Waiting < 0 || l.Pace < 0 || !at.After(t.loadAt) {
			continue
		}
		r.setLoad(t, call.Load{Running: l.Running, Waiting: l.Waiting, Slots: t.Slots, Pace: l.Pace}, at)
		t.heard = true
	}
}

// setLoad takes a report of a time. The mutex is held.
func (r *Registry) setLoad(t *Target, load call.Load, at time.Time) {
	fill := float64(load.Running+load.Waiting) / float64(max(t.Slots, 1))
	t.usualFill = policy.TrendFill(t.usualFill, fill, t.loadAt.IsZero())
	t.load, t.loadAt, t.inFlightAtLoad = load, at, t.inFlight
	if load.Pace > 0 {
		r.work(t.Service)
		t.standing.Add(load.Pace)
	}
}
