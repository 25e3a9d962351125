package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
)

// ScenarioOptions describe runs of the usual workload under faults.
type ScenarioOptions struct {
	Setup
	Duration time.Duration
	Seeds    []uint64
	// Scenarios choose among Faults.
	Scenarios []string
}

// faultShare is the part of the run before a fault, and that a fault lasts.
const faultShare = 4

// runLimit bounds a run beyond the time in which programs arrive.
const runLimit = 90 * time.Second

// settleTime is the time between the end of the programs and the last look
// into the engines' caches.
const settleTime = 3 * time.Second

// Result is what one run gave.
type Result struct {
	Scenario string
	Seed     uint64
	Classes  map[string]ClassFigures
	Waste    Waste
	// Appends is the number of appends a second at the log.
	Appends float64
	Errors  []string
	pooled  map[string]*classRecorder
}

// RunScenarios runs each scenario with each seed and prints the figures.
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

// run runs one scenario with one seed in a cluster of its own.
func (o ScenarioOptions) run(ctx context.Context, fault Fault, seed uint64) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Duration+runLimit)
	defer cancel()
	cluster, err := o.start(ctx)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	r := newRun(ctx, cluster, o.Model, o.Classes)
	defer r.close()
	r.warm(ctx)
	waste := startWaste(ctx, r)
	faulted := make(chan struct{})
	go func() {
		defer close(faulted)
		delay.Sleep(ctx, o.Duration/faultShare)
		fault.apply(ctx, cluster, o.Duration/faultShare)
	}()
	before, started := cluster.Log.Stats().Total.Appends, time.Now()
	r.open(ctx, Generate(o.Classes, o.Duration, seed))
	appends := float64(cluster.Log.Stats().Total.Appends-before) / time.Since(started).Seconds()
	<-faulted
	delay.Sleep(ctx, settleTime)
	return r.result(fault.Name, seed, waste.stop(), appends), nil
}

// warm runs a few programs of each class that are not counted, so that shards
// are owned and the shared prefixes cached.
func (r *run) warm(ctx context.Context) {
	const duration, factor, callers = 2 * time.Second, 10, 4
	var classes []Class
	for _, class := range r.classes {
		class.Rate = factor
		classes = append(classes, class)
	}
	r.closed(ctx, Generate(classes, duration, 0), callers)
	for name := range r.figures {
		r.figures[name] = newClassRecorder()
	}
}

func (r *run) result(name string, seed uint64, waste Waste, appends float64) *Result {
	result := &Result{
		Scenario: name, Seed: seed, Waste: waste, Appends: appends,
		Classes: make(map[string]ClassFigures), pooled: r.figures,
	}
	for class, recorder := range r.figures {
		result.Classes[class] = recorder.figures()
	}
	for _, err := range r.errors {
		result.Errors = append(result.Errors, err.Error())
	}
	return result
}
