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
	// Faults is how long faults are brought about.
	Faults time.Duration
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
	// startPatience bounds the wait for instances at the start and at the end.
	startPatience = time.Minute
	// entryStream is the stream of a seed's numbers that the faults of entries are
	// drawn from.
	entryStream = 3
	// loadStream is the same for the faults of load.
	loadStream = 5
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
	ready, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	if err := d.untilReady(ready); err != nil {
		return nil, err
	}
	f := &faults{
		deployment: d, rng: rand.New(rand.NewPCG(options.Seed, 1)), begun: time.Now(),
		restarting: make(map[*machine]bool),
	}
	found := d.play(ctx, f)
	result := &Result{Seed: options.Seed, Served: d.history.served(), Attempts: len(d.history.attempts), Faults: f.lines}
	if len(found) == 0 {
		found = d.checkService(ctx)
	}
	for _, v := range found {
		result.Violations = append(result.Violations, v.String())
	}
	return result, f.err
}

// play runs callers beside the faults, and stops early when a promise breaks.
func (d *deployment) play(ctx context.Context, f *faults) []violation {
	during, stop := context.WithTimeout(ctx, d.options.Faults)
	defer stop()
	var work sync.WaitGroup
	for i := range d.options.Programs {
		work.Go(func() { d.runPrograms(during, d.options.Seed*1000+uint64(i)) })
	}
	for i, m := range d.machines {
		work.Go(func() { d.watchSettings(during, m, d.options.Seed*1000+500+uint64(i)) })
	}
	work.Go(func() { d.heartbeats(during) })
	if d.options.EntryFaults {
		work.Go(func() { f.runEntries(during, rand.New(rand.NewPCG(d.options.Seed, entryStream))) })
	}
	if d.options.LoadFaults {
		work.Go(func() { f.runLoads(during, rand.New(rand.NewPCG(d.options.Seed, loadStream))) })
	}
	work.Go(func() { f.run(during) })
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for during.Err() == nil {
		select {
		case <-during.Done():
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

func (d *deployment) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		d.beat()
		delay.Sleep(ctx, heartbeatInterval)
	}
}

// checkService finds instances that do not serve once all faults are over.
func (d *deployment) checkService(ctx context.Context) []violation {
	limited, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	if err := d.untilReady(limited); err != nil {
		return []violation{{"service comes back", err.Error()}}
	}
	d.beat()
	for i, m := range d.machines {
		if err := d.serves(limited, m, d.options.Seed*1000+900+uint64(i)); err != nil {
			return []violation{{"service comes back", err.Error()}}
		}
	}
	return check(d.history)
}

// keptAtLast is how many kept turns each machine continues once all faults are
// over.
const keptAtLast = 8

// serves runs a new program's turn and a call at one machine until both are
// answered.
func (d *deployment) serves(ctx context.Context, m *machine, seed uint64) error {
	c := d.newCaller(seed)
	c.machine = m
	defer c.client.CloseIdleConnections()
	program := fmt.Sprintf("last%x", c.rng.Uint64())
	const budget = 100 * turnMost
	d.history.open(program, budget)
	questions := []question{
		turnOf(program, budget, 3, 0),
		{kind: once, path: "/once/x", program: program, body: "last"},
	}
	for range keptAtLast {
		q := turnOf(program, budget, 1, c.rng.Uint64())
		questions = append(questions, q.continuing(d.history.anyKept(c.rng, c.organisation.name)))
	}
	for _, q := range questions {
		for answered := false; !answered; {
			if ctx.Err() != nil {
				return errors.Newf("machine %s does not answer a %s request", m.name, q.kind)
			}
			a := c.send(ctx, q)
			answered = a.served() || a.status == statusNotFound // which the check judges
			if !answered {
				delay.Sleep(ctx, probeInterval)
			}
		}
	}
	return nil
}
