package proofs

import (
	"fmt"
	"slices"
)

// Property names an invariant.
type Property string

// Properties that Check verifies. PropertyScenario stands for a scenario's own
// expectations.
const (
	PropertyOrder      Property = "order in a lane"
	PropertyAnswers    Property = "whole answer to its own request"
	PropertyBudget     Property = "spending within the budget"
	PropertyHistory    Property = "no program's history lost"
	PropertyCache      Property = "no cache held for programs that are gone"
	PropertyNotRun     Property = "not run means not run"
	PropertyAtMostOnce Property = "not repeatable runs at most once"
	PropertyIntent     Property = "a not-repeatable run has its intent in the log first"
	PropertyLostAnswer Property = "no lost answer"
	PropertyLeaving    Property = "no new work to a leaving target"
	PropertySettings   Property = "accepted settings in force and never reverted"
	PropertyOrders     Property = "no order of an older controller after a newer one's"
	PropertyScenario   Property = "scenario"
)

// Violation describes one violation of a property.
type Violation struct {
	Property Property
	Detail   string
}

func (v Violation) String() string { return string(v.Property) + ": " + v.Detail }

func violation(property Property, format string, args ...any) Violation {
	return Violation{Property: property, Detail: fmt.Sprintf(format, args...)}
}

// Verdict is the result of Check.
type Verdict struct {
	Counts     Counts
	Violations []Violation
}

// Counts summarizes a scenario. The calls are counted by their final outcome.
type Counts struct {
	Calls    int
	Answered int
	Replayed int
	NotRun   int
	Unknown  int
	// Duplicates, Lost and WrongRefusals count the violations of
	// PropertyAtMostOnce, PropertyLostAnswer and PropertyNotRun.
	Duplicates    int
	Lost          int
	WrongRefusals int
}

// Check verifies all properties against the evidence.
func Check(e Evidence) Verdict {
	runs := indexRuns(e)
	var found []Violation
	for _, check := range []func(Evidence, *runIndex) []Violation{
		checkStrayRuns, checkOnce, checkNotRun, checkLostAnswers, checkHistory, checkOrder, checkAnswers,
		checkBudget, checkCache, checkIntents, checkLeaving, checkOrders, checkSettings,
	} {
		found = append(found, check(e, runs)...)
	}
	return Verdict{Counts: count(e, found), Violations: found}
}

func count(e Evidence, found []Violation) Counts {
	counts := Counts{
		Calls: len(e.Calls), Duplicates: countOf(found, PropertyAtMostOnce),
		Lost: countOf(found, PropertyLostAnswer), WrongRefusals: countOf(found, PropertyNotRun),
	}
	for _, call := range e.Calls {
		switch call.finalOutcome() {
		case Answered:
			counts.Answered++
		case Replayed:
			counts.Replayed++
		case NotRun:
			counts.NotRun++
		case Unknown:
			counts.Unknown++
		}
	}
	return counts
}

func countOf(found []Violation, property Property) int {
	n := 0
	for _, v := range found {
		if v.Property == property {
			n++
		}
	}
	return n
}

// lastAttempt returns the attempt that ended last, false if there is none.
func (c Call) lastAttempt() (Attempt, bool) {
	if len(c.Attempts) == 0 {
		return Attempt{}, false
	}
	return slices.MaxFunc(c.Attempts, func(a, b Attempt) int { return a.End.Compare(b.End) }), true
}

// finalOutcome returns the outcome of the first answered attempt, else that of the
// attempt that ended last.
func (c Call) finalOutcome() Outcome {
	for _, a := range c.Attempts {
		if a.Outcome.answered() {
			return a.Outcome
		}
	}
	last, ok := c.lastAttempt()
	if !ok {
		return NoResponse
	}
	return last.Outcome
}

func (c Call) name() string {
	return fmt.Sprintf("%s call of program %s lane %q number %d key %q", c.Kind, c.Program, c.Lane, c.Number, c.Key)
}
