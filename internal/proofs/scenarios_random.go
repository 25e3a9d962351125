package proofs

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	// faultsPerSequence is the number of random faults in each of the two concurrent
	// sequences.
	faultsPerSequence = 5
	// minUnaffected is the number of instances that are free of faults at any time.
	minUnaffected = 2
)

func randomScenarios() []Scenario {
	var list []Scenario
	for _, name := range []string{"random-1", "random-2", "random-3"} {
		list = append(list, Scenario{
			Name: name, Description: "a random schedule of all faults, two at a time", Instances: 5, Relayed: true,
			Budget: typicalBudget, Run: runRandom,
		})
	}
	return list
}

// instancePool selects the instances for faults, so that at least minUnaffected
// remain free of faults.
type instancePool struct {
	mu   sync.Mutex
	rig  *Rig
	busy map[string]bool
}

// acquire returns a random instance that is free of faults, nil if no more than
// minUnaffected are.
func (pool *instancePool) acquire(rng *rand.Rand) *testkit.Process {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	var free []*testkit.Process
	for _, p := range pool.rig.instancesExcept(nil) {
		if !pool.busy[p.ID] {
			free = append(free, p)
		}
	}
	if len(free) <= minUnaffected {
		return nil
	}
	p := free[rng.IntN(len(free))]
	pool.busy[p.ID] = true
	return p
}

func (pool *instancePool) release(p *testkit.Process) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	delete(pool.busy, p.ID)
}

// randomFault injects a fault and ends it after a random duration.
type randomFault func(ctx context.Context, r *Rig, pool *instancePool, rng *rand.Rand) error

var instanceFaults = []randomFault{randomKill, randomPause, randomDrain, randomCutLog, randomCutPeer}

var platformFaults = []randomFault{
	randomLog(wire.LogFaults{Down: true}), randomLog(wire.LogFaults{DropAppendReplies: 8}),
	randomLog(wire.LogFaults{DropAppends: 8}), randomLog(wire.LogFaults{DelayMS: 250}),
	randomMembers(wire.MemberFaults{Down: true}), randomMembers(wire.MemberFaults{LagMS: 3000}),
	randomTarget(wire.ServiceFaults{Hang: true}), randomTarget(wire.ServiceFaults{DropReplies: 3}),
	randomTarget(wire.ServiceFaults{FailNext: 3}), randomTarget(wire.ServiceFaults{Slow: 10}),
}

// runRandom runs, under load, a sequence of instance faults concurrently with a
// sequence of faults of the platform and the targets.
func runRandom(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, typicalPrograms, 0)
	pool := &instancePool{rig: r, busy: map[string]bool{}}
	var group sync.WaitGroup
	var errs [2]error
	for i, choices := range [][]randomFault{instanceFaults, platformFaults} {
		rng := r.newRand()
		group.Go(func() { errs[i] = r.runFaultSequence(ctx, pool, rng, choices) })
	}
	group.Wait()
	err := errors.CombineErrors(errs[0], errs[1])
	if err == nil {
		err = r.WaitAnswered(ctx, answersPerFault)
	}
	return errors.CombineErrors(err, l.Stop())
}

func (r *Rig) runFaultSequence(ctx context.Context, pool *instancePool, rng *rand.Rand, choices []randomFault) error {
	for range faultsPerSequence {
		if err := choices[rng.IntN(len(choices))](ctx, r, pool, rng); err != nil {
			return err
		}
		if err := r.WaitAnswered(ctx, answersPerFault/5); err != nil {
			return err
		}
	}
	return nil
}

// faultDuration returns a random duration of a fault.
func faultDuration(rng *rand.Rand) time.Duration {
	return time.Duration(500+rng.IntN(4500)) * time.Millisecond
}

func randomKill(ctx context.Context, r *Rig, pool *instancePool, rng *rand.Rand) error {
	p := pool.acquire(rng)
	if p == nil {
		return nil
	}
	defer pool.release(p)
	return r.Replace(ctx, p)
}

func randomPause(ctx context.Context, r *Rig, pool *instancePool, rng *rand.Rand) error {
	p := pool.acquire(rng)
	if p == nil {
		return nil
	}
	defer pool.release(p)
	resume, err := r.Pause(p)
	if err != nil {
		return err
	}
	r.sleep(ctx, faultDuration(rng))
	return resume()
}

func randomDrain(ctx context.Context, r *Rig, pool *instancePool, rng *rand.Rand) error {
	p := pool.acquire(rng)
	if p == nil {
		return nil
	}
	defer pool.release(p)
	if err := r.Drain(ctx, p); err != nil {
		return err
	}
	_, err := r.Add(ctx)
	return err
}

func randomCutLog(ctx context.Context, r *Rig, pool *instancePool, rng *rand.Rand) error {
	p := pool.acquire(rng)
	if p == nil {
		return nil
	}
	defer pool.release(p)
	r.countFault()
	r.Net.CutLog(p.ID, rng.IntN(2) == 0, true)
	r.sleep(ctx, faultDuration(rng))
	r.Net.CutLog(p.ID, false, false)
	return nil
}

func randomCutPeer(ctx context.Context, r *Rig, pool *instancePool, rng *rand.Rand) error {
	p := pool.acquire(rng)
	if p == nil {
		return nil
	}
	defer pool.release(p)
	r.countFault()
	direction := rng.IntN(3)
	r.Net.CutPeer(p.ID, direction != 0, direction != 1)
	r.sleep(ctx, faultDuration(rng))
	r.Net.CutPeer(p.ID, false, false)
	return nil
}

func randomLog(faults wire.LogFaults) randomFault {
	return func(ctx context.Context, r *Rig, _ *instancePool, rng *rand.Rand) error {
		r.SetLogFaults(faults)
		r.sleep(ctx, faultDuration(rng))
		r.SetLogFaults(wire.LogFaults{})
		return nil
	}
}

func randomMembers(faults wire.MemberFaults) randomFault {
	return func(ctx context.Context, r *Rig, _ *instancePool, rng *rand.Rand) error {
		r.SetMemberFaults(faults)
		r.sleep(ctx, faultDuration(rng))
		r.SetMemberFaults(wire.MemberFaults{})
		return nil
	}
}

func randomTarget(faults wire.ServiceFaults) randomFault {
	return func(ctx context.Context, r *Rig, _ *instancePool, rng *rand.Rand) error {
		targets := r.targetsOf(everyService[rng.IntN(len(everyService))])
		id := targets[rng.IntN(len(targets))]
		r.SetTargetFaults(id, faults)
		r.sleep(ctx, faultDuration(rng))
		r.SetTargetFaults(id, wire.ServiceFaults{})
		return nil
	}
}
