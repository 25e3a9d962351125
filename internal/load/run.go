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

// run is one run of programs against a cluster.
type run struct {
	cluster  *testkit.Cluster
	balancer *balancer
	model    engine.ModelSettings
	classes  map[string]Class
	figures  map[string]*classRecorder
	http     *http.Client

	mu sync.Mutex
	// gone holds the programs that ended.
	gone   map[string]bool
	errors []error
}

func newRun(ctx context.Context, c *testkit.Cluster, model engine.ModelSettings, classes []Class) *run {
	r := &run{
		cluster: c, balancer: newBalancer(ctx, c.Instances), model: model,
		classes: make(map[string]Class), figures: make(map[string]*classRecorder),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		gone: make(map[string]bool),
	}
	for _, class := range classes {
		r.classes[class.Name] = class
		r.figures[class.Name] = newClassRecorder()
	}
	return r
}

func (r *run) close() {
	r.balancer.close()
	r.http.CloseIdleConnections()
}

// open runs programs at their arrival times and waits for all.
func (r *run) open(ctx context.Context, programs []*Program) {
	started := time.Now()
	var group sync.WaitGroup
	for _, p := range programs {
		delay.Sleep(ctx, p.Arrival-time.Since(started))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { r.program(ctx, p) })
	}
	group.Wait()
}

// closed runs programs one after the other in each of a number of callers
// until the context ends or all have run.
func (r *run) closed(ctx context.Context, programs []*Program, callers int) {
	next := make(chan *Program)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for p := range next {
				r.program(ctx, p)
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

// program runs one program and notes its latency.
func (r *run) program(ctx context.Context, p *Program) {
	figures := r.figures[p.Class]
	figures.started.Add(1)
	started := time.Now()
	c := &caller{
		key: callerKey(p.Class), http: r.http, balancer: r.balancer, figures: figures,
		random: rand.New(rand.NewPCG(p.Seed, 0)),
	}
	id, err := c.open(ctx)
	if err != nil {
		r.fail(ctx, figures, err)
		return
	}
	l := &lane{run: r, caller: c, program: id, messages: []wire.ChatMessage{
		{Role: "system", Content: filler(r.classes[p.Class].SharedTokens)},
	}}
	// The engines hold the shared message after the first program.
	l.context = engine.PromptTokens(l.messages)
	alone, err := l.steps(ctx, p.Steps)
	if err != nil {
		r.fail(ctx, figures, err)
	} else {
		figures.ended(time.Since(started), alone)
	}
	if !p.Abandoned {
		_ = c.close(ctx, id)
	}
	r.end(id)
}

// end notes that a program makes no more calls.
func (r *run) end(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone[id] = true
}

func (r *run) isGone(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone[id]
}

// fail notes a program without its answers; one cut off by the end of the run
// is none.
func (r *run) fail(ctx context.Context, figures *classRecorder, err error) {
	if ctx.Err() != nil {
		return
	}
	figures.failed.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, err)
}

// alone is the time of a chat on an idle engine: the prefill of its new tokens
// in chunks, then one step a token. The last chunk makes the first token.
func (r *run) alone(fresh, output int) time.Duration {
	m := r.model
	chunks := (max(1, fresh) + m.PrefillChunk - 1) / m.PrefillChunk
	steps := chunks + output - 1
	return time.Duration(steps)*m.StepBase + time.Duration(fresh)*m.StepPerPrefillToken +
		time.Duration(output)*m.StepPerSequence
}
