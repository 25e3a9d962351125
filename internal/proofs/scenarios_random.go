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

// Sizes of a random schedule.
const (
	// randomFaults is the number of faults that each of two sequences draws;
	// the sequences run at once, so that faults fall together.
	randomFaults = 5
	// leastUntouched is the number of instances that no fault touches at a
	// time.
	leastUntouched = 2
)

func randomScenarios() []Scenario {
	var list []Scenario
	for _, name := range []string{"random-1", "random-2", "random-3"} {
		list = append(list, Scenario{
			Name: name, Description: "a random schedule of all faults, two at a time", Instances: 5, Relayed: true,
			Budget: usualBudget, Run: runRandom,
		})
	}
	return list
}

// victims hands out instances so that enough stay untouched.
type victims struct {
	mu   sync.Mutex
	rig  *Rig
	busy map[string]bool
}

// take gives an instance that no fault touches, nil if too few are left.
func (v *victims) take(rng *rand.Rand) *testkit.Process {
	v.mu.Lock()
	defer v.mu.Unlock()
	var free []*testkit.Process
	for _, p := range v.rig.others(nil) {
		if !v.busy[p.ID] {
			free = append(free, p)
		}
	}
	if len(free) <= leastUntouched {
		return nil
	}
	p := free[rng.IntN(len(free))]
	v.busy[p.ID] = true
	return p
}

func (v *victims) give(p *testkit.Process) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.busy, p.ID)
}

// randomFault is a fault that ends by itself. The duration is drawn.
type randomFault func(ctx context.Context, r *Rig, v *victims, rng *rand.Rand) error

var instanceFaults = []randomFault{randomKill, randomPause, randomDrain, randomCutLog, randomCutPeer}

var platformFaults = []randomFault{
	randomLog(wire.LogFaults{Down: true}), randomLog(wire.LogFaults{DropAppendReplies: 8}),
	randomLog(wire.LogFaults{DropAppends: 8}), randomLog(wire.LogFaults{DelayMS: 250}),
	randomMembers(wire.MemberFaults{Down: true}), randomMembers(wire.MemberFaults{LagMS: 3000}),
	randomTarget(wire.ServiceFaults{Hang: true}), randomTarget(wire.ServiceFaults{DropReplies: 3}),
	randomTarget(wire.ServiceFaults{FailNext: 3}), randomTarget(wire.ServiceFaults{Slow: 10}),
}

// runRandom runs one sequence of faults of instances beside one of faults of
// the platform and the targets, under load.
func runRandom(ctx context.Context, r *Rig) error {
	l := r.StartLoad(ctx, usualPrograms, 0)
	v := &victims{rig: r, busy: map[string]bool{}}
	var group sync.WaitGroup
	var errs [2]error
	for i, choices := range [][]randomFault{instanceFaults, platformFaults} {
		rng := r.newRand()
		group.Go(func() { errs[i] = r.sequence(ctx, v, rng, choices) })
	}
	group.Wait()
	err := errors.CombineErrors(errs[0], errs[1])
	if err == nil {
		err = r.UntilAnswered(ctx, someAnswers)
	}
	return errors.CombineErrors(err, l.Finish())
}

func (r *Rig) sequence(ctx context.Context, v *victims, rng *rand.Rand, choices []randomFault) error {
	for range randomFaults {
		if err := choices[rng.IntN(len(choices))](ctx, r, v, rng); err != nil {
			return err
		}
		if err := r.UntilAnswered(ctx, someAnswers/5); err != nil {
			return err
		}
	}
	return nil
}

// some is the length of a drawn fault.
func some(rng *rand.Rand) time.Duration {
	return time.Duration(500+rng.IntN(4500)) * time.Millisecond
}

func randomKill(ctx context.Context, r *Rig, v *victims, rng *rand.Rand) error {
	p := v.take(rng)
	if p == nil {
		return nil
	}
	defer v.give(p)
	return r.Replace(ctx, p)
}

func randomPause(ctx context.Context, r *Rig, v *victims, rng *rand.Rand) error {
	p := v.take(rng)
	if p == nil {
		return nil
	}
	defer v.give(p)
	resume, err := r.Pause(p)
	if err != nil {
		return err
	}
	r.hold(ctx, some(rng))
	return resume()
}

func randomDrain(ctx context.Context, r *Rig, v *victims, rng *rand.Rand) error {
	p := v.take(rng)
	if p == nil {
		return nil
	}
	defer v.give(p)
	if err := r.Drain(ctx, p); err != nil {
		return err
	}
	_, err := r.Add(ctx)
	return err
}

func randomCutLog(ctx context.Context, r *Rig, v *victims, rng *rand.Rand) error {
	p := v.take(rng)
	if p == nil {
		return nil
	}
	defer v.give(p)
	r.fault()
	r.Net.CutLog(p.ID, rng.IntN(2) == 0, true)
	r.hold(ctx, some(rng))
	r.Net.CutLog(p.ID, false, false)
	return nil
}

func randomCutPeer(ctx context.Context, r *Rig, v *victims, rng *rand.Rand) error {
	p := v.take(rng)
	if p == nil {
		return nil
	}
	defer v.give(p)
	r.fault()
	one := rng.IntN(3)
	r.Net.CutPeer(p.ID, one != 0, one != 1)
	r.hold(ctx, some(rng))
	r.Net.CutPeer(p.ID, false, false)
	return nil
}

func randomLog(faults wire.LogFaults) randomFault {
	return func(ctx context.Context, r *Rig, _ *victims, rng *rand.Rand) error {
		r.SetLog(faults)
		r.hold(ctx, some(rng))
		r.SetLog(wire.LogFaults{})
		return nil
	}
}

func randomMembers(faults wire.MemberFaults) randomFault {
	return func(ctx context.Context, r *Rig, _ *victims, rng *rand.Rand) error {
		r.SetMembers(faults)
		r.hold(ctx, some(rng))
		r.SetMembers(wire.MemberFaults{})
		return nil
	}
}

func randomTarget(faults wire.ServiceFaults) randomFault {
	return func(ctx context.Context, r *Rig, _ *victims, rng *rand.Rand) error {
		targets := r.targetsOf(everyService[rng.IntN(len(everyService))])
		id := targets[rng.IntN(len(targets))]
		r.SetTarget(id, faults)
		r.hold(ctx, some(rng))
		r.SetTarget(id, wire.ServiceFaults{})
		return nil
	}
}
