package load

import (
	"context"
	"time"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// Fault is a fault that is injected into a cluster under load.
type Fault struct {
	Name string
	// apply injects the fault and returns after it ends or with the context.
	// A temporary fault lasts for the given duration.
	apply func(ctx context.Context, c *testkit.Cluster, duration time.Duration)
}

// slowFactor is the slowdown of the slow engine.
const slowFactor = 10

// membershipLag is the time until the membership list drops a failed member.
const membershipLag = 2 * time.Second

// Faults returns all faults. The first one is a run without faults.
func Faults() []Fault {
	return []Fault{
		{Name: "quiet", apply: func(context.Context, *testkit.Cluster, time.Duration) {}},
		{Name: "kill", apply: killInstance},
		{Name: "pause", apply: pauseInstance},
		{Name: "slow-runner", apply: slowEngine},
		{Name: "log-down", apply: stopLog},
		{Name: "data-centre", apply: killDataCentre},
	}
}

// killInstance kills the second instance and removes it from the membership list
// after membershipLag.
func killInstance(ctx context.Context, c *testkit.Cluster, _ time.Duration) {
	p := c.Instances[1]
	p.Kill()
	delay.Sleep(ctx, membershipLag)
	c.Remove(p)
}

// pauseInstance suspends the second instance temporarily.
func pauseInstance(ctx context.Context, c *testkit.Cluster, duration time.Duration) {
	p := c.Instances[1]
	if p.Pause() != nil {
		return
	}
	delay.Sleep(ctx, duration)
	_ = p.Resume()
}

// slowEngine slows one engine down temporarily.
func slowEngine(ctx context.Context, c *testkit.Cluster, duration time.Duration) {
	id := c.Endpoints().Targets[0].ID
	c.Engines[id].Faults().Set(wire.ServiceFaults{Slow: slowFactor})
	delay.Sleep(ctx, duration)
	c.Engines[id].Faults().Set(wire.ServiceFaults{})
}

// stopLog makes the platform's log unavailable temporarily.
func stopLog(ctx context.Context, c *testkit.Cluster, duration time.Duration) {
	c.Log.SetDown(true)
	delay.Sleep(ctx, duration)
	c.Log.SetDown(false)
}

// killDataCentre kills the instances and targets of the last data centre.
func killDataCentre(ctx context.Context, c *testkit.Cluster, _ time.Duration) {
	dataCentre := c.Endpoints().Targets[len(c.Endpoints().Targets)-1].DataCentre
	var killed []*testkit.Process
	for _, p := range c.Instances {
		if p.DataCentre == dataCentre {
			killed = append(killed, p)
		}
	}
	for _, p := range killed {
		p.Kill()
	}
	for _, target := range c.Endpoints().Targets {
		if target.DataCentre == dataCentre {
			c.StopTarget(target.ID)
		}
	}
	delay.Sleep(ctx, membershipLag)
	for _, p := range killed {
		c.Remove(p)
	}
	for _, target := range c.Endpoints().Targets {
		if target.DataCentre == dataCentre {
			c.Members.Remove(target.ID)
		}
	}
}
