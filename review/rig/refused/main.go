// Command refused runs the case of a manifest that changes while the store turns some
// machines away.
package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/review/rig"
)

const (
	host = "ficu95.example"
	// perZone machines in three zones; the store turns away refused of them in all.
	perZone = 14
	refused = 12
	// config is ConfigMs, outage how long the store turns machines away, stable
	// StableWindowMs.
	config = 3 * time.Second
	outage = 9 * time.Second
	stable = 4 * time.Second
	// changeAfter is when the manifest changes in the outage. Calls that waited at the store
	// when it began have ended by then.
	changeAfter = 3500 * time.Millisecond
	timeLimit   = 3 * time.Second
	pause       = 100 * time.Millisecond
	workTime    = 139 * time.Millisecond

	oldService = "filing-desk"
	newService = "filing-desk-2"
)

var bounds = map[string]any{
	"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": stable.Milliseconds(), "AckMs": 6000, "CatchUpS": 6, "DrainMs": 3000,
	"GraceS": rig.GraceS, "LossSlackMs": 200, "ConfigMs": config.Milliseconds(), "RollbackSlackMs": 250, "MaxSkewMs": 6000,
	"RecoverS": 15, "PassMs": 200, "AgainS": 0, "FinishS": 10, "SettleMs": 1000,
}

func settings(version int, service string) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []map[string]any{{
			"Name": "specimen-chk", "Hostname": host, "PathPrefix": "/check/", "Type": "unsafe", "TimeoutMs": timeLimit.Milliseconds(),
			"TargetLatencyMs": 600, "Priority": 2, "Service": service, "MaxAttempts": 1,
		}},
		"Services": []map[string]any{
			{"Name": oldService, "MaxConnections": 500, "HealthPath": "/health"},
			{"Name": newService, "MaxConnections": 500, "HealthPath": "/health"},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 10000},
	}
}

// history records when requests were sent and when the manifest changed.
type history struct {
	mu      sync.Mutex
	changed time.Time
	// sent is when each request was sent, by id.
	sent map[string]time.Time
	// stale counts the requests that the old service ran too late, served those that the
	// new one ran.
	stale, served int
	last          time.Duration
}

func (h *history) send(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent[id] = time.Now()
}

// observe records a run and reports whether only an older version allows it.
func (h *history) observe(id, service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if service == newService {
		h.served++
		return false
	}
	if h.changed.IsZero() {
		return false
	}
	age := h.sent[id].Sub(h.changed)
	if age <= config {
		return false
	}
	h.stale++
	h.last = max(h.last, age)
	return true
}

func main() { os.Exit(run()) }

func run() int {
	r, err := rig.New(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return rig.NotRun
	}
	defer r.Close()
	r.Bounds, r.Gates = bounds, true
	h := &history{sent: make(map[string]time.Time)}
	away, err := start(r, h)
	if err != nil {
		r.Logf("the case could not run: %v", err)
		return rig.NotRun
	}
	disrupt := os.Getenv("TROUBLE") != "0"
	stop := make(chan struct{})
	var work sync.WaitGroup
	for i, n := range r.Nodes() {
		if !slices.Contains(away, n) {
			work.Go(func() { send(r, n, i, h, stop) })
		}
	}
	if disrupt {
		for _, n := range away {
			r.Logf("store: turns %s away with 503", n.Name)
			n.Gate.Refuse(true)
		}
	}
	time.Sleep(changeAfter)
	h.mu.Lock()
	err = r.PutSettings(settings(7, newService))
	h.changed = time.Now()
	h.mu.Unlock()
	time.Sleep(outage - changeAfter)
	for _, n := range away {
		n.Gate.Refuse(false)
	}
	r.Logf("store: serves all machines")
	time.Sleep(2 * time.Second)
	close(stop)
	work.Wait()
	if err != nil {
		return rig.NotRun
	}
	return judge(r, h, disrupt)
}

// start starts the case and returns the machines that are to be turned away.
func start(r *rig.Rig, h *history) ([]*rig.Node, error) {
	if err := r.PutSettings(settings(3, oldService)); err != nil {
		return nil, err
	}
	for i, service := range []string{oldService, oldService, newService, newService} {
		_, err := r.StartTarget(fmt.Sprintf("i-7f3a91c%d", i), service, func(w http.ResponseWriter, _ *http.Request, work rig.Work) {
			if h.observe(work.ID, work.Target.Service) {
				r.Logf("target %s of %s: runs %s, which was sent later than ConfigMs after version 7", work.Target.ID, work.Target.Service, work.ID)
			}
			time.Sleep(workTime)
			rig.Answer(w, work, "the check of "+work.ID)
		})
		if err != nil {
			return nil, err
		}
	}
	if err := r.NewNodes(len(rig.Zones), perZone); err != nil {
		return nil, err
	}
	for _, n := range r.Nodes() {
		if err := n.Start(); err != nil {
			return nil, err
		}
	}
	if err := r.AwaitReady(30 * time.Second); err != nil {
		return nil, err
	}
	// All have been in touch for longer than StableWindowMs.
	time.Sleep(stable + 4*time.Second)
	var away []*rig.Node
	for _, zone := range rig.Zones {
		relays, err := r.Relays(zone)
		if err != nil {
			return nil, err
		}
		away = append(away, relays...)
	}
	if len(away) != refused {
		return nil, fmt.Errorf("%d machines read for the others, expected %d", len(away), refused)
	}
	return away, nil
}

// send sends requests to a machine until stop is closed.
func send(r *rig.Rig, n *rig.Node, number int, h *history, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		id := fmt.Sprintf("9c41%04x%08x", number, i)
		h.send(id)
		r.Do(n.Caller, rig.Call{
			Method: http.MethodPost, Host: host, Path: fmt.Sprintf("/check/%d", i), ID: id,
			Body: []byte("specimen"), Wait: timeLimit,
		})
	}
}

// judge applies the rule CONFIG.
func judge(r *rig.Rig, h *history, disrupted bool) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Logf("the new service ran %d requests", h.served)
	code := rig.Held
	if h.stale > 0 {
		r.Logf("CONFIG: the old service ran %d requests that were sent later than ConfigMs after the acknowledgement, the last %s after it", h.stale, h.last)
		code = rig.Broken
	}
	if !disrupted && (h.stale > 0 || h.served == 0) {
		code = rig.NotRun
	}
	r.Logf("exit %d", code)
	return code
}
