package proofs

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/standin/cluster"
	"github.com/banyanglade/banyanglade/internal/testkit"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// scenarioTimeout bounds a scenario, including its start.
const scenarioTimeout = 150 * time.Second

// Scenario describes a cluster with its load and faults.
type Scenario struct {
	Name string
	// Description is what the scenario tests.
	Description string
	Instances   int
	// Quick scenarios are run by the package's Go test.
	Quick bool
	// Relayed puts relays between the instances and in front of the log.
	Relayed bool
	// Budget is the budget of each program. It is published as settings.
	Budget Program
	// TeamFees is the budget of all programs together, also published as a
	// setting; unlimited if 0.
	TeamFees int64
	// Settings holds additional settings by path.
	Settings map[string]any
	// Env holds additional environment variables of the instances, NAME=value.
	Env []string
	// Standins modifies the default settings of the stand-ins.
	Standins func(*cluster.Settings)
	// RequireAnswers reports each call that is not answered as a violation.
	RequireAnswers bool
	// Run generates the load and injects the faults. It returns once the load has
	// ended.
	Run func(ctx context.Context, r *Rig) error
}

// settings returns the scenario's settings, including those of the budgets.
func (s Scenario) settings() map[string]any {
	settings := make(map[string]any, len(s.Settings))
	for path, value := range s.Settings {
		settings[path] = value
	}
	team := "teams/" + testkit.TeamPath
	if s.Budget.Tokens > 0 {
		settings[team+"/program_tokens"] = s.Budget.Tokens
	}
	if s.Budget.Fees > 0 {
		settings[team+"/program_fees"] = s.Budget.Fees
	}
	if s.TeamFees > 0 {
		settings[team+"/team_fees"] = s.TeamFees
	}
	return settings
}

// Result is the outcome of one scenario.
type Result struct {
	Scenario Scenario
	Seed     uint64
	Faults   int
	Took     time.Duration
	Verdict
	// EvidenceDir is the directory that the evidence was written to, if any.
	EvidenceDir string
}

// OK reports whether there are no violations.
func (r Result) OK() bool { return len(r.Violations) == 0 }

// EvidenceConfig configures where the evidence of scenarios is written.
type EvidenceConfig struct {
	// Dir is the parent directory. Nothing is written if it is empty.
	Dir string
	// Always writes the evidence of scenarios without violations, too.
	Always bool
}

// Run runs a scenario and checks its evidence. The seed determines the load and the
// random faults.
func Run(ctx context.Context, binary string, s Scenario, seed uint64, output EvidenceConfig) Result {
	started := time.Now()
	limited, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	result := Result{Scenario: s, Seed: seed}
	rig, err := startRig(limited, binary, s, seed)
	if err != nil {
		result.Violations = []Violation{violation(PropertyScenario, "%v", err)}
		return result
	}
	defer rig.Close()
	err = s.Run(limited, rig)
	rig.Log.SetFaults(wire.LogFaults{})
	rig.waitReleased(limited)
	evidence := rig.collectEvidence(ctx)
	evidence.TeamFees = s.TeamFees
	result.Verdict = Check(evidence)
	if err != nil {
		result.Violations = append(result.Violations, violation(PropertyScenario, "%v", err))
	}
	if s.RequireAnswers {
		result.Violations = append(result.Violations, unanswered(evidence)...)
	}
	result.Faults = rig.faultCount
	result.Took = time.Since(started)
	if output.Dir != "" && (output.Always || !result.OK()) {
		result.EvidenceDir = writeEvidence(output.Dir, rig, evidence, result)
	}
	return result
}

// unanswered returns a violation for each call that was not answered.
func unanswered(e Evidence) []Violation {
	var found []Violation
	for _, c := range e.Calls {
		if !c.finalOutcome().answered() {
			found = append(found, violation(PropertyScenario, "%s was not answered: %s", c.name(), describeAttempts(c)))
		}
	}
	return found
}

// writeEvidence writes the logs of the instances, the history, the journal and the
// violations to a directory named after the scenario. It returns the directory, or
// the text of an error.
func writeEvidence(parent string, rig *Rig, e Evidence, result Result) string {
	dir := filepath.Join(parent, result.Scenario.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err.Error()
	}
	write := func(name, text string) {
		_ = os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644)
	}
	for _, p := range append(rig.removed, rig.Instances...) {
		write(p.ID+".log", p.Log())
	}
	write("history.txt", describeEvidence(e))
	write("journal.txt", describeLog(e))
	text := fmt.Sprintf("seed %d\n", result.Seed)
	for _, v := range result.Violations {
		text += v.String() + "\n"
	}
	write("violations.txt", text)
	return dir
}

// Find returns the scenarios with the given names, all scenarios if there are no
// names.
func Find(names []string) ([]Scenario, error) {
	all := All()
	if len(names) == 0 {
		return all, nil
	}
	var found []Scenario
	for _, name := range names {
		known := false
		for _, s := range all {
			if s.Name == name {
				found = append(found, s)
				known = true
			}
		}
		if !known {
			return nil, errors.Newf("there is no scenario %q", name)
		}
	}
	return found, nil
}
