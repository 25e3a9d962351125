// Command relays runs the case of a target that drains while some machines stand still.
package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/banyanglade/banyanglade/review/rig"
)

const (
	host = "ficu95.example"
	// perZone machines in three zones; frozen of them stand still, a tenth.
	perZone = 14
	frozen  = 4
	// drain is DrainMs, freezeTime how long machines stand still, stable StableWindowMs.
	drain      = 3 * time.Second
	freezeTime = 4 * time.Second
	stable     = 4 * time.Second
	timeLimit  = 3 * time.Second
	// serves is how long the leaving target serves after the acknowledgement, a little
	// longer than DrainMs.
	serves = drain + 600*time.Millisecond
	// workTime is how long a target works on a request.
	workTime = 139 * time.Millisecond
	// pause is the time between two requests to a machine.
	pause = 40 * time.Millisecond
	// tolerance is left for the way from a machine to a target.
	tolerance = 50 * time.Millisecond
)

var bounds = map[string]any{
	"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": stable.Milliseconds(), "AckMs": 6000, "CatchUpS": 6, "DrainMs": drain.Milliseconds(),
	"GraceS": rig.GraceS, "LossSlackMs": 200, "ConfigMs": 3000, "RollbackSlackMs": 250, "MaxSkewMs": 6000,
	"RecoverS": 15, "PassMs": 200, "AgainS": 0, "FinishS": 10, "SettleMs": 1000,
}

func settings() map[string]any {
	return map[string]any{
		"Version": 3,
		"Routes": []map[string]any{{
			"Name": "specimen-chk", "Hostname": host, "PathPrefix": "/check/", "Type": "unsafe", "TimeoutMs": timeLimit.Milliseconds(),
			"TargetLatencyMs": 600, "Priority": 2, "Service": "filing-desk", "MaxAttempts": 1,
		}},
		"Services": []map[string]any{{"Name": "filing-desk", "MaxConnections": 500, "HealthPath": "/health"}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 10000},
	}
}

// late counts the requests that reached a draining target too late.
type late struct {
	mu    sync.Mutex
	drain time.Time
	last  time.Time
	count int
	// cut counts the requests that were answered with 502 or not at all.
	cut int
}

func (l *late) addCut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut++
}

func (l *late) observe(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drain.IsZero() || now.Sub(l.drain) <= drain+tolerance {
		return false
	}
	l.count++
	l.last = now
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
	r.Bounds = bounds
	seen := new(late)
	leaving, err := start(r, seen)
	if err != nil {
		r.Logf("the case could not run: %v", err)
		return rig.NotRun
	}
	still, err := r.Relays(rig.Zones[0])
	if err != nil || len(still) != frozen {
		r.Logf("the case could not run: %d relays, %v", len(still), err)
		return rig.NotRun
	}
	disrupt := os.Getenv("TROUBLE") != "0"
	stop := make(chan struct{})
	var work sync.WaitGroup
	for i, n := range r.Nodes() {
		if !slices.Contains(still, n) && n.Zone == rig.Zones[0] {
			work.Go(func() { send(r, n, i, seen, stop) })
		}
	}
	time.Sleep(time.Second)
	if disrupt {
		for _, n := range still {
			n.Signal(syscall.SIGSTOP)
		}
	}
	seen.mu.Lock()
	leaving.SetState("draining")
	seen.drain = time.Now()
	seen.mu.Unlock()
	time.Sleep(serves)
	r.Logf("target %s: has served for %s since the acknowledgement and ends", leaving.ID, serves)
	leaving.Stop()
	time.Sleep(freezeTime - serves)
	if disrupt {
		for _, n := range still {
			n.Signal(syscall.SIGCONT)
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	work.Wait()
	return judge(r, seen, disrupt)
}

func start(r *rig.Rig, seen *late) (*rig.Target, error) {
	if err := r.PutSettings(settings()); err != nil {
		return nil, err
	}
	var leaving *rig.Target
	for i := range 3 {
		t, err := r.StartTarget(fmt.Sprintf("i-7f3a91c%d", i), "filing-desk", func(w http.ResponseWriter, _ *http.Request, work rig.Work) {
			if work.Target == leaving && seen.observe(time.Now()) {
				r.Logf("target %s: %s has reached it later than DrainMs after it was draining", work.Target.ID, work.ID)
			}
			time.Sleep(workTime)
			if work.Target.Stopped() {
				r.Logf("target %s: has ended, %s is lost", work.Target.ID, work.ID)
				return
			}
			rig.Answer(w, work, "the check of "+work.ID)
		})
		if err != nil {
			return nil, err
		}
		if i == 0 {
			leaving = t
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
	return leaving, nil
}

// send sends requests to a machine until stop is closed.
func send(r *rig.Rig, n *rig.Node, number int, seen *late, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		reply := r.Do(n.Caller, rig.Call{
			Method: http.MethodPost, Host: host, Path: fmt.Sprintf("/check/%d", i), ID: fmt.Sprintf("9c41%04x%08x", number, i),
			Body: []byte("specimen"), Wait: timeLimit,
		})
		if reply.Status == 0 || reply.Status == http.StatusBadGateway {
			seen.addCut()
		}
	}
}

// judge applies the rule DRAIN.
func judge(r *rig.Rig, seen *late, disrupted bool) int {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	code := rig.Held
	r.Logf("%d requests got 502 or no answer", seen.cut)
	if seen.count > 0 {
		r.Logf("DRAIN: %d requests reached the target later than DrainMs, the last %s after the acknowledgement", seen.count, seen.last.Sub(seen.drain))
		code = rig.Broken
		if !disrupted {
			code = rig.NotRun
		}
	}
	r.Logf("exit %d", code)
	return code
}
