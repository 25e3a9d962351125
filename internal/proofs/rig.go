package proofs

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// shards is the number of shards of the region, as instances have it by
// default.
const shards = 64

// Rig is what a scenario works with: the instances, the stand-ins, the callers'
// history and the faults.
type Rig struct {
	*testkit.Cluster
	History *History
	// Net holds the relays, nil if the scenario wants none.
	Net *Network

	key    string
	budget Program

	mu        sync.Mutex
	rng       *rand.Rand
	doors     []door
	faults    int
	disturbed []*Disturbance
	leaving   []Departure
	// ended are the processes that were removed, kept for their logs.
	ended []*testkit.Process
}

// door is an instance as callers see it behind their balancer.
type door struct{ id, server string }

// start starts the instances of a scenario and its settings.
func start(ctx context.Context, binary string, s Scenario, seed uint64) (*Rig, error) {
	r := &Rig{History: &History{}, key: testkit.CallerKey, budget: s.Budget, rng: newRand(seed, s.Name)}
	options := testkit.Options{Binary: binary, Instances: s.Instances, Standins: testkit.DefaultStandins(), Env: s.Env}
	if s.Standins != nil {
		s.Standins(&options.Standins)
	}
	if s.Relayed {
		r.Net = newNetwork()
		options.EnvOf = r.Net.env
	}
	cluster, err := testkit.Start(ctx, options)
	if err != nil {
		r.Net.Close()
		return nil, errors.Wrap(err, "start")
	}
	r.Cluster = cluster
	for _, p := range cluster.Instances {
		r.doors = append(r.doors, door{p.ID, p.Server})
	}
	if err := cluster.Configure(ctx, append(testkit.DefaultSettings(), testkit.Changes(s.settings())...)); err != nil {
		r.Close()
		return nil, err
	}
	if err := r.untilListed(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// untilListed waits until every instance has seen every other one in the
// membership list, so that owners do not move for that reason alone.
func (r *Rig) untilListed(ctx context.Context) error {
	for _, p := range r.Instances {
		err := r.Until(ctx, "the members at "+p.ID, func() bool { return r.peersOf(ctx, p) >= len(r.Instances) })
		if err != nil {
			return err
		}
	}
	return nil
}

// peersOf is the number of instances that an instance knows, itself included.
func (r *Rig) peersOf(ctx context.Context, p *testkit.Process) int {
	answer, err := operatorAt(p).Do(ctx, http.MethodGet, "/debug/state", nil, testkit.Call{})
	var state struct{ Peers []struct{ ID string } }
	if err != nil || json.Unmarshal(answer.Body, &state) != nil {
		return 0
	}
	return len(state.Peers)
}

// Close ends everything.
func (r *Rig) Close() {
	r.Cluster.Close()
	r.Net.Close()
}

// newRand makes a generator that depends on the seed and a name alone.
func newRand(seed uint64, name string) *rand.Rand {
	var second uint64
	for _, c := range []byte(name) {
		second = second*131 + uint64(c)
	}
	return rand.New(rand.NewPCG(seed, second))
}

func (r *Rig) newRand() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.rng.Uint64(), r.rng.Uint64()))
}

// pick chooses an instance as a balancer does, another than the one given if
// there is one: whoever got no answer tries elsewhere.
func (r *Rig) pick(rng *rand.Rand, other string) door {
	r.mu.Lock()
	defer r.mu.Unlock()
	choices := slices.DeleteFunc(slices.Clone(r.doors), func(d door) bool { return d.id == other })
	if len(choices) == 0 {
		choices = r.doors
	}
	return choices[rng.IntN(len(choices))]
}

// doorOf gives an instance as callers see it.
func doorOf(p *testkit.Process) door { return door{p.ID, p.Server} }

// setDoors replaces the instances that the balancer offers.
func (r *Rig) setDoors(doors ...door) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doors = doors
}

func (r *Rig) openDoor(p *testkit.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doors = append(r.doors, doorOf(p))
}

// closeDoor takes an instance off the balancer, unless it is the last.
func (r *Rig) closeDoor(p *testkit.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var left []door
	for _, d := range r.doors {
		if d.id != p.ID {
			left = append(left, d)
		}
	}
	if len(left) > 0 {
		r.doors = left
	}
}

// Until polls a condition.
func (r *Rig) Until(ctx context.Context, what string, met func() bool) error {
	err := testkit.Poll(ctx, func() error {
		if met() {
			return nil
		}
		return errors.Newf("waiting for %s", what)
	})
	return err
}

// UntilAnswered waits until callers got so many more answers.
func (r *Rig) UntilAnswered(ctx context.Context, more int) error {
	want := r.History.Answered() + more
	return r.Until(ctx, fmt.Sprintf("%d answers", want), func() bool { return r.History.Answered() >= want })
}

// stream gives the retained records of a log stream; none during an outage.
func (r *Rig) stream(name string) []wire.LogRecord {
	const all = 1 << 30
	info, err := r.Log.Info(name)
	if err != nil {
		return nil
	}
	reply, err := r.Log.Read(context.Background(), name, info.First, all, 0)
	if err != nil {
		return nil
	}
	return reply.Records
}

// shardStream is the journal stream of a program.
func shardStream(program string) string {
	id := structs.ProgramID(program)
	region, _, _ := id.Parse()
	return structs.ShardRef{Region: region, Shard: structs.ShardOf(id, shards)}.Stream()
}

// OwnerOf finds the process whose claim of the program's shard is the newest in
// the log, nil if it has ended.
func (r *Rig) OwnerOf(program string) *testkit.Process {
	return r.process(string(ownerInLog(r.stream(shardStream(program)))))
}

// ownerSaid gives the process that the instances name as the program's owner,
// nil if none does: the log may have dropped the claim.
func (r *Rig) ownerSaid(ctx context.Context, program string) *testkit.Process {
	return r.ownerSaidBy(ctx, r.random(), program)
}

// ownerSaidBy gives the process that one instance names as the program's owner.
func (r *Rig) ownerSaidBy(ctx context.Context, p *testkit.Process, program string) *testkit.Process {
	answer, err := testkit.NewClient(p.Server, r.key).
		Do(ctx, http.MethodGet, programsRoute+"/"+program, nil, testkit.Call{})
	var view struct {
		Owner string `json:"owner"`
	}
	if err != nil || json.Unmarshal(answer.Body, &view) != nil {
		return nil
	}
	return r.process(view.Owner)
}

func (r *Rig) process(id string) *testkit.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.Instances {
		if p.ID == id {
			return p
		}
	}
	return nil
}

// others lists the processes but one.
func (r *Rig) others(than *testkit.Process) []*testkit.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*testkit.Process
	for _, p := range r.Instances {
		if p != than {
			list = append(list, p)
		}
	}
	return list
}

// random picks a process.
func (r *Rig) random() *testkit.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Instances[r.rng.IntN(len(r.Instances))]
}

// hold lets a fault last.
func (r *Rig) hold(ctx context.Context, d time.Duration) { delay.Sleep(ctx, d) }

// fault counts a fault.
func (r *Rig) fault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults++
}

// collect reads the evidence.
func (r *Rig) collect(ctx context.Context) Evidence {
	e := Evidence{
		Engines: map[string][]wire.LedgerEntry{}, Services: map[string][]wire.LedgerEntry{},
		Caches: map[string]wire.CacheState{}, Log: map[string][]wire.LogRecord{}, Dropped: map[string]bool{},
	}
	e.Calls, e.Programs = r.History.snapshot()
	for id, target := range r.Engines {
		e.Engines[id] = target.Ledger().Entries()
		e.Caches[id] = target.CacheState()
	}
	for id, target := range r.Services {
		e.Services[id] = target.Ledger().Entries()
	}
	for name := range maps.Keys(r.Log.Stats().Streams) {
		e.Log[name] = r.stream(name)
		info, err := r.Log.Info(name)
		e.Dropped[name] = err != nil || info.First > 0
	}
	r.mu.Lock()
	for _, d := range r.disturbed {
		e.Disturbed = append(e.Disturbed, *d)
	}
	e.Leaving = append(e.Leaving, r.leaving...)
	r.mu.Unlock()
	e.Orders = r.appliedOrders(ctx)
	e.Changes, e.Readings = r.History.changes, r.History.readings
	e.InForce = r.inForce(ctx, e.Changes)
	return e
}

// untilReleased waits until no engine holds cache of a program that is gone.
// The checker judges what is left when the time is over.
func (r *Rig) untilReleased(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, releaseLimit)
	defer cancel()
	_ = r.Until(limited, "released caches", func() bool {
		_, programs := r.History.snapshot()
		e := Evidence{Programs: programs, Caches: map[string]wire.CacheState{}}
		for id, target := range r.Engines {
			e.Caches[id] = target.CacheState()
		}
		return len(checkCache(e, nil)) == 0
	})
}

// releaseLimit bounds the wait for the release of cache; the product repeats
// a release up to every 30 s.
const releaseLimit = 40 * time.Second

// operatorAt gives the client of the root operator at an instance.
func operatorAt(p *testkit.Process) *testkit.Client {
	return testkit.NewClient(p.Server, testkit.RootKey)
}

// ready tells whether an instance says that it takes traffic.
func ready(ctx context.Context, p *testkit.Process) bool {
	answer, err := operatorAt(p).Do(ctx, http.MethodGet, "/readyz", nil, testkit.Call{})
	return err == nil && answer.Status == http.StatusOK
}
