package proofs

import "slices"

// All lists the scenarios in the order in which they are reported.
func All() []Scenario {
	return slices.Concat(
		instanceScenarios(), logScenarios(), networkScenarios(), targetScenarios(),
		programScenarios(), settingsScenarios(), orderScenarios(), randomScenarios(),
	)
}
