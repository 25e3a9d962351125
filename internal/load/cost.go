package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// CostOptions describe the measurement of what control costs an instance.
type CostOptions struct {
	Setup
	// Sizes are the numbers of instances.
	Sizes []int
	// ListSizes is the number of further entries in the membership list.
	ListSizes []int
	Window    time.Duration
	Repeats   int
	// Seed is the workload's.
	Seed uint64
}

// settleWindow is the time that a cluster is left alone before it is measured.
const settleWindow = 4 * time.Second

// Names of the metrics that the driver reads.
const (
	metricControlSent     = "banyanglade_peer_sent_control_bytes"
	metricControlReceived = "banyanglade_peer_received_control_bytes"
	metricDataSent        = "banyanglade_peer_sent_data_bytes"
	metricDataReceived    = "banyanglade_peer_received_data_bytes"
	metricLogReads        = "banyanglade_log_reads"
	metricPolls           = "banyanglade_members_polls"
	metricTicks           = "banyanglade_core_ticks"
)

// CostFigures are means over the instances in one window, a second and
// instance.
type CostFigures struct {
	// CPU is the share of a core in per cent, RSS in MiB, IO the bytes a
	// second of all reads and writes, sockets included.
	CPU, RSS, IO float64
	// Control and Data are the bytes a second between instances, both ways.
	Control, Data float64
	// Reads and Polls are the requests a second for the log and the
	// membership list, Ticks those of the core.
	Reads, Polls, Ticks float64
	// Appends and Calls are for all instances together.
	Appends, Calls float64
}

// reading is what was read of all instances at one time.
type reading struct {
	at      time.Time
	usage   []usage
	metrics map[string]float64
	appends uint64
	calls   int64
}

func (r *run) read() (*reading, error) {
	reading := &reading{at: time.Now(), metrics: make(map[string]float64), appends: r.cluster.Log.Stats().Total.Appends}
	for _, p := range r.cluster.Instances {
		u, err := readUsage(p.PID())
		if err != nil {
			return nil, err
		}
		reading.usage = append(reading.usage, u)
	}
	for _, p := range r.cluster.Instances {
		metrics, err := readMetrics(r.http, p.Server)
		if err != nil {
			return nil, errors.Wrap(err, "metrics")
		}
		for name, value := range metrics {
			reading.metrics[name] += value
		}
	}
	for _, f := range r.figures {
		reading.calls += f.calls.Load()
	}
	return reading, nil
}

// window measures for a while.
func (r *run) window(ctx context.Context, length time.Duration) (CostFigures, error) {
	before, err := r.read()
	if err != nil {
		return CostFigures{}, err
	}
	delay.Sleep(ctx, length)
	after, err := r.read()
	if err != nil {
		return CostFigures{}, err
	}
	return costBetween(before, after), nil
}

func costBetween(before, after *reading) CostFigures {
	n := float64(len(after.usage))
	seconds := after.at.Sub(before.at).Seconds()
	var f CostFigures
	for i, u := range after.usage {
		from := before.usage[i]
		took := u.at.Sub(from.at).Seconds()
		f.CPU += share((u.cpu-from.cpu).Seconds(), took) / n
		f.IO += float64(u.io-from.io) / took / n
		f.RSS += float64(u.rss) / (1 << 20) / n
	}
	rate := func(names ...string) float64 {
		total := 0.0
		for _, name := range names {
			total += after.metrics[name] - before.metrics[name]
		}
		return total / seconds / n
	}
	f.Control = rate(metricControlSent, metricControlReceived)
	f.Data = rate(metricDataSent, metricDataReceived)
	f.Reads, f.Polls, f.Ticks = rate(metricLogReads), rate(metricPolls), rate(metricTicks)
	f.Appends = float64(after.appends-before.appends) / seconds
	f.Calls = float64(after.calls-before.calls) / seconds
	return f
}

// costSample is the figures of all windows of one cluster.
type costSample struct {
	x          float64
	idle, load []CostFigures
}

// RunCost measures clusters of several sizes, idle and under a fixed load, and
// prints the figures with straight lines through them.
func RunCost(ctx context.Context, out io.Writer, o CostOptions) error {
	var samples []costSample
	printCostHeader(out, "instances")
	for _, size := range o.Sizes {
		setup := o.Setup
		setup.Instances = size
		sample, err := o.measure(ctx, setup, 0)
		if err != nil {
			return errors.Wrapf(err, "%d instances", size)
		}
		sample.x = float64(size)
		printCost(out, "idle", sample.x, sample.idle)
		printCost(out, "load", sample.x, sample.load)
		samples = append(samples, sample)
	}
	printFits(out, "instances", samples)
	return nil
}

// RunList measures one cluster beside membership lists of several lengths.
func RunList(ctx context.Context, out io.Writer, o CostOptions) error {
	var samples []costSample
	printCostHeader(out, "list entries")
	for _, entries := range o.ListSizes {
		sample, err := o.measure(ctx, o.Setup, entries)
		if err != nil {
			return errors.Wrapf(err, "%d entries", entries)
		}
		sample.x = float64(entries)
		printCost(out, "idle", sample.x, sample.idle)
		samples = append(samples, sample)
	}
	printFits(out, "list entries", samples)
	return nil
}

// measure starts a cluster and measures it idle and, without further entries
// in the list, under load.
func (o CostOptions) measure(ctx context.Context, setup Setup, entries int) (costSample, error) {
	var sample costSample
	cluster, err := setup.start(ctx)
	if err != nil {
		return sample, err
	}
	defer cluster.Close()
	addEntries(cluster, entries)
	r := newRun(ctx, cluster, o.Model, o.Classes)
	defer r.close()
	if entries == 0 {
		r.warm(ctx)
	}
	// The health checks of the balancer would count as control.
	r.balancer.close()
	delay.Sleep(ctx, settleWindow)
	if sample.idle, err = o.windows(ctx, r); err != nil || entries > 0 {
		return sample, err
	}
	loaded, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		length := time.Duration(o.Repeats+1)*o.Window + settleWindow
		r.open(loaded, Generate(o.Classes, length, o.Seed))
	}()
	delay.Sleep(ctx, settleWindow)
	sample.load, err = o.windows(ctx, r)
	stop()
	<-done
	return sample, err
}

func (o CostOptions) windows(ctx context.Context, r *run) ([]CostFigures, error) {
	var figures []CostFigures
	for range o.Repeats {
		f, err := r.window(ctx, o.Window)
		if err != nil {
			return nil, err
		}
		figures = append(figures, f)
	}
	return figures, ctx.Err()
}

// addEntries lists targets of a service that the settings do not name, so that
// nobody calls or watches them.
func addEntries(c *testkit.Cluster, entries int) {
	place := c.Endpoints().Targets[0]
	for i := range entries {
		c.Members.Put(wire.Member{
			ID: fmt.Sprintf("other-service-runner-%04d", i), Role: wire.MemberRoleTarget,
			State: wire.MemberStateLive, Region: place.Region, DataCentre: place.DataCentre,
			Address: fmt.Sprintf("http://10.1.%d.%d:8000", i>>8, i&0xff), Service: "other-service",
		})
	}
}
