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

// CostOptions configures the measurement of the control overhead per instance.
type CostOptions struct {
	Setup
	// Sizes are the cluster sizes to measure, in instances.
	Sizes []int
	// ListSizes are the numbers of extra entries in the membership list.
	ListSizes []int
	Window    time.Duration
	Repeats   int
	// Seed is the seed of the workload.
	Seed uint64
}

// clusterSettleTime is how long a cluster runs undisturbed before it is
// measured.
const clusterSettleTime = 4 * time.Second

// Metrics read from the instances.
const (
	metricControlSent     = "banyanglade_peer_sent_control_bytes"
	metricControlReceived = "banyanglade_peer_received_control_bytes"
	metricDataSent        = "banyanglade_peer_sent_data_bytes"
	metricDataReceived    = "banyanglade_peer_received_data_bytes"
	metricLogReads        = "banyanglade_log_reads"
	metricPolls           = "banyanglade_members_polls"
	metricTicks           = "banyanglade_core_ticks"
)

// CostStats holds the rates of one window, per second and per instance unless noted
// otherwise.
type CostStats struct {
	// CPU is in percent of a core, RSS in MiB, and IO in bytes per second of
	// all reads and writes, sockets included.
	CPU, RSS, IO float64
	// Control and Data are the bytes per second between instances, sent and
	// received.
	Control, Data float64
	// Reads and Polls are the requests per second to the log and the
	// membership list, Ticks the ticks per second of the core.
	Reads, Polls, Ticks float64
	// Appends and Calls are totals per second over all instances.
	Appends, Calls float64
}

// reading holds the counters of all instances at one time.
type reading struct {
	at      time.Time
	usage   []usage
	metrics map[string]float64
	appends uint64
	calls   int64
}

func (r *run) takeReading() (*reading, error) {
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
	for _, recorder := range r.recorders {
		reading.calls += recorder.calls.Load()
	}
	return reading, nil
}

// measureWindow measures the cluster for the given time.
func (r *run) measureWindow(ctx context.Context, length time.Duration) (CostStats, error) {
	before, err := r.takeReading()
	if err != nil {
		return CostStats{}, err
	}
	delay.Sleep(ctx, length)
	after, err := r.takeReading()
	if err != nil {
		return CostStats{}, err
	}
	return costBetween(before, after), nil
}

func costBetween(before, after *reading) CostStats {
	n := float64(len(after.usage))
	seconds := after.at.Sub(before.at).Seconds()
	var stats CostStats
	for i, u := range after.usage {
		from := before.usage[i]
		took := u.at.Sub(from.at).Seconds()
		stats.CPU += percentOf((u.cpu-from.cpu).Seconds(), took) / n
		stats.IO += float64(u.io-from.io) / took / n
		stats.RSS += float64(u.rss) / (1 << 20) / n
	}
	rate := func(names ...string) float64 {
		total := 0.0
		for _, name := range names {
			total += after.metrics[name] - before.metrics[name]
		}
		return total / seconds / n
	}
	stats.Control = rate(metricControlSent, metricControlReceived)
	stats.Data = rate(metricDataSent, metricDataReceived)
	stats.Reads, stats.Polls, stats.Ticks = rate(metricLogReads), rate(metricPolls), rate(metricTicks)
	stats.Appends = float64(after.appends-before.appends) / seconds
	stats.Calls = float64(after.calls-before.calls) / seconds
	return stats
}

// costSample holds the windows of one cluster; x is the varied quantity.
type costSample struct {
	x          float64
	idle, load []CostStats
}

// RunCost measures clusters of several sizes, idle and under a fixed load, and
// prints the results with linear fits.
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

// RunList measures one cluster with membership lists of several lengths.
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

// measure starts a cluster and measures it idle. Without extra list entries it
// is also measured under load.
func (o CostOptions) measure(ctx context.Context, setup Setup, entries int) (costSample, error) {
	var sample costSample
	cluster, err := setup.start(ctx)
	if err != nil {
		return sample, err
	}
	defer cluster.Close()
	addListEntries(cluster, entries)
	r := newRun(ctx, cluster, o.Model, o.Classes)
	defer r.close()
	if entries == 0 {
		r.warmUp(ctx)
	}
	// The health checks of the balancer would count as control overhead.
	r.balancer.close()
	delay.Sleep(ctx, clusterSettleTime)
	if sample.idle, err = o.measureWindows(ctx, r); err != nil || entries > 0 {
		return sample, err
	}
	loaded, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		length := time.Duration(o.Repeats+1)*o.Window + clusterSettleTime
		r.runOpenLoop(loaded, Generate(o.Classes, length, o.Seed))
	}()
	delay.Sleep(ctx, clusterSettleTime)
	sample.load, err = o.measureWindows(ctx, r)
	stop()
	<-done
	return sample, err
}

func (o CostOptions) measureWindows(ctx context.Context, r *run) ([]CostStats, error) {
	var stats []CostStats
	for range o.Repeats {
		window, err := r.measureWindow(ctx, o.Window)
		if err != nil {
			return nil, err
		}
		stats = append(stats, window)
	}
	return stats, ctx.Err()
}

// addListEntries adds targets of a service that the settings do not name, so
// that no instance calls or watches them.
func addListEntries(c *testkit.Cluster, entries int) {
	first := c.Endpoints().Targets[0]
	for i := range entries {
		c.Members.Put(wire.Member{
			ID: fmt.Sprintf("other-service-runner-%04d", i), Role: wire.MemberRoleTarget,
			State: wire.MemberStateLive, Region: first.Region, DataCentre: first.DataCentre,
			Address: fmt.Sprintf("http://10.1.%d.%d:8000", i>>8, i&0xff), Service: "other-service",
		})
	}
}
