package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
)

// ScenarioOptions configures runs of the default workload under faults.
type ScenarioOptions struct {
	Setup
	Duration time.Duration
	Seeds    []uint64
	// Scenarios are names of Faults.
	Scenarios []string
}

// faultDivisor divides the duration of a run: a fault starts after that part
// and lasts as long.
const faultDivisor = 4

// drainLimit is the maximum time of a run after the last arrival.
const drainLimit = 90 * time.Second

// cacheSettleTime is the time between the end of the programs and the last
// sample of the engines' caches.
const cacheSettleTime = 3 * time.Second

// Result is the result of one run.
type Result struct {
	Scenario string
	Seed     uint64
	Classes  map[string]ClassStats
	Waste    Waste
	// AppendRate is the number of log appends per second.
	AppendRate float64
	Errors     []string
	pooled     map[string]*classRecorder
}

// RunScenarios runs each scenario with each seed and prints the results.
func RunScenarios(ctx context.Context, out io.Writer, o ScenarioOptions) error {
	fmt.Fprintf(out, "instances %d, engines %d, slots %d, step %s, programs arrive for %s, load average %s\n",
		o.Instances, o.Engines*dataCentres, o.Model.Slots, o.Model.StepBase, o.Duration, LoadAverage())
	printScenarioHeader(out)
	for _, name := range o.Scenarios {
		fault, err := findFault(name)
		if err != nil {
			return err
		}
		var results []*Result
		for _, seed := range o.Seeds {
			result, err := o.run(ctx, fault, seed)
			if err != nil {
				return errors.Wrapf(err, "%s, seed %d", name, seed)
			}
			results = append(results, result)
		}
		printScenario(out, o, results)
	}
	return nil
}

func findFault(name string) (Fault, error) {
	for _, f := range Faults() {
		if f.Name == name {
			return f, nil
		}
	}
	return Fault{}, errors.Newf("no scenario %q", name)
}

// run runs one scenario with one seed in a new cluster.
func (o ScenarioOptions) run(ctx context.Context, fault Fault, seed uint64) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Duration+drainLimit)
	defer cancel()
	cluster, err := o.start(ctx)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	r := newRun(ctx, cluster, o.Model, o.Classes)
	defer r.close()
	r.warmUp(ctx)
	waste := startWasteSampler(ctx, r)
	faulted := make(chan struct{})
	go func() {
		defer close(faulted)
		delay.Sleep(ctx, o.Duration/faultDivisor)
		fault.apply(ctx, cluster, o.Duration/faultDivisor)
	}()
	before, started := cluster.Log.Stats().Total.Appends, time.Now()
	r.runOpenLoop(ctx, Generate(o.Classes, o.Duration, seed))
	appends := float64(cluster.Log.Stats().Total.Appends-before) / time.Since(started).Seconds()
	<-faulted
	delay.Sleep(ctx, cacheSettleTime)
	return r.result(fault.Name, seed, waste.stop(), appends), nil
}

// warmUp runs a few programs of each class and discards their measurements,
// so that shards are owned and the shared prefixes are cached.
func (r *run) warmUp(ctx context.Context) {
	const duration, factor, callers = 2 * time.Second, 10, 4
	var classes []Class
	for _, class := range r.classes {
		class.ArrivalRate = factor
		classes = append(classes, class)
	}
	r.runClosedLoop(ctx, Generate(classes, duration, 0), callers)
	for name := range r.recorders {
		r.recorders[name] = newClassRecorder()
	}
}

func (r *run) result(name string, seed uint64, waste Waste, appends float64) *Result {
	result := &Result{
		Scenario: name, Seed: seed, Waste: waste, AppendRate: appends,
		Classes: make(map[string]ClassStats), pooled: r.recorders,
	}
	for class, recorder := range r.recorders {
		result.Classes[class] = recorder.stats()
	}
	for _, err := range r.errors {
		result.Errors = append(result.Errors, err.Error())
	}
	return result
}
