package targets

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
)

// A request that any target can run goes where a connection is kept, unless the
// target there is much busier than others.
func TestRequestGoesWhereAConnectionIsKept(t *testing.T) {
	now := time.Unix(100, 0)
	kept := keptTo{"a2": now.Add(time.Second)}
	r := newRegistryWith(4, kept)
	for range 20 {
		got := r.Pick(Criteria{Service: "s"}, now)
		if got.ID != "t2" {
			t.Fatalf("%s was chosen", got.ID)
		}
		r.End(got)
	}
	r.RecordLoad(r.byID["t2"], call.Load{Running: testSlots, Slots: testSlots}, now)
	if got := r.Pick(Criteria{Service: "s"}, now); got.ID == "t2" {
		t.Error("a busy target was chosen for its connection")
	}
	if got := r.Pick(Criteria{Service: "s", Exclude: []string{"t2"}}, now); got.ID == "t2" {
		t.Error("an excluded target was chosen for its connection")
	}
}

// fleet is a data centre in virtual time: instances that each send a few requests
// a second to targets that any of them may run on.
type fleet struct {
	now       time.Time
	instances []*Registry
	kept      []keptTo
	// running and ran count the requests at each target.
	running map[string]int
	ran     map[string]int
	ends    []runEnd
	opened  int
	sent    int
	// every is the number of steps between two requests of an instance.
	every int
	// pace is what each target tells of its pace, 0 for nothing; instances that
	// are told it tell each other of loads.
	pace int
}

type runEnd struct {
	at       time.Time
	instance int
	target   *Target
}

const (
	fleetInstances = 60
	fleetTargets   = 20
	// fleetIdle is how long a target keeps a connection without a request.
	fleetIdle = 7500 * time.Millisecond
	fleetStep = 5 * time.Millisecond
	fleetWork = 100 * time.Millisecond
	// fleetEvery is the number of steps between two requests of an instance.
	fleetEvery = 67
)

func newFleet() *fleet {
	f := &fleet{now: time.Unix(100, 0), running: map[string]int{}, ran: map[string]int{}, every: fleetEvery}
	for range fleetInstances {
		kept := keptTo{}
		f.kept = append(f.kept, kept)
		f.instances = append(f.instances, newRegistryWith(fleetTargets, kept))
	}
	return f
}

func (f *fleet) play(steps int) {
	for step := range steps {
		f.now = f.now.Add(fleetStep)
		f.end()
		for i := range f.instances {
			if (step+i)%f.every == 0 {
				f.send(i)
			}
		}
	}
}

func (f *fleet) end() {
	left := f.ends[:0]
	for _, e := range f.ends {
		if e.at.After(f.now) {
			left = append(left, e)
			continue
		}
		f.running[e.target.ID]--
		f.instances[e.instance].End(e.target)
		f.kept[e.instance][e.target.Address] = f.now.Add(fleetIdle)
	}
	f.ends = left
}

func (f *fleet) send(instance int) {
	r := f.instances[instance]
	target := r.Pick(Criteria{Service: "s"}, f.now)
	f.sent++
	f.ran[target.ID]++
	if !f.kept[instance].HasIdle(target.Address, f.now) {
		f.opened++
	}
	f.running[target.ID]++
	r.RecordLoad(target, call.Load{Running: f.running[target.ID], Slots: testSlots, Pace: f.pace}, f.now)
	if f.pace > 0 {
		f.tell(instance)
	}
	f.ends = append(f.ends, runEnd{f.now.Add(fleetWork), instance, target})
}

// tell passes the reports of an instance on to the next ones, as messages about
// budgets do.
func (f *fleet) tell(instance int) {
	loads := f.instances[instance].LoadReports(f.now)
	for i := range fleetHear {
		f.instances[(instance+7*i+1)%fleetInstances].MergeLoadReports(loads, f.now)
	}
}

// fleetHear is how many instances hear the reports that one passes on.
const fleetHear = 3

// Where targets tell their pace and instances share reports, fewer connections are
// opened, and the targets are loaded more evenly.
func TestManyInstancesWithSharedReports(t *testing.T) {
	f := newFleet()
	f.pace = 100
	f.play(int(time.Minute / fleetStep))
	if perRequest := float64(f.opened) / float64(f.sent); perRequest > 0.03 {
		t.Errorf("%d connections opened for %d requests", f.opened, f.sent)
	}
	for id, n := range f.ran {
		if n > 9*f.sent/5/fleetTargets {
			t.Errorf("%s ran %d of %d requests", id, n, f.sent)
		}
	}
}

// The callers of another data centre move here: targets there take over what those
// here have no room for, and give it back, without leaving any of these crowded.
func TestOtherDataCentreTakesOverWhenCallersMove(t *testing.T) {
	f := newFleet()
	f.pace = 100
	for _, r := range f.instances {
		for i := range fleetTargets / 2 {
			entry := r.byID[fmt.Sprint("t", i)].Entry
			entry.DataCentre = "far"
			r.Put(entry)
		}
	}
	far := func(every int) float64 {
		clear(f.ran)
		f.sent, f.every = 0, every
		f.play(int(10 * time.Second / fleetStep))
		n := 0
		for i := range fleetTargets / 2 {
			n += f.ran[fmt.Sprint("t", i)]
		}
		return float64(n) / float64(f.sent)
	}
	before, moved := far(2*fleetEvery), far(fleetEvery/4)
	far(2 * fleetEvery)
	after := far(2 * fleetEvery)
	if before > 0.2 || after > 0.2 || moved < 0.3 || moved > 0.6 {
		t.Errorf("parts at the other data centre: %.2f, %.2f while callers were here, %.2f", before, moved, after)
	}
}

// Sixty instances that send three requests a second each open a connection for
// less than one request in ten, and load no target with more than three times
// its share.
func TestManyInstancesOpenFewConnections(t *testing.T) {
	f := newFleet()
	f.play(int(time.Minute / fleetStep))
	if perRequest := float64(f.opened) / float64(f.sent); perRequest > 0.1 {
		t.Errorf("%d connections opened for %d requests", f.opened, f.sent)
	}
	for id, n := range f.ran {
		if n > 3*f.sent/fleetTargets {
			t.Errorf("%s ran %d of %d requests", id, n, f.sent)
		}
	}
}
