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

var faultDuration = flag.Duration("faults", 5*time.Second, "how long faults are injected in each run")

// productPackage is the package of the executable of the instances.
const productPackage = "github.com/banyanglade/banyanglade/cmd/banyanglade"

// ciSeeds run in CI, ciLoadSeeds with load faults.
var (
	ciSeeds     = []uint64{1, 2}
	ciLoadSeeds = []uint64{3}
	// ciVersionSeeds run with targets of several software versions.
	ciVersionSeeds = []uint64{4, 5}
	// ciDeadlySeeds run with requests that end targets.
	ciDeadlySeeds = []uint64{6, 7, 9}
	// ciLateSeeds are those of them whose requests also end targets later.
	ciLateSeeds = []uint64{9}
	// ciShortGraceSeeds run with requests that outlast the grace period.
	ciShortGraceSeeds = []uint64{8}
	// ciBadClientSeeds run beside crowds of clients that do not keep to the protocol.
	ciBadClientSeeds = []uint64{11}
)

// regressions are seeds that have found faults, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1008, "others named an instance as the owner whose claim had taken effect without a reply"},
	{1023, "the instance so named took another one for the owner"},
	{7003, "the check took a stored turn aborted at its route's timeout for one aborted by a shutdown"},
	{7010, "the same"},
}

// shortGracePeriod is shorter than many requests.
const shortGracePeriod = 300 * time.Millisecond

// TestShortRuns runs a few seeds; "go run ./cmd/soak" runs more seeds for longer.
func TestShortRuns(t *testing.T) {
	t.Parallel()
	binary := buildProduct(t)
	for _, seed := range slices.Concat(ciSeeds, ciLoadSeeds, ciVersionSeeds, ciDeadlySeeds, ciShortGraceSeeds, ciBadClientSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			grace := DefaultGracePeriod
			if slices.Contains(ciShortGraceSeeds, seed) {
				grace = shortGracePeriod
			}
			runSeed(t, Options{
				Binary: binary, Seed: seed, GracePeriod: grace, FaultDuration: *faultDuration, Instances: 3, Programs: 6,
				EntryFaults: true, LoadFaults: slices.Contains(ciLoadSeeds, seed),
				Versions: slices.Contains(ciVersionSeeds, seed), DeadlyRequests: slices.Contains(ciDeadlySeeds, seed), LateEnds: slices.Contains(ciLateSeeds, seed),
				BadClients: slices.Contains(ciBadClientSeeds, seed),
			})
		})
	}
	for _, r := range regressions {
		t.Run(fmt.Sprintf("seed %d, %s", r.seed, r.cause), func(t *testing.T) {
			t.Parallel()
			runSeed(t, Options{Binary: binary, Seed: r.seed, FaultDuration: regressionFaultDuration, Instances: 4, Programs: 12})
		})
	}
}

// buildProduct builds the executable of the instances.
func buildProduct(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "banyanglade")
	if output, err := exec.Command("go", "build", "-o", binary, productPackage).CombinedOutput(); err != nil {
		t.Fatalf("build the product: %v\n%s", err, output)
	}
	return binary
}

// regressionFaultDuration is the fault duration with which the regressions were found.
const regressionFaultDuration = 12 * time.Second

// logDir returns the directory for settings files and logs: a temporary one, or one of the
// test in that of SOAK_KEEP.
func logDir(t *testing.T) string {
	t.Helper()
	keep := os.Getenv("SOAK_KEEP")
	if keep == "" {
		return t.TempDir()
	}
	dir := filepath.Join(keep, t.Name())
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	return dir
}

func runSeed(t *testing.T, options Options) {
	options.Dir = logDir(t)
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
	t.Logf("%d of %d attempts served, %d of %d resumed streams continued, %d targets ended under %d requests, %d others refused for good, %d faults",
		result.Served, result.Attempts, result.Continued, result.Resumed, result.Ended, result.Deadly, result.Innocent, len(result.Faults))
}
