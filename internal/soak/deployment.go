package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/standin/metastore"
	"github.com/banyanglade/banyanglade/platform"
)

const (
	host            = "soak.example"
	engineService   = "engine"
	appService      = "app"
	storePartitions = 6
	// heartbeatInterval is how often targets write their registration, and
	// registrationTTL when the registration of a silent one goes.
	heartbeatInterval = 1200 * time.Millisecond
	registrationTTL   = 3 * heartbeatInterval
	// targetDrainTime is how long a target serves on after it said that it leaves.
	targetDrainTime = 3 * time.Second
	// routeTimeout is the longest that a request takes at an instance.
	routeTimeout = 3 * time.Second
	// retention is how long a program or a turn may come back.
	retention = time.Minute
	// maxTargets is how many targets may run one attempt of a safe request.
	maxTargets = 2
	// maxTurnTokens is the most that a turn generates, in tokens.
	maxTurnTokens = eventsPerTurn * tokensPerEvent
)

// deployment is instances with their store and targets.
type deployment struct {
	options   Options
	history   *history
	store     *metastore.Service
	instances []*instance
	decoy     *decoy

	mu             sync.Mutex
	targets        []*target
	targetsStarted int
	sequence       int
	version        int
}

func newDeployment(options Options) (*deployment, error) {
	d := &deployment{options: options, history: newHistory(), store: metastore.Start()}
	var err error
	if d.decoy, err = startDecoy(d.history); err != nil {
		return nil, err
	}
	for i := range 2 * options.Instances {
		service := engineService
		if i%2 == 1 {
			service = appService
		}
		if err := d.addTarget(service); err != nil {
			return nil, err
		}
	}
	d.publish()
	var seeds []string
	for i := range options.Instances {
		inst, err := newInstance(fmt.Sprintf("m%d", i), options.Dir, d.store.Address(), seeds)
		if err != nil {
			return nil, err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, inst.peers.Address())
		}
		d.instances = append(d.instances, inst)
	}
	for _, inst := range d.instances {
		if err := inst.start(options.Binary, options.Dir, d.history); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) close() {
	for _, inst := range d.instances {
		inst.close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		t.stop()
	}
	d.decoy.stop()
	d.store.Close()
}

// addTarget starts a target and registers it.
func (d *deployment) addTarget(service string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targetsStarted++
	t, err := startTarget(fmt.Sprintf("%s-%d", service, d.targetsStarted), service, d.history, uint64(d.targetsStarted))
	if err != nil {
		return err
	}
	d.targets = append(d.targets, t)
	d.register(t, "ready")
	return nil
}

// register writes a target's registration. The mutex is held.
func (d *deployment) register(t *target, state string) {
	d.sequence++
	value, err := json.Marshal(map[string]any{
		"Service": t.service, "Address": t.address, "Zone": "dc", "Version": "v1", "Slots": targetSlots, "State": state,
		"ColdRemainingMs": 0, "Sequence": d.sequence, "born": t.startedMS,
	})
	if err != nil {
		panic(errors.AssertionFailedf("encode a registration: %v", err))
	}
	d.store.Put(platform.TopicTargets, t.id, value)
}

// randomTarget chooses a target of a service that has not been ended.
func (d *deployment) randomTarget(rng *rand.Rand) *target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets[rng.IntN(len(d.targets))]
}

// remove takes a target off the list. It returns false if it was off already.
func (d *deployment) remove(t *target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, other := range d.targets {
		if other == t {
			d.targets = append(d.targets[:i], d.targets[i+1:]...)
			return true
		}
	}
	return false
}

// crashTarget ends a target at once; its registration lapses, and another takes
// its place.
func (d *deployment) crashTarget(t *target) error {
	if !d.remove(t) {
		return nil
	}
	t.stop()
	if err := d.addTarget(t.service); err != nil {
		return err
	}
	time.Sleep(registrationTTL)
	d.store.Put(platform.TopicTargets, t.id, nil)
	return nil
}

// drainTarget replaces a target in order.
func (d *deployment) drainTarget(t *target) error {
	if !d.remove(t) {
		return nil
	}
	if err := d.addTarget(t.service); err != nil {
		return err
	}
	d.mu.Lock()
	d.register(t, "draining")
	d.mu.Unlock()
	time.Sleep(targetDrainTime)
	d.store.Put(platform.TopicTargets, t.id, nil)
	// What it still runs is finished: instances may have heard late of it.
	time.Sleep(targetDrainTime)
	t.stop()
	return nil
}

// writeHeartbeats writes the registrations of all targets again.
func (d *deployment) writeHeartbeats() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		d.register(t, "ready")
	}
}

// versionPath is the path of a route that only one version of the settings has.
func versionPath(version int) string { return fmt.Sprintf("/version/%d/", version) }

// publish writes the next version of the operator's settings.
func (d *deployment) publish() {
	d.mu.Lock()
	d.version++
	version := d.version
	d.mu.Unlock()
	route := func(name, prefix, kind, service string, attempts int, extra map[string]any) map[string]any {
		r := map[string]any{
			"Name": name, "Hostname": host, "PathPrefix": prefix, "Type": kind, "Service": service,
			"TimeoutMs": routeTimeout.Milliseconds(), "TargetLatencyMs": 100, "MaxAttempts": attempts,
		}
		for key, value := range extra {
			r[key] = value
		}
		return r
	}
	turns := map[string]any{"Retain": false, "RetentionS": retention.Seconds(), "Resumable": true, "SessionAffinity": true}
	storedTurns := map[string]any{"Retain": true, "RetentionS": retention.Seconds(), "SessionAffinity": true}
	value, err := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []any{
			route("turns", "/turn/", "streaming", engineService, 1, turns),
			route("kept", "/kept/", "streaming", engineService, 1, storedTurns),
			route("safe", "/safe/", "safe", appService, maxTargets, nil),
			route("once", "/once/", "unsafe", appService, 1, nil),
			route("version", versionPath(version), "safe", appService, maxTargets, nil),
		},
		"Services": []any{
			map[string]any{"Name": engineService, "Engine": map[string]any{"StrideTokens": tokensPerEvent}},
			map[string]any{"Name": appService},
		},
		"Tenants": tenants(),
	})
	if err != nil {
		panic(errors.AssertionFailedf("encode the settings: %v", err))
	}
	d.store.Put(platform.TopicOperator, platform.KeySettings, value)
	d.history.recordPublished(version)
}

func (d *deployment) newestVersion() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// isReady asks a machine whether it takes callers.
func isReady(ctx context.Context, inst *instance) bool {
	reqCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(reqCtx, http.MethodGet, "http://"+inst.ready+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // only the status counts
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all instances take callers.
func (d *deployment) waitReady(ctx context.Context) error {
	for _, inst := range d.instances {
		for !isReady(ctx, inst) {
			if ctx.Err() != nil {
				return errors.Newf("machine %s did not become ready; its log:\n%s", inst.name, inst.current().process.Log())
			}
			delay.Sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}
