// Command grace runs the case of a machine that is stopped while a runner is still at work.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/review/rig"
)

const (
	host = "ficu95.example"
	// timeLimit is the time limit of the requests and the timeout of their route.
	timeLimit = 6 * time.Second
	// usualTime is how long the runner works on a docket, longTime how long the second
	// time.
	usualTime = 208 * time.Millisecond
	longTime  = 5800 * time.Millisecond
	// sendAfter is when the requests are sent after the SIGTERM, before the platform has
	// found in two questions that the machine is not ready.
	sendAfter = 1700 * time.Millisecond
	requests  = 4
)

func settings() map[string]any {
	return map[string]any{
		"Version": 3,
		"Routes": []map[string]any{{
			"Name": "docket-sync", "Hostname": host, "PathPrefix": "/sync/", "Type": "unsafe", "TimeoutMs": timeLimit.Milliseconds(),
			"TargetLatencyMs": 800, "Priority": 2, "Service": "filing-desk", "MaxAttempts": 1,
		}},
		"Services": []map[string]any{{"Name": "filing-desk", "MaxConnections": 96, "HealthPath": "/health"}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 10000},
	}
}

func main() { os.Exit(run()) }

func run() int {
	r, err := rig.New(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return rig.NotRun
	}
	defer r.Close()
	disrupt := os.Getenv("TROUBLE") != "0"
	if err := start(r); err != nil {
		r.Logf("the case could not run: %v", err)
		return rig.NotRun
	}
	node := r.Nodes()[0]
	for i := range requests {
		r.Do(node.Caller, call(i, "a"))
	}
	if disrupt {
		go node.Terminate()
	}
	time.Sleep(sendAfter)
	replies := make([]rig.Reply, requests)
	var work sync.WaitGroup
	for i := range requests {
		work.Go(func() {
			replies[i] = r.Do(node.Caller, call(i, "b"))
		})
	}
	work.Wait()
	return judge(r, replies, disrupt)
}

// call returns the request that synchronises a docket. Its rounds have different ids.
func call(docket int, round string) rig.Call {
	return rig.Call{
		Method: http.MethodPost, Host: host, Path: fmt.Sprintf("/sync/%d", docket), ID: fmt.Sprintf("9c41d07be2a3%s%03x", round, docket),
		Body: []byte("docket"), Wait: timeLimit,
	}
}

func start(r *rig.Rig) error {
	if err := r.PutSettings(settings()); err != nil {
		return err
	}
	_, err := r.StartTarget("i-7f3a91c2", "filing-desk", func(w http.ResponseWriter, req *http.Request, work rig.Work) {
		took := usualTime
		if strings.Contains(work.ID, "b00") {
			took = longTime
		}
		select {
		case <-time.After(took):
			rig.Answer(w, work, "the docket of "+work.ID)
		case <-req.Context().Done():
			r.Logf("target %s: drops %s, its channel is closed", work.Target.ID, work.ID)
		}
	})
	if err != nil {
		return err
	}
	if err := r.NewNodes(3, 1); err != nil {
		return err
	}
	for _, n := range r.Nodes() {
		if err := n.Start(); err != nil {
			return err
		}
	}
	if err := r.AwaitReady(15 * time.Second); err != nil {
		return err
	}
	// All have been in touch for longer than StableWindowMs.
	time.Sleep(3500 * time.Millisecond)
	return nil
}

// judge applies the rule MIXED: a success has the signature and the body of its runner.
func judge(r *rig.Rig, replies []rig.Reply, disrupted bool) int {
	code := rig.Held
	for i, reply := range replies {
		complete := reply.Err == nil && reply.Status/100 == 2
		if complete && (!reply.Signed() || len(reply.Body) == 0) {
			r.Logf("MIXED: request %d got a complete success that no runner made", i)
			code = rig.Broken
		}
		if !disrupted && !complete {
			r.Logf("request %d was not served, without any disruption", i)
			code = rig.NotRun
		}
	}
	r.Logf("exit %d", code)
	return code
}
