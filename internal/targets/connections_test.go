package targets

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
)

// A request that any target can run goes where a connection is kept, unless the
// target there is much busier than others.
func TestPickPrefersIdleConnection(t *testing.T) {
	now := time.Unix(100, 0)
	idle := idleConnections{"a2": now.Add(time.Second)}
	r := newRegistryWith(4, idle)
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

// clusterSim is a data centre in virtual time: instances that each send a few requests
// a second to targets that any of them may run on.
type clusterSim struct {
	now       time.Time
	instances []*Registry
	kept      []idleConnections
	// running and ran count the requests at each target.
	running map[string]int
	served  map[string]int
	ends    []runEnd
	opened  int
	sent    int
	// sendInterval is the number of steps between two requests of an instance.
	sendInterval int
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
	simInstances = 60
	simTargets   = 20
	// simIdleTimeout is how long a target keeps a connection without a request.
	simIdleTimeout     = 7500 * time.Millisecond
	simStep            = 5 * time.Millisecond
	simRequestDuration = 100 * time.Millisecond
	// simSendInterval is the number of steps between two requests of an instance.
	simSendInterval = 67
)

func newClusterSim() *clusterSim {
	sim := &clusterSim{now: time.Unix(100, 0), running: map[string]int{}, served: map[string]int{}, sendInterval: simSendInterval}
	for range simInstances {
		idle := idleConnections{}
		sim.kept = append(sim.kept, idle)
		sim.instances = append(sim.instances, newRegistryWith(simTargets, idle))
	}
	return sim
}

func (sim *clusterSim) run(steps int) {
	for step := range steps {
		sim.now = sim.now.Add(simStep)
		sim.end()
		for i := range sim.instances {
			if (step+i)%sim.sendInterval == 0 {
				sim.send(i)
			}
		}
	}
}

func (sim *clusterSim) end() {
	left := sim.ends[:0]
	for _, e := range sim.ends {
		if e.at.After(sim.now) {
			left = append(left, e)
			continue
		}
		sim.running[e.target.ID]--
		sim.instances[e.instance].End(e.target)
		sim.kept[e.instance][e.target.Address] = sim.now.Add(simIdleTimeout)
	}
	sim.ends = left
}

func (sim *clusterSim) send(instance int) {
	r := sim.instances[instance]
	target := r.Pick(Criteria{Service: "s"}, sim.now)
	sim.sent++
	sim.served[target.ID]++
	if !sim.kept[instance].Kept(target.Address, sim.now) {
		sim.opened++
	}
	sim.running[target.ID]++
	r.RecordLoad(target, call.Load{Running: sim.running[target.ID], Slots: testSlots, Pace: sim.pace}, sim.now)
	if sim.pace > 0 {
		sim.shareReports(instance)
	}
	sim.ends = append(sim.ends, runEnd{sim.now.Add(simRequestDuration), instance, target})
}

// shareReports passes the reports of an instance on to the next ones, as messages about
// budgets do.
func (sim *clusterSim) shareReports(instance int) {
	loads := sim.instances[instance].LoadReports(sim.now)
	for i := range simFanout {
		sim.instances[(instance+7*i+1)%simInstances].MergeLoadReports(loads, sim.now)
	}
}

// simFanout is how many instances hear the reports that one passes on.
const simFanout = 3

// Where targets tell their pace and instances share reports, fewer connections are
// opened, and the targets are loaded more evenly.
func TestManyInstancesWithSharedReports(t *testing.T) {
	sim := newClusterSim()
	sim.pace = 100
	sim.run(int(time.Minute / simStep))
	if perRequest := float64(sim.opened) / float64(sim.sent); perRequest > 0.03 {
		t.Errorf("%d connections opened for %d requests", sim.opened, sim.sent)
	}
	for id, n := range sim.served {
		if n > 9*sim.sent/5/simTargets {
			t.Errorf("%s ran %d of %d requests", id, n, sim.sent)
		}
	}
}

// The callers of another data centre move here: targets there take over what those
// here have no room for, and give it back, without leaving any of these crowded.
func TestOtherDataCentreAbsorbsExcessLoad(t *testing.T) {
	sim := newClusterSim()
	sim.pace = 100
	for _, r := range sim.instances {
		for i := range simTargets / 2 {
			entry := r.byID[fmt.Sprint("t", i)].Entry
			entry.DataCentre = "far"
			r.Put(entry)
		}
	}
	far := func(every int) float64 {
		clear(sim.served)
		sim.sent, sim.sendInterval = 0, every
		sim.run(int(10 * time.Second / simStep))
		n := 0
		for i := range simTargets / 2 {
			n += sim.served[fmt.Sprint("t", i)]
		}
		return float64(n) / float64(sim.sent)
	}
	before, moved := far(2*simSendInterval), far(simSendInterval/4)
	far(2 * simSendInterval)
	after := far(2 * simSendInterval)
	if before > 0.2 || after > 0.2 || moved < 0.3 || moved > 0.6 {
		t.Errorf("parts at the other data centre: %.2f, %.2f while callers were here, %.2f", before, moved, after)
	}
}

// Sixty instances that send three requests a second each open a connection for
// less than one request in ten, and load no target with more than three times
// its share.
func TestManyInstancesOpenFewConnections(t *testing.T) {
	sim := newClusterSim()
	sim.run(int(time.Minute / simStep))
	if perRequest := float64(sim.opened) / float64(sim.sent); perRequest > 0.1 {
		t.Errorf("%d connections opened for %d requests", sim.opened, sim.sent)
	}
	for id, n := range sim.served {
		if n > 3*sim.sent/simTargets {
			t.Errorf("%s ran %d of %d requests", id, n, sim.sent)
		}
	}
}
