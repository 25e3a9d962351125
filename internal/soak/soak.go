package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
)

// Options are what a run needs.
type Options struct {
	// Binary is the program of the instances.
	Binary string
	// Dir is a folder for settings files and logs.
	Dir string
	// Seed decides on the faults and on what callers do.
	Seed uint64
	// FaultDuration is how long faults are brought about.
	FaultDuration time.Duration
	// Instances and Programs are how many run at a time.
	Instances int
	Programs  int
	// EntryFaults adds targets that start again under their ids and entries of
	// other writers. Without it a seed plays the same faults as before the option
	// existed.
	EntryFaults bool
	// LoadFaults adds slow and small targets, bursts, a slow store and callers
	// that do not read.
	LoadFaults bool
}

// Result is what a run showed.
type Result struct {
	Seed uint64
	// Violations are the promises that were broken.
	Violations []string
	// Served counts whole answers, Attempts all requests.
	Served   int
	Attempts int
	// Faults tells what happened when.
	Faults []string
}

const (
	// readyTimeout bounds the wait for instances at the start and at the end.
	readyTimeout = time.Minute
	// entryFaultStream is the stream of a seed's numbers that the faults of entries are
	// drawn from.
	entryFaultStream = 3
	// loadFaultStream is the same for the faults of load.
	loadFaultStream = 5
	// checkInterval is the time between two looks at the history.
	checkInterval = time.Second
)

// Run plays one seed.
func Run(ctx context.Context, options Options) (*Result, error) {
	d, err := newDeployment(options)
	if err != nil {
		return nil, err
	}
	defer d.close()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.waitReady(ready); err != nil {
		return nil, err
	}
	inj := &injector{
		deployment: d, rng: rand.New(rand.NewPCG(options.Seed, 1)), started: time.Now(),
		restarting: make(map[*instance]bool),
	}
	found := d.runWorkload(ctx, inj)
	result := &Result{Seed: options.Seed, Served: d.history.served(), Attempts: len(d.history.attempts), Faults: inj.log}
	if len(found) == 0 {
		found = d.checkService(ctx)
	}
	for _, v := range found {
		result.Violations = append(result.Violations, v.String())
	}
	return result, inj.err
}

// runWorkload runs callers beside the faults, and stops early when a promise breaks.
func (d *deployment) runWorkload(ctx context.Context, inj *injector) []violation {
	faultCtx, stop := context.WithTimeout(ctx, d.options.FaultDuration)
	defer stop()
	var work sync.WaitGroup
	for i := range d.options.Programs {
		work.Go(func() { d.runPrograms(faultCtx, d.options.Seed*1000+uint64(i)) })
	}
	for i, inst := range d.instances {
		work.Go(func() { d.probeSettings(faultCtx, inst, d.options.Seed*1000+500+uint64(i)) })
	}
	work.Go(func() { d.runHeartbeats(faultCtx) })
	if d.options.EntryFaults {
		work.Go(func() { inj.runEntryFaults(faultCtx, rand.New(rand.NewPCG(d.options.Seed, entryFaultStream))) })
	}
	if d.options.LoadFaults {
		work.Go(func() { inj.runLoadFaults(faultCtx, rand.New(rand.NewPCG(d.options.Seed, loadFaultStream))) })
	}
	work.Go(func() { inj.run(faultCtx) })
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for faultCtx.Err() == nil {
		select {
		case <-faultCtx.Done():
		case <-ticker.C:
			if len(check(d.history)) > 0 {
				stop()
			}
		}
	}
	work.Wait()
	return check(d.history)
}

// runPrograms runs one program after the other.
func (d *deployment) runPrograms(ctx context.Context, seed uint64) {
	for number := uint64(0); ctx.Err() == nil; number++ {
		d.runProgram(ctx, seed*10_000+number)
	}
}

func (d *deployment) runHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		d.writeHeartbeats()
		delay.Sleep(ctx, heartbeatInterval)
	}
}

// checkService finds instances that do not serve once all faults are over.
func (d *deployment) checkService(ctx context.Context) []violation {
	waitCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.waitReady(waitCtx); err != nil {
		return []violation{{"service comes back", err.Error()}}
	}
	d.writeHeartbeats()
	for i, inst := range d.instances {
		if err := d.checkInstanceServes(waitCtx, inst, d.options.Seed*1000+900+uint64(i)); err != nil {
			return []violation{{"service comes back", err.Error()}}
		}
	}
	return check(d.history)
}

// finalStoredTurns is how many kept turns each machine continues once all faults are
// over.
const finalStoredTurns = 8

// checkInstanceServes runs a new program's turn and a call at one machine until both are
// answered.
func (d *deployment) checkInstanceServes(ctx context.Context, inst *instance, seed uint64) error {
	c := d.newCaller(seed)
	c.instance = inst
	defer c.client.CloseIdleConnections()
	program := fmt.Sprintf("last%x", c.rng.Uint64())
	const budget = 100 * maxTurnTokens
	d.history.recordProgram(program, budget)
	requests := []request{
		newTurn(program, budget, 3, 0),
		{kind: once, path: "/once/x", program: program, body: "last"},
	}
	for range finalStoredTurns {
		req := newTurn(program, budget, 1, c.rng.Uint64())
		requests = append(requests, req.asStoredTurn(d.history.randomStoredTurn(c.rng, c.organisation.name)))
	}
	for _, req := range requests {
		for done := false; !done; {
			if ctx.Err() != nil {
				return errors.Newf("machine %s does not answer a %s request", inst.name, req.kind)
			}
			a := c.send(ctx, req)
			done = a.served() || a.status == statusNotFound // which the check judges
			if !done {
				delay.Sleep(ctx, probeInterval)
			}
		}
	}
	return nil
}
