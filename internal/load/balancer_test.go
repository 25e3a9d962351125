package load

import (
	"math/rand/v2"
	"testing"

	"github.com/banyanglade/banyanglade/internal/testkit"
)

func TestBalancerSkipsInstancesThatAreDown(t *testing.T) {
	b := &balancer{instances: []*testkit.Process{{Server: "a"}, {Server: "b"}}, down: make(map[string]bool)}
	random := rand.New(rand.NewPCG(1, 1))
	b.set("a", true)
	for range 20 {
		if got := b.pick(random); got != "b" {
			t.Fatalf("picked %s, want b", got)
		}
	}
	b.set("b", true)
	if got := b.pick(random); got == "" {
		t.Error("no instance picked while all are down")
	}
}

func TestIdleLatencyCountsSteps(t *testing.T) {
	r := &run{model: DefaultModel()}
	m := r.model
	// Two prefill chunks; the second one also yields the first of three tokens.
	want := 4*m.StepBase + 600*m.StepPerPrefillToken + 3*m.StepPerSequence
	if got := r.idleLatency(600, 3); got != want {
		t.Errorf("idle latency is %s, want %s", got, want)
	}
}
