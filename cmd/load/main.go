// Command load runs load tests against instances with stand-in targets, and prints
// latencies at the callers and the resource usage of the instances; see package
// load.
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
	Cost     *costCommand     `arg:"subcommand:cost" help:"what an instance spends, by the number of instances"`
	List     *listCommand     `arg:"subcommand:list" help:"what an idle instance spends, by the length of the membership list"`
	Changes  *changesCommand  `arg:"subcommand:changes" help:"time until a change of the settings is in force everywhere"`
	Tokens   *tokensCommand   `arg:"subcommand:tokens" help:"what a call and a token cost"`
	Held     *heldCommand     `arg:"subcommand:held" help:"memory and goroutines of programs and calls that are held"`
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

type costCommand struct {
	Sizes   []int `arg:"positional" help:"numbers of instances (default: 3 6 12 24 48)"`
	Engines int   `arg:"--engines" default:"1" help:"engines in each of three data centres"`
}

type listCommand struct {
	Entries []int `arg:"positional" help:"numbers of further entries (default: 1 400 800 1600)"`
}

type changesCommand struct {
	Count int     `arg:"--count" default:"40" help:"number of changes"`
	Rate  float64 `arg:"--rate" default:"2" help:"most changes a second"`
}

type tokensCommand struct {
	Tokens  []int `arg:"positional" help:"lengths of the answers (default: 20 200 500)"`
	Calls   int   `arg:"--calls" default:"200" help:"calls of each length"`
	Callers int   `arg:"--callers" default:"8" help:"callers at once"`
}

type heldCommand struct {
	Programs []int `arg:"--programs" help:"numbers of paused programs (default: 0 1000 4000)"`
	Calls    []int `arg:"--calls" help:"numbers of calls at once (default: 60)"`
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
	case args.Cost != nil:
		err = args.cost(ctx)
	case args.List != nil:
		err = args.list(ctx)
	case args.Changes != nil:
		err = args.changes(ctx)
	case args.Tokens != nil:
		err = args.tokens(ctx)
	case args.Held != nil:
		err = args.held(ctx)
	default:
		parser.Fail("missing subcommand")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (a arguments) setup() load.Setup {
	return load.Setup{
		Binary: a.Instance, Instances: a.Instances, Engines: 1,
		Model: load.DefaultModel(), Classes: load.DefaultClasses(a.Load),
	}
}

func (a arguments) scenario(ctx context.Context) error {
	o := load.ScenarioOptions{Setup: a.setup(), Duration: a.Duration, Seeds: a.Seeds, Scenarios: a.Scenario.Names}
	o.Engines, o.Model.Slots, o.Model.StepBase = a.Scenario.Engines, a.Scenario.Slots, a.Scenario.Step
	o.IdleTimeout = "10s"
	if len(o.Scenarios) == 0 {
		for _, f := range load.Faults() {
			o.Scenarios = append(o.Scenarios, f.Name)
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
	// Prefill costs no time, so that direct calls do not depend on the prefix cache.
	o.Model.StepPerPrefillToken, o.Model.PrefillChunk = -1, engine.DefaultCacheCapacity
	return load.RunOverhead(ctx, os.Stdout, o)
}

func (a arguments) costOptions() load.CostOptions {
	return load.CostOptions{Setup: a.setup(), Window: a.Duration, Repeats: a.Repeats, Seed: a.Seeds[0]}
}

func (a arguments) cost(ctx context.Context) error {
	o := a.costOptions()
	o.Engines = a.Cost.Engines
	o.Sizes = orDefault(a.Cost.Sizes, 3, 6, 12, 24, 48)
	return load.RunCost(ctx, os.Stdout, o)
}

func (a arguments) list(ctx context.Context) error {
	o := a.costOptions()
	o.ListSizes = orDefault(a.List.Entries, 1, 400, 800, 1600)
	return load.RunList(ctx, os.Stdout, o)
}

func (a arguments) changes(ctx context.Context) error {
	o := load.ChangeOptions{Setup: a.setup(), Changes: a.Changes.Count, Rate: a.Changes.Rate}
	return load.RunChanges(ctx, os.Stdout, o)
}

func (a arguments) tokens(ctx context.Context) error {
	o := load.TokenOptions{
		Setup: a.setup(), Tokens: orDefault(a.Tokens.Tokens, 20, 200, 500),
		Calls: a.Tokens.Calls, Callers: a.Tokens.Callers, Repeats: a.Repeats,
	}
	return load.RunTokens(ctx, os.Stdout, o)
}

func (a arguments) held(ctx context.Context) error {
	o := load.HeldOptions{
		Setup:    a.setup(),
		Programs: orDefault(a.Held.Programs, 0, 1000, 4000), Calls: orDefault(a.Held.Calls, 60),
	}
	return load.RunHeld(ctx, os.Stdout, o)
}

func orDefault(values []int, defaults ...int) []int {
	if len(values) == 0 {
		return defaults
	}
	return values
}
