package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

var faultDuration = flag.Duration("faults", 5*time.Second, "how long faults are brought about in each run")

// productPackage is the program of the instances.
const productPackage = "github.com/banyanglade/banyanglade/cmd/banyanglade"

// ciSeeds are played in CI, ciLoadSeeds with faults of load as well.
var (
	ciSeeds     = []uint64{1, 2}
	ciLoadSeeds = []uint64{3}
)

// regressions are seeds that failed once, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1008, "others named an instance as the owner whose claim had taken effect without an answer"},
	{1023, "the instance so named took yet another for the owner"},
	{7003, "the check counted a kept turn that was cut at its route's timeout as one cut by a shutdown"},
	{7010, "the same"},
}

// TestShortRuns plays some seeds; "go run ./cmd/soak" plays more and longer.
func TestShortRuns(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "banyanglade")
	if output, err := exec.Command("go", "build", "-o", binary, productPackage).CombinedOutput(); err != nil {
		t.Fatalf("build the product: %v\n%s", err, output)
	}
	for _, seed := range append(ciSeeds, ciLoadSeeds...) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runSeed(t, Options{
				Binary: binary, Seed: seed, FaultDuration: *faultDuration, Instances: 3, Programs: 6,
				EntryFaults: true, LoadFaults: slices.Contains(ciLoadSeeds, seed),
			})
		})
	}
	for _, r := range regressions {
		t.Run(fmt.Sprintf("seed %d, %s", r.seed, r.cause), func(t *testing.T) {
			runSeed(t, Options{Binary: binary, Seed: r.seed, FaultDuration: regressionFaultDuration, Instances: 4, Programs: 12})
		})
	}
}

// regressionFaultDuration is how long the runs took in which the seeds failed.
const regressionFaultDuration = 12 * time.Second

func runSeed(t *testing.T, options Options) {
	options.Dir = t.TempDir()
	if keep := os.Getenv("SOAK_KEEP"); keep != "" {
		options.Dir = keep
	}
	result, err := Run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range result.Violations {
		t.Error(v)
	}
	if t.Failed() {
		for _, line := range result.Faults {
			t.Log(line)
		}
	}
	t.Logf("%d of %d attempts served, %d faults", result.Served, result.Attempts, len(result.Faults))
}
