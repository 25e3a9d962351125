package proofs

import "slices"

// All returns all scenarios in the order of the report.
func All() []Scenario {
	return slices.Concat(
		instanceScenarios(), logScenarios(), networkScenarios(), targetScenarios(),
		programScenarios(), settingsScenarios(), orderScenarios(), randomScenarios(),
	)
}
