package targets

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
)

func newIsolationRegistry(t *testing.T, count int) (*Registry, []*Target) {
	t.Helper()
	r := NewRegistry("dc", noConnections{})
	var all []*Target
	for n := range count {
		id := fmt.Sprint("t", n)
		r.Put(Entry{ID: id, Service: "engine", Address: id, DataCentre: "dc", Slots: 8})
		all = append(all, r.byID[id])
	}
	return r, all
}

type noConnections struct{}

func (noConnections) HasIdle(string, time.Time) bool { return false }

func TestIsolatedRequestGoesToTheLessBusyOfTwoTargets(t *testing.T) {
	r, all := newIsolationRegistry(t, 2)
	now := time.Now()
	for n, busy := range []int{6, 1} {
		r.RecordLoad(all[n], call.Load{Running: busy, Slots: 8}, now)
	}
	for n := range 20 {
		criteria := Criteria{Service: "engine", Key: "program", LastIncarnation: all[0].Incarnation(), Ended: IsolationThreshold, Work: fmt.Sprint("w", n)}
		got := r.Pick(criteria, now)
		r.End(got)
		if got != all[1] {
			t.Errorf("work %d goes to %s, want the less busy target", n, got.ID)
		}
	}
}

func TestIsolatedRequestsSpreadOverTargets(t *testing.T) {
	r, all := newIsolationRegistry(t, 4)
	for n := range all {
		got := r.Pick(Criteria{Service: "engine", Ended: IsolationThreshold, Work: fmt.Sprint("w", n)}, time.Now())
		r.BeginIsolation(got)
	}
	for _, target := range all {
		if target.isolated != 1 {
			t.Errorf("%s has %d isolated requests", target.ID, target.isolated)
		}
	}
}

func TestTargetOfAnIsolatedRequestIsAvoided(t *testing.T) {
	r, all := newIsolationRegistry(t, 2)
	now := time.Now()
	program := Criteria{Service: "engine", Key: "program", LastIncarnation: all[0].Incarnation()}
	r.BeginIsolation(all[0])
	if got := r.Pick(program, now); got != all[1] {
		t.Errorf("got %s beside an isolated request", got.ID)
	}
	r.EndIsolation(all[0])
	if got := r.Pick(program, now); got != all[0] {
		t.Errorf("got %s after that request's end, want the program's target", got.ID)
	}
}

// Requests of many instances run together with one that ends its targets. Few of them may
// share all of these.
func TestFewRequestsShareThreeEndedTargets(t *testing.T) {
	const seeds, programs = 300, 60
	count := func(isolate bool) (refused int) {
		for seed := range uint64(seeds) {
			refused += shareEnds(t, rand.New(rand.NewPCG(seed, 1)), programs, isolate)
		}
		return refused
	}
	with, without := count(true), count(false)
	t.Logf("of %d requests %d with isolation, %d without", seeds*programs, with, without)
	if with*8 > without {
		t.Errorf("%d requests shared three ended targets, %d without isolation", with, without)
	}
}

// shareEnds lets one request end three targets and returns how many others were at all of
// them.
func shareEnds(t *testing.T, rng *rand.Rand, programs int, isolate bool) (shared int) {
	t.Helper()
	const instances, targets = 12, 8
	var registries []*Registry
	for range instances {
		r, _ := newIsolationRegistry(t, targets)
		registries = append(registries, r)
	}
	name := rng.Uint64()
	ends, at := make([]int, programs), make([]string, programs)
	pick := func(program int) {
		r := registries[program%instances]
		work := fmt.Sprint("p", program, name)
		criteria := Criteria{Service: "engine", Key: work, Sticky: true}
		if isolate {
			criteria.Work, criteria.Ended = work, ends[program]
		}
		if isolate && ends[program] >= IsolationThreshold {
			for other, n := range ends {
				if other != program && n >= IsolationThreshold {
					criteria.Exclude = append(criteria.Exclude, at[other])
				}
			}
		}
		target := r.Pick(criteria, time.Now())
		if target == nil {
			criteria.Exclude = nil
			target = r.Pick(criteria, time.Now())
		}
		if criteria.Ended >= IsolationThreshold {
			r.BeginIsolation(target)
		}
		at[program] = target.ID
	}
	for program := range programs {
		pick(program)
	}
	for range 3 {
		ended := at[0]
		for program := range programs {
			if at[program] == ended {
				ends[program]++
				at[program] = ""
			}
		}
		for _, r := range registries {
			r.Remove(ended)
		}
		for _, program := range rng.Perm(programs) {
			if at[program] == "" {
				pick(program)
			}
		}
	}
	for _, n := range ends[1:] {
		if n == 3 {
			shared++
		}
	}
	return shared
}
