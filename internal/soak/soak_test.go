package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var faultTime = flag.Duration("faults", 5*time.Second, "how long faults are brought about in each run")

// productPackage is the program of the instances.
const productPackage = "github.com/banyanglade/banyanglade/cmd/banyanglade"

// ciSeeds are played in CI.
var ciSeeds = []uint64{1, 2}

// regressions are seeds that failed once, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// TestShortRuns plays some seeds; "go run ./cmd/soak" plays more and longer.
func TestShortRuns(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "banyanglade")
	if output, err := exec.Command("go", "build", "-o", binary, productPackage).CombinedOutput(); err != nil {
		t.Fatalf("build the product: %v\n%s", err, output)
	}
	for _, seed := range ciSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { play(t, binary, seed) })
	}
	for _, r := range regressions {
		t.Run(fmt.Sprintf("seed %d, %s", r.seed, r.cause), func(t *testing.T) { play(t, binary, r.seed) })
	}
}

func play(t *testing.T, binary string, seed uint64) {
	dir := t.TempDir()
	if keep := os.Getenv("SOAK_KEEP"); keep != "" {
		dir = keep
	}
	result, err := Run(t.Context(), Options{
		Binary: binary, Dir: dir, Seed: seed, Faults: *faultTime, Instances: 3, Programs: 6,
	})
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
