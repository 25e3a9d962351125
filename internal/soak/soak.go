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

// Options configures a run.
type Options struct {
	// Binary is the path of the executable of the instances.
	Binary string
	// Dir is the directory for settings files and logs.
	Dir string
	// Seed determines the faults and the requests of callers.
	Seed uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Instances and Programs are the numbers of instances and of concurrent
	// programs.
	Instances int
	Programs  int
	// EntryFaults adds targets that restart with the same id, and invalid target
	// entries of other writers. It does not change the other faults of a seed.
	EntryFaults bool
	// LoadFaults adds slow targets, targets with few slots, bursts of programs, a
	// slow store and slow readers.
	LoadFaults bool
	// Versions adds engines of several software versions, which are rolled forward and
	// back, and callers that resume their streams.
	Versions bool
	// BadClients adds crowds of clients that do not keep to the protocol, and bounds the
	// machines of the instances.
	BadClients bool
	// GracePeriod is the time from SIGTERM to SIGKILL, by default DefaultGracePeriod.
	// Requests outlast a short one.
	GracePeriod time.Duration
	// DeadlyRequests adds requests that end the target that runs them.
	DeadlyRequests bool
	// LateEnds makes some of these end their target after the caller left.
	LateEnds bool
}

// DefaultGracePeriod is longer than any request.
const DefaultGracePeriod = 6 * time.Second

// Result is the outcome of a run.
type Result struct {
	Seed uint64
	// Violations describes the violated invariants.
	Violations []string
	// Served counts complete successful responses, Attempts all requests.
	Served   int
	Attempts int
	// Resumed counts the attempts that resume a stream, Continued those that were not
	// refused.
	Resumed   int
	Continued int
	// Deadly counts the requests that end targets, Ended the targets that ended under
	// them, Innocent other requests that were refused for good.
	Deadly, Ended, Innocent int
	// Faults lists the injected faults with their start times.
	Faults []string
}

const (
	// readyTimeout bounds the wait for instances at the start, and the checks of the
	// service at the end.
	readyTimeout = time.Minute
	// entryFaultStream is the random stream of the entry faults of a seed.
	entryFaultStream = 3
	// loadFaultStream is the random stream of the load faults of a seed.
	loadFaultStream = 5
	// versionStream is the random stream of the changes of software versions of a seed.
	versionStream = 11
	// deadlyStream is the random stream of the requests that end targets.
	deadlyStream = 13
	// badClientStream is the random stream of the crowds of clients outside the limits.
	badClientStream = 17
	// checkInterval is the time between two checks of the history.
	checkInterval = time.Second
)

// Run runs the test with one seed.
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
	result.Resumed, result.Continued = d.history.resumed()
	result.Deadly, result.Ended, result.Innocent = d.history.deadly()
	if len(found) == 0 {
		found = d.checkService(ctx)
	}
	for _, v := range found {
		result.Violations = append(result.Violations, v.String())
	}
	return result, inj.err
}

// runWorkload runs callers while faults are injected, and stops early on a violation.
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
	if d.options.Versions {
		work.Go(func() { inj.runVersionRolls(faultCtx, rand.New(rand.NewPCG(d.options.Seed, versionStream))) })
	}
	if d.options.DeadlyRequests {
		work.Go(func() {
			d.runDeadlyRequests(faultCtx, rand.New(rand.NewPCG(d.options.Seed, deadlyStream)))
			d.ending.Wait()
		})
	}
	if d.options.BadClients {
		work.Go(func() { inj.runBadClients(faultCtx, rand.New(rand.NewPCG(d.options.Seed, badClientStream))) })
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

// runPrograms runs programs one after the other until the context ends.
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

// checkService checks that all instances serve requests once the faults are over.
func (d *deployment) checkService(ctx context.Context) []violation {
	waitCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.waitReady(waitCtx); err != nil {
		return []violation{{"service recovers", err.Error()}}
	}
	d.writeHeartbeats()
	for i, inst := range d.instances {
		if err := d.checkInstanceServes(waitCtx, inst, d.options.Seed*1000+900+uint64(i)); err != nil {
			return []violation{{"service recovers", err.Error()}}
		}
	}
	return check(d.history)
}

// finalStoredTurns is the number of stored turns continued at each instance once the
// faults are over.
const finalStoredTurns = 8

// checkInstanceServes retries a turn and a call of a new program, and stored turns of
// others, at one instance until all are served.
func (d *deployment) checkInstanceServes(ctx context.Context, inst *instance, seed uint64) error {
	c := d.newCaller(seed)
	c.instance = inst
	defer c.transport.CloseIdleConnections()
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
		for served := false; !served; {
			if ctx.Err() != nil {
				return errors.Newf("instance %s does not serve a %s request", inst.name, req.kind)
			}
			a := c.send(ctx, req)
			served = a.served() || a.status == statusNotFound // judged by check
			if !served {
				delay.Sleep(ctx, probeInterval)
			}
		}
	}
	return nil
}
