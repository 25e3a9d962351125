package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/internal/delay"
	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// run executes programs against a cluster.
type run struct {
	cluster   *testkit.Cluster
	balancer  *balancer
	model     engine.ModelSettings
	classes   map[string]Class
	recorders map[string]*classRecorder
	http      *http.Client

	mu sync.Mutex
	// ended holds the IDs of programs that make no more calls.
	ended  map[string]bool
	errors []error
}

func newRun(ctx context.Context, c *testkit.Cluster, model engine.ModelSettings, classes []Class) *run {
	r := &run{
		cluster: c, balancer: newBalancer(ctx, c.Instances), model: model,
		classes: make(map[string]Class), recorders: make(map[string]*classRecorder),
		http:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		ended: make(map[string]bool),
	}
	for _, class := range classes {
		r.classes[class.Name] = class
		r.recorders[class.Name] = newClassRecorder()
	}
	return r
}

func (r *run) close() {
	r.balancer.close()
	r.http.CloseIdleConnections()
}

// runOpenLoop runs programs at their arrival times and waits for all of them.
func (r *run) runOpenLoop(ctx context.Context, programs []*Program) {
	started := time.Now()
	var group sync.WaitGroup
	for _, p := range programs {
		delay.Sleep(ctx, p.Arrival-time.Since(started))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { r.runProgram(ctx, p) })
	}
	group.Wait()
}

// runClosedLoop runs programs sequentially in each of a number of callers
// until the context ends or all programs have run.
func (r *run) runClosedLoop(ctx context.Context, programs []*Program, callers int) {
	next := make(chan *Program)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for p := range next {
				r.runProgram(ctx, p)
			}
		})
	}
	for _, p := range programs {
		select {
		case next <- p:
			continue
		case <-ctx.Done():
		}
		break
	}
	close(next)
	group.Wait()
}

// runProgram runs one program and records its latency.
func (r *run) runProgram(ctx context.Context, p *Program) {
	recorder := r.recorders[p.Class]
	recorder.started.Add(1)
	started := time.Now()
	c := &caller{
		key: callerKey(p.Class), http: r.http, balancer: r.balancer, recorder: recorder,
		random: rand.New(rand.NewPCG(p.Seed, 0)),
	}
	id, err := c.open(ctx)
	if err != nil {
		r.recordFailure(ctx, recorder, err)
		return
	}
	l := &lane{run: r, caller: c, program: id, messages: []wire.ChatMessage{
		{Role: "system", Content: fillerText(r.classes[p.Class].SharedTokens)},
	}}
	// The engines have the shared message cached after the first program.
	l.contextTokens = engine.PromptTokens(l.messages)
	idle, err := l.runSteps(ctx, p.Steps)
	if err != nil {
		r.recordFailure(ctx, recorder, err)
	} else {
		recorder.recordFinished(time.Since(started), idle)
	}
	if !p.Abandoned {
		_ = c.close(ctx, id)
	}
	r.markEnded(id)
}

// markEnded records that a program makes no more calls.
func (r *run) markEnded(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended[id] = true
}

func (r *run) hasEnded(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended[id]
}

// recordFailure records a failed program, unless it was cut off by the end of
// the run.
func (r *run) recordFailure(ctx context.Context, recorder *classRecorder, err error) {
	if ctx.Err() != nil {
		return
	}
	recorder.failed.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, err)
}

// idleLatency returns the time of a chat on an idle engine: the prefill of its
// new tokens in chunks, then one step per token. The last chunk yields the
// first token.
func (r *run) idleLatency(newTokens, outputTokens int) time.Duration {
	m := r.model
	chunks := (max(1, newTokens) + m.PrefillChunk - 1) / m.PrefillChunk
	steps := chunks + outputTokens - 1
	return time.Duration(steps)*m.StepBase + time.Duration(newTokens)*m.StepPerPrefillToken +
		time.Duration(outputTokens)*m.StepPerSequence
}
