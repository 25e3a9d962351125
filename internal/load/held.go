package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// HeldOptions configures the measurement of open programs and calls.
type HeldOptions struct {
	Setup
	// Programs are the numbers of programs that stay open between calls,
	// Calls the numbers of concurrent calls, waiting or running.
	Programs, Calls []int
}

// journalSettleTime is the time for the journals to flush before a reading.
const journalSettleTime = 2 * time.Second

// openWorkers is the number of programs opened concurrently.
const openWorkers = 32

// RunHeld measures the memory and goroutines of the instances, first with open
// programs that have made one call each, then with concurrent calls.
func RunHeld(ctx context.Context, out io.Writer, o HeldOptions) error {
	dir, err := os.MkdirTemp("", "banyanglade-load-")
	if err != nil {
		return errors.Wrap(err, "create log directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	o.LogDir = dir
	fmt.Fprintf(out, "instances %d; means an instance; load average %s\n", o.Instances, LoadAverage())
	fmt.Fprintln(out, markdownRow("held, all instances", "RSS MiB", "goroutines"))
	fmt.Fprintln(out, markdownRow("---", "---", "---"))
	for _, programs := range o.Programs {
		if err := o.measure(ctx, out, programs, 0); err != nil {
			return err
		}
	}
	for _, calls := range o.Calls {
		if err := o.measure(ctx, out, 0, calls); err != nil {
			return err
		}
	}
	return nil
}

func (o HeldOptions) measure(ctx context.Context, out io.Writer, programs, calls int) error {
	cluster, err := o.start(ctx)
	if err != nil {
		return err
	}
	defer cluster.Close()
	r := newRun(ctx, cluster, o.Model, o.Classes)
	defer r.close()
	r.balancer.close()
	if err := r.openPrograms(ctx, programs); err != nil {
		return err
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for i := range calls {
		group.Go(func() { r.longCall(waiting, uint64(i)) })
	}
	delay.Sleep(ctx, journalSettleTime)
	reading, err := r.takeReading()
	if err != nil {
		return err
	}
	stats := costBetween(reading, reading)
	count, err := o.meanGoroutines(cluster)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%d programs, %d calls", programs, calls)
	fmt.Fprintln(out, markdownRow(name, fmt.Sprintf("%.1f", stats.RSS), fmt.Sprintf("%.0f", count)))
	return nil
}

// openPrograms opens programs and makes one short chat in each.
func (r *run) openPrograms(ctx context.Context, programs int) error {
	var group sync.WaitGroup
	failures := make([]error, openWorkers)
	for worker := range openWorkers {
		group.Go(func() {
			c := r.newClearanceCaller(uint64(worker))
			for n := worker; n < programs && failures[worker] == nil; n += openWorkers {
				failures[worker] = r.shortProgram(ctx, c)
			}
		})
	}
	group.Wait()
	return errors.Join(failures...)
}

func (r *run) newClearanceCaller(seed uint64) *caller {
	return &caller{
		key: callerKey(ClassClearance), http: r.http, balancer: r.balancer,
		recorder: r.recorders[ClassClearance], random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// shortProgram opens a program, makes one chat and leaves the program open.
func (r *run) shortProgram(ctx context.Context, c *caller) error {
	const output = 4
	id, err := c.open(ctx)
	if err != nil {
		return err
	}
	l := &lane{run: r, caller: c, program: id}
	_, err = l.runSteps(ctx, []Step{{Kind: StepChat, InputTokens: 1, OutputTokens: output}})
	return err
}

// longCall makes a chat that lasts until it is cancelled.
func (r *run) longCall(ctx context.Context, seed uint64) {
	const tokens = 30_000
	c := r.newClearanceCaller(seed)
	client := &testkit.Client{Server: r.balancer.pick(c.random), Key: c.key, HTTP: r.http}
	_, _ = client.Chat(ctx, wire.ChatRequest{
		Model: testkit.ModelService, MaxTokens: tokens, Stream: true,
		Messages: []wire.ChatMessage{{Role: "user", Content: fmt.Sprintf("tokens=%d", tokens)}},
	}, testkit.Call{})
}

// meanGoroutines returns the mean number of goroutines per instance. It ends
// all instances.
func (o HeldOptions) meanGoroutines(c *testkit.Cluster) (float64, error) {
	total := 0
	for _, p := range c.Instances {
		count, err := o.goroutines(p)
		if err != nil {
			return 0, err
		}
		total += count
	}
	return float64(total) / float64(len(c.Instances)), nil
}

// goroutines counts the goroutines of a process by the dump that SIGQUIT
// triggers, which ends the process.
func (o HeldOptions) goroutines(p *testkit.Process) (int, error) {
	if err := syscall.Kill(p.PID(), syscall.SIGQUIT); err != nil {
		return 0, errors.Wrap(err, "signal")
	}
	<-p.Exited()
	dump, err := os.ReadFile(filepath.Join(o.LogDir, p.ID+".log"))
	return countGoroutines(string(dump)), errors.Wrap(err, "dump")
}

// countGoroutines counts the goroutine headers of a dump.
func countGoroutines(dump string) int {
	count := 0
	for _, line := range strings.Split(dump, "\n") {
		if strings.HasPrefix(line, "goroutine ") && strings.HasSuffix(line, ":") {
			count++
		}
	}
	return count
}
