package policy

import "github.com/banyanglade/banyanglade/internal/structs"

// Class gives the class of a call by its team's priority; lower goes first.
// With classes switched off all calls are of class 0.
func Class(rules structs.Rules, priority int) int {
	if !rules.Classes {
		return 0
	}
	return priority
}
