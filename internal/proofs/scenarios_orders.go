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
	// versionPath is the setting that orders an engine's version.
	versionPath = modelPath + "/orders/version"
	// phaseHolding is the phase of an instance that gives orders, in its dump.
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

// runOrders pauses the controller of the engines as soon as a change of their
// version is accepted, waits until another one has brought the change into
// force, and lets the first go on.
func runOrders(ctx context.Context, r *Rig) error {
	// Under load the others notice that the controller is silent.
	l := r.StartLoad(ctx, 2, 0)
	err := r.orderAcrossPause(ctx)
	return errors.CombineErrors(err, l.Finish())
}

func (r *Rig) orderAcrossPause(ctx context.Context) error {
	if err := r.order(ctx, 1); err != nil {
		return err
	}
	if err := r.untilVersion(ctx, 1); err != nil {
		return err
	}
	controller, err := r.controller(ctx)
	if err != nil {
		return err
	}
	if err := r.order(ctx, 2); err != nil {
		return err
	}
	resume, err := r.Pause(controller)
	if err != nil {
		return err
	}
	if err := r.order(ctx, 3); err != nil {
		return errors.CombineErrors(err, resume())
	}
	err = errors.CombineErrors(r.untilVersion(ctx, 3), resume())
	r.hold(ctx, longPause)
	return errors.CombineErrors(err, r.untilVersion(ctx, 3))
}

// order publishes the version that the engines shall have.
func (r *Rig) order(ctx context.Context, number int) error {
	at := r.doorProcess()
	now, _ := r.setting(ctx, at, versionPath)
	change := r.propose(ctx, at, versionPath, now.Version, strconv.Quote("v"+strconv.Itoa(number)))
	if !change.Accepted {
		return errors.Newf("the change was not accepted: %+v", change)
	}
	return nil
}

// doorProcess gives an instance that no fault touches.
func (r *Rig) doorProcess() *testkit.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.Instances {
		touched := false
		for _, d := range r.disturbed {
			touched = touched || d.Instance == p.ID
		}
		if !touched {
			return p
		}
	}
	return r.Instances[0]
}

// controller finds the instance that gives orders to the engines. It only aims
// the fault, so that the instances' own word will do.
func (r *Rig) controller(ctx context.Context) (*testkit.Process, error) {
	var found *testkit.Process
	err := r.Until(ctx, "a controller", func() bool {
		for _, p := range r.others(nil) {
			if r.holds(ctx, p) {
				found = p
			}
		}
		return found != nil
	})
	return found, err
}

func (r *Rig) holds(ctx context.Context, p *testkit.Process) bool {
	answer, err := operatorAt(p).Do(ctx, http.MethodGet, "/debug/state", nil, testkit.Call{})
	var state struct {
		Orders struct {
			Pools []struct{ Service, Phase string }
		}
	}
	if err != nil || json.Unmarshal(answer.Body, &state) != nil {
		return false
	}
	for _, pool := range state.Orders.Pools {
		if pool.Service == testkit.ModelService && pool.Phase == phaseHolding {
			return true
		}
	}
	return false
}

// untilVersion waits until all engines have a version.
func (r *Rig) untilVersion(ctx context.Context, number int) error {
	want := "v" + strconv.Itoa(number)
	return r.Until(ctx, "version "+want+" at all engines", func() bool {
		for _, m := range r.Endpoints().Targets {
			var state wire.OrderState
			if m.Service == testkit.ModelService && (!getJSON(ctx, m.Address+wire.OrdersRoute, &state) || state.Version != want) {
				return false
			}
		}
		return true
	})
}

// appliedOrders reads what each engine applied.
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

// getJSON reads a value from a target.
func getJSON(ctx context.Context, address string, value any) bool {
	const limit = 2 * time.Second
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodGet, address, nil)
	if err != nil {
		return false
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = reply.Body.Close() }()
	return reply.StatusCode == http.StatusOK && json.NewDecoder(reply.Body).Decode(value) == nil
}
