package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/testkit"
)

// ChangeOptions configures the measurement of settings changes.
type ChangeOptions struct {
	Setup
	// Changes is the number of changes. They are made sequentially, at most
	// Rate per second.
	Changes int
	Rate    float64
}

// applied is the part of GET /v1/settings/applied that the driver reads.
type applied struct {
	Applied map[string]uint64 `json:"applied"`
	Missing []string          `json:"missing"`
}

// RunChanges changes settings and measures the time until a change is accepted
// and the time until every instance has applied it.
func RunChanges(ctx context.Context, out io.Writer, o ChangeOptions) error {
	cluster, err := o.start(ctx)
	if err != nil {
		return err
	}
	defer cluster.Close()
	r := newRun(ctx, cluster, o.Model, o.Classes)
	defer r.close()
	r.balancer.close()
	accepted, inForce := newDurations(), newDurations()
	before, err := r.takeReading()
	if err != nil {
		return err
	}
	for i := range o.Changes {
		next := time.Now().Add(time.Duration(float64(time.Second) / o.Rate))
		if err := o.measureChange(ctx, cluster, i, accepted, inForce); err != nil {
			return err
		}
		delay.Sleep(ctx, time.Until(next))
	}
	after, err := r.takeReading()
	if err != nil {
		return err
	}
	a, f, cost := accepted.quantiles(), inForce.quantiles(), costBetween(before, after)
	fmt.Fprintf(out, "instances %d, %d changes: accepted p50/p99 %.1f/%.1f ms, in force everywhere p50/p99 %.1f/%.1f ms\n",
		o.Instances, o.Changes, a.P50, a.P99, f.P50, f.P99)
	fmt.Fprintf(out, "an instance: CPU %.2f%% of a core, I/O %.0f B/s, log reads %.2f/s; log appends %.2f/s; load average %s\n",
		cost.CPU, cost.IO, cost.Reads, cost.Appends, LoadAverage())
	return nil
}

func (o ChangeOptions) measureChange(ctx context.Context, c *testkit.Cluster, number int, accepted, inForce *histogram) error {
	root := testkit.NewClient(c.Instances[number%len(c.Instances)].Server, testkit.RootKey)
	before, err := readApplied(ctx, root)
	if err != nil {
		return err
	}
	path := fmt.Sprintf("teams/%s/made-%d/weight", testkit.TeamPath, number)
	started := time.Now()
	response, err := root.Publish(ctx, testkit.Changes(map[string]any{path: 2})...)
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return errors.Newf("change %d: status %d: %s", number, response.Status, response.Body)
	}
	accepted.recordDuration(time.Since(started))
	if err := waitApplied(ctx, root, maxOffset(before)+1, len(c.Instances)); err != nil {
		return err
	}
	inForce.recordDuration(time.Since(started))
	return nil
}

// waitApplied polls until all instances have applied the settings stream up to
// an offset.
func waitApplied(ctx context.Context, root *testkit.Client, offset uint64, instances int) error {
	for {
		now, err := readApplied(ctx, root)
		if err != nil {
			return err
		}
		count := 0
		for _, at := range now.Applied {
			if at >= offset {
				count++
			}
		}
		if count >= instances {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func maxOffset(a applied) uint64 {
	var top uint64
	for _, at := range a.Applied {
		top = max(top, at)
	}
	return top
}

func readApplied(ctx context.Context, root *testkit.Client) (applied, error) {
	var a applied
	response, err := root.Do(ctx, http.MethodGet, "/v1/settings/applied", nil, testkit.Call{})
	if err != nil {
		return a, err
	}
	return a, errors.Wrap(json.Unmarshal(response.Body, &a), "applied")
}
