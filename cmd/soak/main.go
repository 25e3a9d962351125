// Command soak runs the randomized fault test (package soak) against a built
// executable, one run per seed, and prints the violations.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/banyanglade/banyanglade/internal/soak"
)

type args struct {
	Binary    string        `arg:"--binary" default:"bin/banyanglade" help:"the program of the instances"`
	First     uint64        `arg:"--first" default:"1" help:"the first seed"`
	Seeds     int           `arg:"--seeds" default:"10" help:"how many seeds are played"`
	Parallel  int           `arg:"--parallel" default:"2" help:"how many at a time"`
	Faults    time.Duration `arg:"--faults" default:"15s" help:"how long faults are brought about, each seed"`
	Grace     time.Duration `arg:"--grace" default:"6s" help:"the time from SIGTERM to SIGKILL"`
	Instances int           `arg:"--instances" default:"4"`
	Programs  int           `arg:"--programs" default:"12" help:"how many programs run at a time"`
	LateEnds  bool          `arg:"--late-ends" help:"some requests end their target after the caller left"`
	Crowds    bool          `arg:"--bad-clients" help:"crowds of clients do not keep to the protocol"`
	Keep      string        `arg:"--keep" help:"folder for the logs of seeds that failed"`
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if failed := a.runSeeds(ctx); failed > 0 {
		fmt.Printf("%d of %d seeds failed\n", failed, a.Seeds)
		os.Exit(1)
	}
	fmt.Printf("%d seeds, none failed\n", a.Seeds)
}

// runSeeds runs all seeds and returns how many failed.
func (a *args) runSeeds(ctx context.Context) int {
	var mu sync.Mutex
	var work sync.WaitGroup
	failed := 0
	slots := make(chan struct{}, a.Parallel)
	for i := range a.Seeds {
		slots <- struct{}{}
		work.Go(func() {
			defer func() { <-slots }()
			ok := a.runSeed(ctx, a.First+uint64(i))
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				failed++
			}
		})
	}
	work.Wait()
	return failed
}

// runSeed runs one seed and returns whether it passed. Its logs are kept if not.
func (a *args) runSeed(ctx context.Context, seed uint64) bool {
	dir, err := os.MkdirTemp(a.Keep, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		fmt.Println("create the log folder:", err)
		return false
	}
	result, err := soak.Run(ctx, soak.Options{
		Binary: a.Binary, Dir: dir, Seed: seed, FaultDuration: a.Faults, Instances: a.Instances, Programs: a.Programs,
		EntryFaults: true, LoadFaults: true, Versions: true, DeadlyRequests: true, LateEnds: a.LateEnds, BadClients: a.Crowds, GracePeriod: a.Grace,
	})
	if err == nil && len(result.Violations) == 0 {
		fmt.Printf("seed %d: %d of %d attempts served, %d of %d resumed streams continued, %d targets ended under %d requests, "+
			"%d others refused for good, %d faults\n",
			seed, result.Served, result.Attempts, result.Continued, result.Resumed, result.Ended, result.Deadly, result.Innocent, len(result.Faults))
		_ = os.RemoveAll(dir)
		return true
	}
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	report, err := os.Create(filepath.Join(dir, "report.txt"))
	if err != nil {
		fmt.Println("write the report:", err)
		return false
	}
	defer func() { _ = report.Close() }() // best effort
	for _, line := range append(result.Violations, result.Faults...) {
		_, _ = fmt.Fprintln(report, line)
	}
	fmt.Printf("seed %d FAILED, logs in %s\n", seed, dir)
	for _, v := range result.Violations[:min(5, len(result.Violations))] {
		fmt.Println("  ", v)
	}
	return false
}
