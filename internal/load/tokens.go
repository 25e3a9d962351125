package load

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
)

// TokenOptions configures the measurement of the cost per call and per token.
type TokenOptions struct {
	Setup
	// Tokens are the response lengths to measure. For each length, Callers
	// callers make Calls calls in total, Repeats times.
	Tokens         []int
	Calls, Callers int
	Repeats        int
}

// callCost is the cost of one call, summed over all instances.
type callCost struct {
	milliseconds, control, data, appends float64
}

// RunTokens makes calls of several response lengths and prints the cost per
// call, summed over all instances, with linear fits.
func RunTokens(ctx context.Context, out io.Writer, o TokenOptions) error {
	cluster, err := o.start(ctx)
	if err != nil {
		return err
	}
	defer cluster.Close()
	r := newRun(ctx, cluster, o.Model, o.Classes)
	defer r.close()
	r.warmUp(ctx)
	r.balancer.close()
	fmt.Fprintf(out, "instances %d, callers %d; a call, all instances together\n", o.Instances, o.Callers)
	fmt.Fprintln(out, markdownRow("tokens", "CPU ms", "peer control B", "peer data B", "log appends", "load average"))
	fmt.Fprintln(out, markdownRow("---", "---", "---", "---", "---", "---"))
	var x, cpu, control, data []float64
	for _, tokens := range o.Tokens {
		for range o.Repeats {
			cost, err := o.measure(ctx, r, tokens)
			if err != nil {
				return errors.Wrapf(err, "%d tokens", tokens)
			}
			fmt.Fprintln(out, markdownRow(fmt.Sprint(tokens), fmt.Sprintf("%.2f", cost.milliseconds),
				fmt.Sprintf("%.0f", cost.control), fmt.Sprintf("%.0f", cost.data),
				fmt.Sprintf("%.2f", cost.appends), LoadAverage()))
			x, cpu = append(x, float64(tokens)), append(cpu, cost.milliseconds)
			control, data = append(control, cost.control), append(data, cost.data)
		}
	}
	for _, line := range []struct {
		name string
		y    []float64
	}{{"CPU ms", cpu}, {"peer control B", control}, {"peer data B", data}} {
		fit := FitLine(x, line.y)
		fmt.Fprintf(out, "fit %s a call: %.4g + %.4g * tokens\n", line.name, fit.Intercept, fit.Slope)
	}
	return nil
}

func (o TokenOptions) measure(ctx context.Context, r *run, tokens int) (callCost, error) {
	var programs []*Program
	for i := range o.Calls {
		programs = append(programs, &Program{
			Class: o.Classes[0].Name, Seed: uint64(i),
			Steps: []Step{{Kind: StepChat, InputTokens: 1, OutputTokens: tokens}},
		})
	}
	before, err := r.takeReading()
	if err != nil {
		return callCost{}, err
	}
	r.runClosedLoop(ctx, programs, o.Callers)
	// Journals and metrics are updated after the calls end.
	delay.Sleep(ctx, journalSettleTime)
	after, err := r.takeReading()
	if err != nil {
		return callCost{}, err
	}
	calls := float64(o.Calls)
	var cost callCost
	for i, u := range after.usage {
		cost.milliseconds += (u.cpu - before.usage[i].cpu).Seconds() * milli / calls
	}
	sum := func(names ...string) (total float64) {
		for _, name := range names {
			total += after.metrics[name] - before.metrics[name]
		}
		return total / calls
	}
	cost.control = sum(metricControlSent, metricControlReceived)
	cost.data = sum(metricDataSent, metricDataReceived)
	cost.appends = float64(after.appends-before.appends) / calls
	return cost, nil
}
