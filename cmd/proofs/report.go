package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyanglade/banyanglade/internal/proofs"
)

// runScenarios runs the scenarios, up to a.Parallel at once, and prints a line for
// each when it ends.
func runScenarios(ctx context.Context, a args, scenarios []proofs.Scenario) error {
	evidenceDir, err := os.MkdirTemp("", "banyanglade-proofs-")
	if err != nil {
		return err
	}
	fmt.Printf("seed %d, evidence of failures in %s\n", a.Seed, evidenceDir)
	fmt.Printf("%-26s %4s %6s %6s %8s %8s %7s %7s %4s %4s %7s %6s  %s\n", "scenario", "inst", "faults", "calls",
		"answered", "replayed", "not-run", "unknown", "dup", "lost", "refused", "took", "verdict")
	var mu sync.Mutex
	violated := 0
	group := errgroup.Group{}
	group.SetLimit(a.Parallel)
	for _, s := range scenarios {
		group.Go(func() error {
			result := proofs.Run(ctx, a.Instance, s, a.Seed, proofs.EvidenceConfig{Dir: evidenceDir, Always: a.Keep})
			mu.Lock()
			defer mu.Unlock()
			printResult(result)
			if !result.OK() {
				violated++
			}
			return nil
		})
	}
	_ = group.Wait()
	if ctx.Err() != nil {
		return errors.Wrap(ctx.Err(), "interrupted, some of the scenarios above may be incomplete")
	}
	if violated > 0 {
		fmt.Printf("%d of %d scenarios violated invariants; repeat with --seed %d\n", violated, len(scenarios), a.Seed)
		return errViolated
	}
	fmt.Printf("%d scenarios, no violations\n", len(scenarios))
	if a.Keep {
		return nil
	}
	return os.RemoveAll(evidenceDir)
}

// shownViolations is the maximum number of violations printed for a scenario.
const shownViolations = 5

func printResult(r proofs.Result) {
	verdict := "holds"
	if !r.OK() {
		verdict = "VIOLATED"
	}
	c := r.Counts
	fmt.Printf("%-26s %4d %6d %6d %8d %8d %7d %7d %4d %4d %7d %6s  %s\n", r.Scenario.Name, r.Scenario.Instances,
		r.Faults, c.Calls, c.Answered, c.Replayed, c.NotRun, c.Unknown, c.Duplicates, c.Lost, c.WrongRefusals,
		r.Took.Round(100*time.Millisecond), verdict)
	for i, v := range r.Violations {
		if i == shownViolations {
			fmt.Printf("    and %d more, see %s\n", len(r.Violations)-i, r.EvidenceDir)
			break
		}
		fmt.Println("    " + v.String())
	}
}

// printRecovery measures and prints the recovery times.
func printRecovery(ctx context.Context, a args) error {
	for i, instances := range a.Instances {
		if i == 0 {
			fmt.Println("recovery: time from the kill of a program's owner to its next answer")
		}
		r, err := proofs.MeasureRecovery(ctx, a.Instance, instances, a.Kills, a.Seed)
		if err != nil {
			return err
		}
		what := "others go on"
		if instances == 1 {
			what = "restarted at the kill"
		}
		fmt.Printf("  %2d instances (%s): %d kills, median %s, max %s\n", instances, what, len(r.Times),
			r.Median().Round(time.Millisecond), r.Max().Round(time.Millisecond))
	}
	return nil
}
