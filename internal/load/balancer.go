package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/banyanglade/banyanglade/internal/testkit"
)

// Timing of the balancer's health checks.
const (
	healthInterval = 250 * time.Millisecond
	healthTimeout  = 500 * time.Millisecond
)

// balancer simulates the platform's load balancer: it picks among the instances
// whose readiness check succeeds.
type balancer struct {
	instances []*testkit.Process
	client    *http.Client
	cancel    context.CancelFunc
	work      sync.WaitGroup

	mu   sync.Mutex
	down map[string]bool
}

func newBalancer(ctx context.Context, instances []*testkit.Process) *balancer {
	ctx, cancel := context.WithCancel(ctx)
	b := &balancer{
		instances: append([]*testkit.Process(nil), instances...), client: &http.Client{Timeout: healthTimeout},
		cancel: cancel, down: make(map[string]bool),
	}
	for _, p := range b.instances {
		b.work.Go(func() { b.check(ctx, p) })
	}
	return b
}

func (b *balancer) close() {
	b.cancel()
	b.work.Wait()
	b.client.CloseIdleConnections()
}

// check polls the readiness of one instance until the context ends.
func (b *balancer) check(ctx context.Context, p *testkit.Process) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		response, err := b.client.Get(p.Server + "/readyz")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		b.set(p.Server, !ready)
	}
}

func (b *balancer) set(server string, down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down[server] = down
}

// pick returns the base URL of a random instance that is not marked down, or of
// any instance if all are.
func (b *balancer) pick(random *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var up []string
	for _, p := range b.instances {
		if !b.down[p.Server] {
			up = append(up, p.Server)
		}
	}
	if len(up) == 0 {
		return b.instances[random.IntN(len(b.instances))].Server
	}
	return up[random.IntN(len(up))]
}
