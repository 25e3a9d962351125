// Command proofs runs the failure scenarios of package proofs against a built
// executable, and prints a line for each scenario and the recovery times. It exits
// with status 1 if an invariant was violated. It is a developer tool.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/proofs"
)

// args holds the flags.
type args struct {
	Instance  string   `arg:"--instance" default:"bin/banyanglade" help:"path of the product's binary"`
	Only      []string `arg:"--only" help:"names of the scenarios to run; all if none"`
	Seed      uint64   `arg:"--seed" help:"seed of the load and the random faults; 0 takes the time"`
	Parallel  int      `arg:"--parallel" default:"3" help:"scenarios run at once"`
	Instances []int    `arg:"--instances" help:"numbers of instances of the recovery figures; 1 3 12 if no scenario is named"`
	Kills     int      `arg:"--kills" default:"5" help:"kills for each recovery figure"`
	Keep      bool     `arg:"--keep" help:"keep the evidence of all scenarios, not of the violated ones only"`
	List      bool     `arg:"--list" help:"list the scenarios and end"`
}

// Description returns the introduction of the help text.
func (args) Description() string {
	return "Runs the failure scenarios against real instances and checks what must always hold."
}

// errViolated is returned if a scenario violated an invariant.
var errViolated = errors.New("invariants were violated")

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, a); err != nil {
		fmt.Fprintln(os.Stderr, "proofs:", err)
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, a args) error {
	if a.List {
		printScenarios()
		return nil
	}
	if a.Seed == 0 {
		a.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	scenarios, err := proofs.Find(a.Only)
	if err != nil {
		return err
	}
	if len(a.Only) == 0 && len(a.Instances) == 0 {
		a.Instances = []int{1, 3, 12}
	}
	if len(a.Only) == 0 && len(a.Instances) > 0 && a.recoveryOnly() {
		return printRecovery(ctx, a)
	}
	err = runScenarios(ctx, a, scenarios)
	return errors.CombineErrors(err, printRecovery(ctx, a))
}

// recoveryOnly reports whether only the recovery times are to be measured.
func (a args) recoveryOnly() bool { return a.Parallel == 0 }

func printScenarios() {
	for _, s := range proofs.All() {
		fmt.Printf("%-28s %2d instances  %s\n", s.Name, s.Instances, s.Description)
	}
}
