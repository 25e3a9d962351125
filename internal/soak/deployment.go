package soak

import (
	"cmp"
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
	// heartbeatInterval is how often targets renew their registration, and
	// registrationTTL how long a registration lasts without renewal.
	heartbeatInterval = 1200 * time.Millisecond
	registrationTTL   = 3 * heartbeatInterval
	// targetDrainTime is how long a target keeps serving after it is registered as
	// draining.
	targetDrainTime = 3 * time.Second
	// routeTimeout is the timeout of requests in all routes.
	routeTimeout = 3 * time.Second
	// retention is how long a program or turn can be continued.
	retention = time.Minute
	// maxTargets is the maximum number of targets that run one attempt of a safe
	// request.
	maxTargets = 2
	// maxTurnTokens is the maximum number of tokens that a turn generates.
	maxTurnTokens = eventsPerTurn * tokensPerEvent
)

// deployment is a set of instances with their store and targets.
type deployment struct {
	options   Options
	history   *history
	store     *metastore.Service
	instances []*instance
	decoy     *decoy
	// ending counts the replacements of targets that requests have ended.
	ending sync.WaitGroup

	mu             sync.Mutex
	targets        []*target
	targetsStarted int
	sequence       int
	version        int
}

func newDeployment(options Options) (*deployment, error) {
	options.GracePeriod = cmp.Or(options.GracePeriod, DefaultGracePeriod)
	d := &deployment{options: options, history: newHistory(), store: metastore.Start()}
	var err error
	if d.decoy, err = startDecoy(d.history); err != nil {
		return nil, err
	}
	targets := 2 * options.Instances
	if options.DeadlyRequests {
		targets *= targetsPerInstance
	}
	for i := range targets {
		service := engineService
		if i%2 == 1 {
			service = appService
		}
		if err := d.addTarget(service, firstSoftwareVersion); err != nil {
			return nil, err
		}
	}
	d.publishSettings()
	var seeds []string
	for i := range options.Instances {
		inst, err := newInstance(fmt.Sprintf("m%d", i), options.Dir, d.store.Address(), seeds, options.machineLimits(), options.GracePeriod)
		if err != nil {
			return nil, err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, inst.peerRelay.Address())
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

// outlastingSlowdown makes many requests outlast a short grace period.
const outlastingSlowdown = 12

// addTarget starts a target and registers it.
func (d *deployment) addTarget(service, version string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targetsStarted++
	t, err := startTarget(fmt.Sprintf("%s-%d", service, d.targetsStarted), service, version, d.history, uint64(d.targetsStarted), d.endTarget)
	if err != nil {
		return err
	}
	if d.options.GracePeriod < DefaultGracePeriod {
		t.slowdown.Store(outlastingSlowdown)
	}
	d.targets = append(d.targets, t)
	d.register(t, "ready")
	return nil
}

// register writes a target's registration. The caller holds the mutex.
func (d *deployment) register(t *target, state string) {
	d.sequence++
	value, err := json.Marshal(map[string]any{
		"Service": t.service, "Address": t.address, "Zone": "dc", "Version": t.version, "Slots": targetSlots, "State": state,
		"ColdRemainingMs": 0, "Sequence": d.sequence, "born": t.startedMS,
	})
	if err != nil {
		panic(errors.AssertionFailedf("encode a registration: %v", err))
	}
	d.store.Put(platform.TopicTargets, t.id, value)
}

// unregister ends a target's registration.
func (d *deployment) unregister(t *target) { d.store.Put(platform.TopicTargets, t.id, nil) }

// randomTarget returns a random target that is registered as ready.
func (d *deployment) randomTarget(rng *rand.Rand) *target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets[rng.IntN(len(d.targets))]
}

// removeTarget removes a target from the list. It returns false if the target is not
// listed.
func (d *deployment) removeTarget(t *target) bool {
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

// crashTarget stops a target without notice and starts a replacement. The
// registration of the stopped one expires later.
func (d *deployment) crashTarget(t *target) error {
	t.stop()
	return d.replaceEnded(t)
}

// replaceEnded starts a replacement of a target that has ended, and removes the
// registration later. It does nothing if the target is not listed.
func (d *deployment) replaceEnded(t *target) error {
	if !d.removeTarget(t) {
		return nil
	}
	if err := d.addTarget(t.service, t.version); err != nil {
		return err
	}
	time.Sleep(registrationTTL)
	d.unregister(t)
	t.stop()
	return nil
}

// drainTarget replaces a target gracefully by one of a software version.
func (d *deployment) drainTarget(t *target, version string) error {
	if !d.removeTarget(t) {
		return nil
	}
	if err := d.addTarget(t.service, version); err != nil {
		return err
	}
	d.mu.Lock()
	d.register(t, "draining")
	d.mu.Unlock()
	time.Sleep(targetDrainTime)
	d.unregister(t)
	// Requests in flight may finish: instances may have been notified of the
	// draining late.
	time.Sleep(targetDrainTime)
	t.stop()
	return nil
}

// writeHeartbeats renews the registrations of all targets.
func (d *deployment) writeHeartbeats() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		d.register(t, "ready")
	}
}

// versionPath returns the path of a route that exists in one version of the settings
// only.
func versionPath(version int) string { return fmt.Sprintf("/version/%d/", version) }

// publishSettings publishes the next version of the operator's settings.
func (d *deployment) publishSettings() {
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

// isReady reports whether an instance accepts callers.
func isReady(ctx context.Context, inst *instance) bool {
	reqCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(reqCtx, http.MethodGet, "http://"+inst.readyAddress+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // only the status matters
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all instances accept callers.
func (d *deployment) waitReady(ctx context.Context) error {
	for _, inst := range d.instances {
		for !isReady(ctx, inst) {
			if ctx.Err() != nil {
				return errors.Newf("instance %s did not become ready; its log:\n%s", inst.name, inst.current().process.Log())
			}
			delay.Sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}
