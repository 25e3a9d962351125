// Command load drives real instances beside stand-in targets and prints what
// callers see and what control costs; see package load.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/banyanglade/banyanglade/internal/load"
	"github.com/banyanglade/banyanglade/internal/standin/engine"
)

type arguments struct {
	Instance  string        `arg:"--instance" default:"bin/banyanglade" placeholder:"PATH" help:"the product's binary"`
	Instances int           `arg:"--instances" default:"3" help:"number of instances"`
	Duration  time.Duration `arg:"--duration" default:"20s" help:"time in which programs arrive, or length of a window"`
	Seeds     []uint64      `arg:"--seeds" help:"seeds of the workload (default: 1)"`
	Load      float64       `arg:"--load" default:"3" help:"factor of the arrival rates"`
	Repeats   int           `arg:"--repeats" default:"3" help:"repetitions of each figure"`

	Scenario *scenarioCommand `arg:"subcommand:scenario" help:"the usual workload, quiet and under faults"`
	Overhead *overheadCommand `arg:"subcommand:overhead" help:"the path's own time beside direct calls at the engines"`
}

type scenarioCommand struct {
	Names   []string      `arg:"positional" help:"quiet, kill, pause, slow-runner, log-down, data-centre (default: all)"`
	Engines int           `arg:"--engines" default:"2" help:"engines in each of three data centres"`
	Slots   int           `arg:"--slots" default:"4" help:"slots of an engine"`
	Step    time.Duration `arg:"--step" default:"10ms" help:"duration of an engine step"`
}

type overheadCommand struct {
	Callers  int `arg:"--callers" default:"1" help:"callers at once"`
	Programs int `arg:"--programs" default:"20" help:"programs of each caller and repetition"`
}

func main() {
	args := arguments{Seeds: []uint64{1}}
	parser := arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case args.Scenario != nil:
		err = args.scenario(ctx)
	case args.Overhead != nil:
		err = args.overhead(ctx)
	default:
		parser.Fail("a subcommand is missing")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (a arguments) setup() load.Setup {
	return load.Setup{
		Binary: a.Instance, Instances: a.Instances, Engines: 1,
		Model: load.DefaultModel(), Classes: load.UsualClasses(a.Load),
	}
}

func (a arguments) scenario(ctx context.Context) error {
	o := load.ScenarioOptions{Setup: a.setup(), Duration: a.Duration, Seeds: a.Seeds, Names: a.Scenario.Names}
	o.Engines, o.Model.Slots, o.Model.StepBase = a.Scenario.Engines, a.Scenario.Slots, a.Scenario.Step
	o.IdleTimeout = "5s"
	if len(o.Names) == 0 {
		for _, f := range load.Faults() {
			o.Names = append(o.Names, f.Name)
		}
	}
	return load.RunScenarios(ctx, os.Stdout, o)
}

func (a arguments) overhead(ctx context.Context) error {
	const calls, tokens = 10, 20
	o := load.OverheadOptions{
		Setup: a.setup(), Programs: a.Overhead.Programs, Calls: calls, Tokens: tokens,
		Callers: a.Overhead.Callers, Repeats: a.Repeats,
	}
	// Without a cost of the prompt, direct calls need no cache.
	o.Model.StepPerPrefillToken, o.Model.PrefillChunk = -1, engine.DefaultCacheCapacity
	return load.RunOverhead(ctx, os.Stdout, o)
}
