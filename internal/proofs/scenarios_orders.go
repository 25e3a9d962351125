package proofs

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/standin/cluster"
	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	modelPath = "services/" + testkit.ModelService
	// versionPath is the path of the setting of the engines' desired version.
	versionPath = modelPath + "/orders/version"
	// phaseHolding is the phase of the controller in its state dump.
	phaseHolding = "holding"
)

func orderScenarios() []Scenario {
	return []Scenario{
		{Name: "orders-fenced", Description: "a paused controller wakes; engines check fencing numbers", Instances: 3,
			Settings: map[string]any{modelPath + "/checks_fencing": true},
			Standins: func(s *cluster.Settings) { s.Engines.Settings.ChecksFencing = true }, Run: runOrders},
		{Name: "orders-unfenced", Description: "a paused controller wakes; engines ignore fencing numbers", Instances: 3, Run: runOrders},
	}
}

// runOrders pauses the controller of the engines right after a change of their
// version is accepted, waits until another controller has applied the next change,
// and resumes the first one.
func runOrders(ctx context.Context, r *Rig) error {
	// The other instances detect an unresponsive controller only under load.
	l := r.StartLoad(ctx, 2, 0)
	err := r.publishAcrossPause(ctx)
	return errors.CombineErrors(err, l.Stop())
}

func (r *Rig) publishAcrossPause(ctx context.Context) error {
	if err := r.publishVersion(ctx, 1); err != nil {
		return err
	}
	if err := r.waitEngineVersion(ctx, 1); err != nil {
		return err
	}
	controller, err := r.controller(ctx)
	if err != nil {
		return err
	}
	if err := r.publishVersion(ctx, 2); err != nil {
		return err
	}
	resume, err := r.Pause(controller)
	if err != nil {
		return err
	}
	if err := r.publishVersion(ctx, 3); err != nil {
		return errors.CombineErrors(err, resume())
	}
	err = errors.CombineErrors(r.waitEngineVersion(ctx, 3), resume())
	r.sleep(ctx, longPause)
	return errors.CombineErrors(err, r.waitEngineVersion(ctx, 3))
}

// publishVersion publishes a desired version of the engines.
func (r *Rig) publishVersion(ctx context.Context, number int) error {
	at := r.unaffectedInstance()
	now, _ := r.setting(ctx, at, versionPath)
	change := r.propose(ctx, at, versionPath, now.Version, strconv.Quote("v"+strconv.Itoa(number)))
	if !change.Accepted {
		return errors.Newf("the change was not accepted: %+v", change)
	}
	return nil
}

// unaffectedInstance returns an instance that was never killed or paused, the first
// one if there is none.
func (r *Rig) unaffectedInstance() *testkit.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.Instances {
		affected := false
		for _, w := range r.faultWindows {
			affected = affected || w.Instance == p.ID
		}
		if !affected {
			return p
		}
	}
	return r.Instances[0]
}

// controller returns the instance that gives orders to the engines. It relies on
// the instances' own reports, since it only selects where the fault is injected.
func (r *Rig) controller(ctx context.Context) (*testkit.Process, error) {
	var found *testkit.Process
	err := r.WaitUntil(ctx, "a controller", func() bool {
		for _, p := range r.instancesExcept(nil) {
			if r.isController(ctx, p) {
				found = p
			}
		}
		return found != nil
	})
	return found, err
}

func (r *Rig) isController(ctx context.Context, p *testkit.Process) bool {
	response, err := operatorAt(p).Do(ctx, http.MethodGet, "/debug/state", nil, testkit.Call{})
	var state struct {
		Orders struct {
			Pools []struct{ Service, Phase string }
		}
	}
	if err != nil || json.Unmarshal(response.Body, &state) != nil {
		return false
	}
	for _, pool := range state.Orders.Pools {
		if pool.Service == testkit.ModelService && pool.Phase == phaseHolding {
			return true
		}
	}
	return false
}

// waitEngineVersion waits until all engines have the given version.
func (r *Rig) waitEngineVersion(ctx context.Context, number int) error {
	want := "v" + strconv.Itoa(number)
	return r.WaitUntil(ctx, "version "+want+" at all engines", func() bool {
		for _, m := range r.Endpoints().Targets {
			var state wire.OrderState
			if m.Service == testkit.ModelService && (!getJSON(ctx, m.Address+wire.OrdersRoute, &state) || state.Version != want) {
				return false
			}
		}
		return true
	})
}

// appliedOrders returns the orders that each engine applied, in sequence.
func (r *Rig) appliedOrders(ctx context.Context) map[string][]wire.Order {
	applied := make(map[string][]wire.Order)
	for _, m := range r.Endpoints().Targets {
		var orders []wire.Order
		if m.Service == testkit.ModelService && getJSON(ctx, m.Address+engine.OrderLogRoute, &orders) {
			applied[m.ID] = orders
		}
	}
	return applied
}

// getJSON reads a JSON value from a target and reports whether that succeeded.
func getJSON(ctx context.Context, address string, value any) bool {
	const timeout = 2 * time.Second
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(limited, http.MethodGet, address, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(value) == nil
}
