// Command bench compares scheduling policies of the dispatcher on simulated
// workloads; see package bench.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/banyanglade/banyanglade/internal/bench"
)

type arguments struct {
	Workload  []string      `arg:"--workload,separate" help:"workload to run; repeatable; all by default"`
	Variant   []string      `arg:"--variant,separate" help:"variant to run; repeatable; the baselines and the full rule set by default"`
	Ablations bool          `arg:"--ablations" help:"run also the full rule set with each rule switched off"`
	Seeds     []uint64      `arg:"--seeds" help:"seeds of the workloads"`
	Engines   int           `arg:"--runners" help:"number of engines"`
	Load      float64       `arg:"--load" help:"factor of the arrival rates"`
	Duration  time.Duration `arg:"--duration" help:"time in which programs arrive"`
	Parallel  int           `arg:"--parallel" help:"runs at a time"`
	JSON      string        `arg:"--json" help:"file for the figures as JSON"`
}

func main() {
	o := bench.DefaultOptions()
	args := arguments{
		Seeds: o.Seeds, Engines: o.Engines, Load: o.LoadFactor, Duration: o.Duration, Parallel: o.Parallel,
	}
	arg.MustParse(&args)
	o.Workloads, o.Variants, o.Seeds, o.Engines = args.Workload, args.Variant, args.Seeds, args.Engines
	o.Ablations = args.Ablations
	o.LoadFactor, o.Duration, o.Parallel, o.JSONFile = args.Load, args.Duration, args.Parallel, args.JSON
	if err := bench.Run(os.Stdout, o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
