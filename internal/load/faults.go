package load

import (
	"context"
	"time"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// Fault is something that happens to a cluster under load. It returns at once
// or when the context ends.
type Fault struct {
	Name string
	// apply brings the fault about; held is how long it lasts if it ends.
	apply func(ctx context.Context, c *testkit.Cluster, held time.Duration)
}

// slowFactor is how much slower the slow runner is.
const slowFactor = 10

// listLag is the time after which the membership list loses what died.
const listLag = 2 * time.Second

// Faults lists the faults by name; the quiet run is the first.
func Faults() []Fault {
	return []Fault{
		{Name: "quiet", apply: func(context.Context, *testkit.Cluster, time.Duration) {}},
		{Name: "kill", apply: killOne},
		{Name: "pause", apply: pauseOne},
		{Name: "slow-runner", apply: slowRunner},
		{Name: "log-down", apply: logDown},
		{Name: "data-centre", apply: dataCentreGone},
	}
}

// killOne kills the second instance and takes it off the list later.
func killOne(ctx context.Context, c *testkit.Cluster, _ time.Duration) {
	p := c.Instances[1]
	p.Kill()
	delay.Sleep(ctx, listLag)
	c.Remove(p)
}

// pauseOne freezes an instance for a while.
func pauseOne(ctx context.Context, c *testkit.Cluster, held time.Duration) {
	p := c.Instances[1]
	if p.Pause() != nil {
		return
	}
	delay.Sleep(ctx, held)
	_ = p.Resume()
}

// slowRunner slows one engine.
func slowRunner(ctx context.Context, c *testkit.Cluster, held time.Duration) {
	id := c.Endpoints().Targets[0].ID
	c.Engines[id].Faults().Set(wire.ServiceFaults{Slow: slowFactor})
	delay.Sleep(ctx, held)
	c.Engines[id].Faults().Set(wire.ServiceFaults{})
}

// logDown takes the platform's log down for a while.
func logDown(ctx context.Context, c *testkit.Cluster, held time.Duration) {
	c.Log.SetDown(true)
	delay.Sleep(ctx, held)
	c.Log.SetDown(false)
}

// dataCentreGone kills the instances and targets of the last data centre.
func dataCentreGone(ctx context.Context, c *testkit.Cluster, _ time.Duration) {
	place := c.Endpoints().Targets[len(c.Endpoints().Targets)-1].DataCentre
	var lost []*testkit.Process
	for _, p := range c.Instances {
		if p.DataCentre == place {
			lost = append(lost, p)
		}
	}
	for _, p := range lost {
		p.Kill()
	}
	for _, target := range c.Endpoints().Targets {
		if target.DataCentre == place {
			c.StopTarget(target.ID)
		}
	}
	delay.Sleep(ctx, listLag)
	for _, p := range lost {
		c.Remove(p)
	}
	for _, target := range c.Endpoints().Targets {
		if target.DataCentre == place {
			c.Members.Remove(target.ID)
		}
	}
}
