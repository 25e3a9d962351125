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

// membershipLag is the time after which the membership list loses what died.
const membershipLag = 2 * time.Second

// Faults lists the faults by name; the quiet run is the first.
func Faults() []Fault {
	return []Fault{
		{Name: "quiet", apply: func(context.Context, *testkit.Cluster, time.Duration) {}},
		{Name: "kill", apply: killOne},
		{Name: "pause", apply: pauseOne},
		{Name: "slow-runner", apply: slowRunner},
		{Name: "log-down", apply: stopLog},
		{Name: "data-centre", apply: killDataCentre},
	}
}

// killOne kills the second instance and takes it off the list later.
func killOne(ctx context.Context, c *testkit.Cluster, _ time.Duration) {
	p := c.Instances[1]
	p.Kill()
	delay.Sleep(ctx, membershipLag)
	c.Remove(p)
}

// pauseOne freezes an instance for a while.
func pauseOne(ctx context.Context, c *testkit.Cluster, duration time.Duration) {
	p := c.Instances[1]
	if p.Pause() != nil {
		return
	}
	delay.Sleep(ctx, duration)
	_ = p.Resume()
}

// slowRunner slows one engine.
func slowRunner(ctx context.Context, c *testkit.Cluster, duration time.Duration) {
	id := c.Ready().Targets[0].ID
	c.Engines[id].Faults().Set(wire.ServiceFaults{Slow: slowFactor})
	delay.Sleep(ctx, duration)
	c.Engines[id].Faults().Set(wire.ServiceFaults{})
}

// stopLog takes the platform's log down for a while.
func stopLog(ctx context.Context, c *testkit.Cluster, duration time.Duration) {
	c.Log.SetDown(true)
	delay.Sleep(ctx, duration)
	c.Log.SetDown(false)
}

// killDataCentre kills the instances and targets of the last data centre.
func killDataCentre(ctx context.Context, c *testkit.Cluster, _ time.Duration) {
	dataCentre := c.Ready().Targets[len(c.Ready().Targets)-1].DataCentre
	var killed []*testkit.Process
	for _, p := range c.Instances {
		if p.DataCentre == dataCentre {
			killed = append(killed, p)
		}
	}
	for _, p := range killed {
		p.Kill()
	}
	for _, target := range c.Ready().Targets {
		if target.DataCentre == dataCentre {
			c.StopTarget(target.ID)
		}
	}
	delay.Sleep(ctx, membershipLag)
	for _, p := range killed {
		c.Remove(p)
	}
	for _, target := range c.Ready().Targets {
		if target.DataCentre == dataCentre {
			c.Members.Remove(target.ID)
		}
	}
}
