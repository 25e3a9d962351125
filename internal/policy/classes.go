package policy

import "github.com/banyanglade/banyanglade/internal/structs"

// Class returns the class of a call by its team's priority; lower classes go
// first. If classes are disabled, all calls are of class 0.
func Class(rules structs.Rules, priority int) int {
	if !rules.Classes {
		return 0
	}
	return priority
}
