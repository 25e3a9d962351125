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

// scenarioLimit bounds one scenario with its start and its end.
const scenarioLimit = 150 * time.Second

// Scenario is a set of instances under load and faults.
type Scenario struct {
	Name string
	// Description names what the scenario is about.
	Description string
	Instances   int
	// Quick scenarios are run by the Go test of the package.
	Quick bool
	// Relayed puts relays between the instances and in front of the log.
	Relayed bool
	// Budget is the budget of each program; its settings are made from it.
	Budget Program
	// TeamFees is the budget of all programs together, likewise.
	TeamFees int64
	// Settings are further settings, by path.
	Settings map[string]any
	// Env are further environment variables of the instances, NAME=value.
	Env []string
	// Standins changes the usual stand-ins.
	Standins func(*cluster.Settings)
	// AllAnswered tells that nothing excuses a refusal: every call must be
	// answered.
	AllAnswered bool
	// Run brings about the load and the faults. It returns once the load has
	// ended.
	Run func(ctx context.Context, r *Rig) error
}

// settings gives the scenario's settings with those of its budget.
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
	// EvidenceDir is the directory of the evidence of a failed scenario.
	EvidenceDir string
}

// OK tells whether nothing was violated.
func (r Result) OK() bool { return len(r.Violations) == 0 }

// EvidenceConfig tells where the evidence of a scenario goes.
type EvidenceConfig struct {
	// Dir is the directory; empty keeps nothing.
	Dir string
	// Always keeps also that of a scenario that violated nothing.
	Always bool
}

// Run runs one scenario. Its load and the drawn faults depend on the seed.
func Run(ctx context.Context, binary string, s Scenario, seed uint64, keep EvidenceConfig) Result {
	started := time.Now()
	limited, cancel := context.WithTimeout(ctx, scenarioLimit)
	defer cancel()
	result := Result{Scenario: s, Seed: seed}
	rig, err := start(limited, binary, s, seed)
	if err != nil {
		result.Violations = []Violation{violation(PropertyScenario, "%v", err)}
		return result
	}
	defer rig.Close()
	err = s.Run(limited, rig)
	rig.Log.SetFaults(wire.LogFaults{})
	rig.untilReleased(limited)
	evidence := rig.collect(ctx)
	evidence.TeamFees = s.TeamFees
	result.Verdict = Check(evidence)
	if err != nil {
		result.Violations = append(result.Violations, violation(PropertyScenario, "%v", err))
	}
	if s.AllAnswered {
		result.Violations = append(result.Violations, refusals(evidence)...)
	}
	result.Faults = rig.faults
	result.Took = time.Since(started)
	if keep.Dir != "" && (keep.Always || !result.OK()) {
		result.EvidenceDir = keepEvidence(keep.Dir, rig, evidence, result)
	}
	return result
}

// refusals lists the calls that were not answered.
func refusals(e Evidence) []Violation {
	var found []Violation
	for _, c := range e.Calls {
		if !c.lastWord().whole() {
			found = append(found, violation(PropertyScenario, "%s was not answered: %s", c.name(), describeAttempts(c)))
		}
	}
	return found
}

// keepEvidence writes the logs of the instances, what the callers saw and the
// violations.
func keepEvidence(parent string, rig *Rig, e Evidence, result Result) string {
	dir := filepath.Join(parent, result.Scenario.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err.Error()
	}
	write := func(name, text string) {
		_ = os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644)
	}
	for _, p := range append(rig.ended, rig.Instances...) {
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

// Find gives the scenarios of the given names, all if there are none.
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
