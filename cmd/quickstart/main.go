// Command quickstart starts the stand-ins and three instances, runs one example
// program through them, prints the calls and stops all processes. It is a
// demonstration.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/testkit"
)

// timeLimit bounds the run, except for the wait with -keep.
const timeLimit = 50 * time.Second

func main() {
	binary := flag.String("instance", "bin/banyanglade", "path of the product's binary")
	logs := flag.String("logs", "", "folder for the instances' logs")
	keep := flag.Bool("keep", false, "leave everything up until interrupted")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, testkit.Options{Binary: *binary, Instances: 3, Standins: testkit.DefaultStandins(), LogDir: *logs}, *keep); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, options testkit.Options, keep bool) error {
	tourCtx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	started := time.Now()
	cluster, err := testkit.Start(tourCtx, options)
	if err != nil {
		return errors.Wrap(err, "start")
	}
	defer cluster.Close()
	if err := cluster.Configure(tourCtx, testkit.DefaultSettings()); err != nil {
		return err
	}
	fmt.Printf("Three instances and the stand-ins are ready after %s.\n", time.Since(started).Round(time.Millisecond))
	if err := newTour(cluster).run(tourCtx); err != nil {
		return err
	}
	if keep {
		waitInterrupt(ctx, cluster)
	}
	return nil
}

func waitInterrupt(ctx context.Context, cluster *testkit.Cluster) {
	fmt.Println("\nAll processes keep running. Try in another shell:")
	for _, p := range cluster.Instances {
		fmt.Printf("  export BANYANGLADE_SERVER=%s   # %s in %s\n", p.Server, p.ID, p.DataCentre)
	}
	fmt.Printf("  export BANYANGLADE_KEY=%s   # the root operator\n", testkit.RootKey)
	fmt.Println("  bin/banyanglade settings get teams")
	fmt.Println("  bin/banyanglade programs list")
	fmt.Println("  bin/banyanglade dump")
	fmt.Printf("The caller's key is %s. Interrupt to stop.\n", testkit.CallerKey)
	<-ctx.Done()
}
