package proofs

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// productPackage is the package of the product's binary.
const productPackage = "github.com/banyanglade/banyanglade/cmd/banyanglade"

// testSeed is the seed of the load; the verdict does not depend on it.
const testSeed = 1

// binary is the path of the product's binary, built by TestMain.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "banyanglade-proofs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "banyanglade")
	output, err := exec.Command("go", "build", "-o", binary, productPackage).CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build the product: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// atOnce is the number of scenarios that run at a time.
const atOnce = 3

// TestQuickScenarios runs the scenarios marked as quick; "make proofs" runs all.
func TestQuickScenarios(t *testing.T) {
	slots := make(chan struct{}, atOnce)
	for _, s := range All() {
		if !s.Quick {
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			result := Run(context.Background(), binary, s, testSeed, EvidenceConfig{Dir: os.Getenv("PROOFS_KEEP")})
			for _, v := range result.Violations {
				t.Error(v)
			}
			t.Logf("%d faults, %+v, took %s", result.Faults, result.Counts, result.Took)
		})
	}
}

func TestScenarioNamesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for _, s := range All() {
		if seen[s.Name] {
			t.Errorf("two scenarios are named %q", s.Name)
		}
		seen[s.Name] = true
	}
}
