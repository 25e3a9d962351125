package targets

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/call"
)

// Without a key, a target with an idle connection is preferred unless it is much
// busier than others.
func TestPickPrefersIdleConnection(t *testing.T) {
	now := time.Unix(100, 0)
	idle := idleConnections{"a2": now.Add(time.Second)}
	r := newRegistryWith(4, idle)
	for range 20 {
		got := r.Pick(Criteria{Service: "s"}, now)
		if got.ID != "t2" {
			t.Fatalf("picked %s, want t2", got.ID)
		}
		r.End(got)
	}
	r.RecordLoad(r.byID["t2"], call.Load{Running: testSlots, Slots: testSlots}, now)
	if got := r.Pick(Criteria{Service: "s"}, now); got.ID == "t2" {
		t.Error("a busy target was picked for its connection")
	}
	if got := r.Pick(Criteria{Service: "s", Exclude: []string{"t2"}}, now); got.ID == "t2" {
		t.Error("an excluded target was picked for its connection")
	}
}

// clusterSim simulates the instances of a data centre in virtual time. Each sends a
// few requests per second without a key.
type clusterSim struct {
	now       time.Time
	instances []*Registry
	idle      []idleConnections
	// running and served count the requests at each target.
	running map[string]int
	served  map[string]int
	ends    []runEnd
	opened  int
	sent    int
	// sendInterval is the number of steps between two requests of an instance.
	sendInterval int
	// pace is the pace that targets report, 0 for none; with a pace, instances share
	// load reports.
	pace int
}

type runEnd struct {
	endsAt   time.Time
	instance int
	target   *Target
}

const (
	simInstances = 60
	simTargets   = 20
	// simIdleTimeout is how long a target keeps an idle connection open.
	simIdleTimeout     = 7500 * time.Millisecond
	simStep            = 5 * time.Millisecond
	simRequestDuration = 100 * time.Millisecond
	// simSendInterval is the default of sendInterval.
	simSendInterval = 67
)

func newClusterSim() *clusterSim {
	sim := &clusterSim{now: time.Unix(100, 0), running: map[string]int{}, served: map[string]int{}, sendInterval: simSendInterval}
	for range simInstances {
		idle := idleConnections{}
		sim.idle = append(sim.idle, idle)
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
		if e.endsAt.After(sim.now) {
			left = append(left, e)
			continue
		}
		sim.running[e.target.ID]--
		sim.instances[e.instance].End(e.target)
		sim.idle[e.instance][e.target.Address] = sim.now.Add(simIdleTimeout)
	}
	sim.ends = left
}

func (sim *clusterSim) send(instance int) {
	r := sim.instances[instance]
	target := r.Pick(Criteria{Service: "s"}, sim.now)
	sim.sent++
	sim.served[target.ID]++
	if !sim.idle[instance].HasIdle(target.Address, sim.now) {
		sim.opened++
	}
	sim.running[target.ID]++
	r.RecordLoad(target, call.Load{Running: sim.running[target.ID], Slots: testSlots, Pace: sim.pace}, sim.now)
	if sim.pace > 0 {
		sim.shareReports(instance)
	}
	sim.ends = append(sim.ends, runEnd{sim.now.Add(simRequestDuration), instance, target})
}

// shareReports sends the load reports of an instance to simFanout others.
func (sim *clusterSim) shareReports(instance int) {
	loads := sim.instances[instance].LoadReports(sim.now)
	for i := range simFanout {
		sim.instances[(instance+7*i+1)%simInstances].MergeLoadReports(loads, sim.now)
	}
}

// simFanout is the number of instances that receive each message with reports.
const simFanout = 3

// With reported paces and shared load reports, few connections are opened and the
// load is even.
func TestManyInstancesWithSharedReports(t *testing.T) {
	sim := newClusterSim()
	sim.pace = 100
	sim.run(int(time.Minute / simStep))
	if perRequest := float64(sim.opened) / float64(sim.sent); perRequest > 0.03 {
		t.Errorf("opened %d connections for %d requests", sim.opened, sim.sent)
	}
	for id, n := range sim.served {
		if n > 9*sim.sent/5/simTargets {
			t.Errorf("%s served %d of %d requests", id, n, sim.sent)
		}
	}
}

// When the local load exceeds the local capacity, targets of another data centre
// take over a part, and no longer do so afterwards.
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
		t.Errorf("fraction served by the other data centre: %.2f before, %.2f during and %.2f after the overload", before, moved, after)
	}
}

// Many instances with a low request rate open few connections and don't overload
// any target.
func TestManyInstancesOpenFewConnections(t *testing.T) {
	sim := newClusterSim()
	sim.run(int(time.Minute / simStep))
	if perRequest := float64(sim.opened) / float64(sim.sent); perRequest > 0.1 {
		t.Errorf("opened %d connections for %d requests", sim.opened, sim.sent)
	}
	for id, n := range sim.served {
		if n > 3*sim.sent/simTargets {
			t.Errorf("%s served %d of %d requests", id, n, sim.sent)
		}
	}
}
