package bench

import (
	"bytes"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// smallOptions returns options for a short run.
func smallOptions(workloads ...string) Options {
	o := DefaultOptions()
	o.Duration, o.Warmup, o.Seeds = 10*time.Second, 0, []uint64{1}
	o.Workloads, o.Variants = workloads, []string{Baseline, Full}
	return o
}

// A program without sub-agents on an idle system must take exactly its
// IdleLatency.
func TestIdleLatencyMatchesEngineModel(t *testing.T) {
	o := smallOptions()
	spec := &Program{ID: "p", Team: "a", Chain: Chain{
		{InputTokens: 1500, OutputTokens: 40, Pause: time.Second}, {InputTokens: 300, OutputTokens: 20, Pause: time.Second},
		{InputTokens: 10, OutputTokens: 5},
	}}
	d := newDriver(o, Workload{}, structs.DefaultRules(), 1)
	sample := d.run([]*Program{spec})
	if slowdown := sample.Slowdowns[0][0]; math.Abs(slowdown-1) > 0.001 {
		t.Fatalf("slowdown on an idle system is %v, want 1", slowdown)
	}
}

func TestSameSeedGivesSameResults(t *testing.T) {
	o := smallOptions("dying", "overload")
	first, err := Measure(o)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Measure(o)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(first, second) {
		t.Fatalf("two runs with the same seed differ:\n%+v\n%+v", first, second)
	}
}

func TestRunWritesAllVariants(t *testing.T) {
	var out bytes.Buffer
	if err := Run(&out, smallOptions("survey")); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"survey", Baseline, Full, "recomputed %"} {
		if !bytes.Contains(out.Bytes(), []byte(name)) {
			t.Errorf("the table does not contain %q", name)
		}
	}
	if err := Run(&out, smallOptions("none")); err == nil {
		t.Error("no error for an unknown workload")
	}
}
