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

// shardCount is the default number of shards of a region.
const shardCount = 64

// Rig runs a scenario: it holds the instances, the stand-ins, the callers' history
// and the injected faults.
type Rig struct {
	*testkit.Cluster
	History *History
	// Net holds the relays; nil unless the scenario is Relayed.
	Net *Network

	callerKey string
	budget    Program

	mu           sync.Mutex
	rng          *rand.Rand
	endpoints    []endpoint
	faultCount   int
	faultWindows []*FaultWindow
	leaving      []LeavingTarget
	// removed holds the processes that have ended, for their logs.
	removed []*testkit.Process
}

// endpoint is an instance in the callers' balancer.
type endpoint struct{ id, server string }

// startRig starts the instances of a scenario and applies its settings.
func startRig(ctx context.Context, binary string, s Scenario, seed uint64) (*Rig, error) {
	r := &Rig{History: &History{}, callerKey: testkit.CallerKey, budget: s.Budget, rng: newRand(seed, s.Name)}
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
		r.endpoints = append(r.endpoints, endpoint{p.ID, p.Server})
	}
	if err := cluster.Configure(ctx, append(testkit.DefaultSettings(), testkit.Changes(s.settings())...)); err != nil {
		r.Close()
		return nil, err
	}
	if err := r.waitListed(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// waitListed waits until every instance knows all others, so that no shard changes
// its owner because instances discover each other.
func (r *Rig) waitListed(ctx context.Context) error {
	for _, p := range r.Instances {
		err := r.WaitUntil(ctx, "all members at "+p.ID, func() bool { return r.peerCount(ctx, p) >= len(r.Instances) })
		if err != nil {
			return err
		}
	}
	return nil
}

// peerCount returns the number of instances that p knows, itself included.
func (r *Rig) peerCount(ctx context.Context, p *testkit.Process) int {
	response, err := operatorAt(p).Do(ctx, http.MethodGet, "/debug/state", nil, testkit.Call{})
	var state struct{ Peers []struct{ ID string } }
	if err != nil || json.Unmarshal(response.Body, &state) != nil {
		return 0
	}
	return len(state.Peers)
}

// Close stops the instances, the stand-ins and the relays.
func (r *Rig) Close() {
	r.Cluster.Close()
	r.Net.Close()
}

// newRand returns a generator that is determined by the seed and the name.
func newRand(seed uint64, name string) *rand.Rand {
	var hash uint64
	for _, c := range []byte(name) {
		hash = hash*131 + uint64(c)
	}
	return rand.New(rand.NewPCG(seed, hash))
}

func (r *Rig) newRand() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.rng.Uint64(), r.rng.Uint64()))
}

// pickEndpoint picks a random instance as a balancer does, other than the excluded
// one if there is another.
func (r *Rig) pickEndpoint(rng *rand.Rand, excluded string) endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := slices.DeleteFunc(slices.Clone(r.endpoints), func(e endpoint) bool { return e.id == excluded })
	if len(candidates) == 0 {
		candidates = r.endpoints
	}
	return candidates[rng.IntN(len(candidates))]
}

func endpointOf(p *testkit.Process) endpoint { return endpoint{p.ID, p.Server} }

// setEndpoints replaces the instances in the balancer.
func (r *Rig) setEndpoints(endpoints ...endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints = endpoints
}

func (r *Rig) addEndpoint(p *testkit.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints = append(r.endpoints, endpointOf(p))
}

// removeEndpoint removes an instance from the balancer, unless it is the last.
func (r *Rig) removeEndpoint(p *testkit.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var remaining []endpoint
	for _, e := range r.endpoints {
		if e.id != p.ID {
			remaining = append(remaining, e)
		}
	}
	if len(remaining) > 0 {
		r.endpoints = remaining
	}
}

// WaitUntil polls until the condition holds.
func (r *Rig) WaitUntil(ctx context.Context, condition string, holds func() bool) error {
	err := testkit.Poll(ctx, func() error {
		if holds() {
			return nil
		}
		return errors.Newf("waiting for %s", condition)
	})
	return err
}

// WaitAnswered waits until callers have received the given number of further
// answers.
func (r *Rig) WaitAnswered(ctx context.Context, more int) error {
	want := r.History.Answered() + more
	return r.WaitUntil(ctx, fmt.Sprintf("%d answers", want), func() bool { return r.History.Answered() >= want })
}

// readStream returns the retained records of a log stream; none during an outage.
func (r *Rig) readStream(name string) []wire.LogRecord {
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

// shardStream returns the journal stream of a program's shard.
func shardStream(program string) string {
	id := structs.ProgramID(program)
	region, _, _ := id.Parse()
	return structs.ShardRef{Region: region, Shard: structs.ShardOf(id, shardCount)}.Stream()
}

// OwnerOf returns the instance with the newest claim of the program's shard in the
// log, nil if it has ended.
func (r *Rig) OwnerOf(program string) *testkit.Process {
	return r.process(string(ownerInLog(r.readStream(shardStream(program)))))
}

// reportedOwner returns the owner of a program as a random instance reports it, nil
// if it reports none. Unlike OwnerOf it works when the log has dropped the claim.
func (r *Rig) reportedOwner(ctx context.Context, program string) *testkit.Process {
	return r.ownerReportedBy(ctx, r.randomInstance(), program)
}

// ownerReportedBy returns the owner of a program as p reports it, nil if it reports
// none.
func (r *Rig) ownerReportedBy(ctx context.Context, p *testkit.Process, program string) *testkit.Process {
	response, err := testkit.NewClient(p.Server, r.callerKey).
		Do(ctx, http.MethodGet, programsRoute+"/"+program, nil, testkit.Call{})
	var view struct {
		Owner string `json:"owner"`
	}
	if err != nil || json.Unmarshal(response.Body, &view) != nil {
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

// instancesExcept returns the instances without the excluded one, all if it is nil.
func (r *Rig) instancesExcept(excluded *testkit.Process) []*testkit.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*testkit.Process
	for _, p := range r.Instances {
		if p != excluded {
			list = append(list, p)
		}
	}
	return list
}

func (r *Rig) randomInstance() *testkit.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Instances[r.rng.IntN(len(r.Instances))]
}

func (r *Rig) sleep(ctx context.Context, d time.Duration) { delay.Sleep(ctx, d) }

func (r *Rig) countFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultCount++
}

// collectEvidence reads the evidence from the stand-ins, the history and the
// instances.
func (r *Rig) collectEvidence(ctx context.Context) Evidence {
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
		e.Log[name] = r.readStream(name)
		info, err := r.Log.Info(name)
		e.Dropped[name] = err != nil || info.First > 0
	}
	r.mu.Lock()
	for _, w := range r.faultWindows {
		e.FaultWindows = append(e.FaultWindows, *w)
	}
	e.Leaving = append(e.Leaving, r.leaving...)
	r.mu.Unlock()
	e.Orders = r.appliedOrders(ctx)
	e.Changes, e.Readings = r.History.changes, r.History.readings
	e.InForce = r.inForce(ctx, e.Changes)
	return e
}

// waitReleased waits until no engine holds cache of a closed program, for
// releaseTimeout at most. Check reports what is still held then.
func (r *Rig) waitReleased(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_ = r.WaitUntil(limited, "released caches", func() bool {
		_, programs := r.History.snapshot()
		e := Evidence{Programs: programs, Caches: map[string]wire.CacheState{}}
		for id, target := range r.Engines {
			e.Caches[id] = target.CacheState()
		}
		return len(checkCache(e, nil)) == 0
	})
}

// releaseTimeout exceeds the longest interval between two attempts of an instance
// to release cache, 30 s.
const releaseTimeout = 40 * time.Second

// operatorAt returns a client of the root operator at an instance.
func operatorAt(p *testkit.Process) *testkit.Client {
	return testkit.NewClient(p.Server, testkit.RootKey)
}

// isReady reports whether the readiness probe of an instance succeeds.
func isReady(ctx context.Context, p *testkit.Process) bool {
	response, err := operatorAt(p).Do(ctx, http.MethodGet, "/readyz", nil, testkit.Call{})
	return err == nil && response.Status == http.StatusOK
}
