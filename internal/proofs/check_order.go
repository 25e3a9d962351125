package proofs

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/banyanglade/banyanglade/internal/standin/service"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// laneID names a lane of a program.
type laneID struct{ program, lane string }

// numberedCall is a call that has runs, with them.
type numberedCall struct {
	call Call
	runs []wire.LedgerEntry
}

// checkOrder finds calls of a lane that ran before an earlier one had ended.
func checkOrder(e Evidence, runs *runIndex) []Violation {
	lanes := make(map[laneID][]numberedCall)
	for i, call := range e.Calls {
		if call.Number == 0 || len(runs.byCall[i]) == 0 {
			continue
		}
		id := laneID{call.Program, call.Lane}
		lanes[id] = append(lanes[id], numberedCall{call, runs.byCall[i]})
	}
	var found []Violation
	for _, calls := range lanes {
		slices.SortStableFunc(calls, func(a, b numberedCall) int { return cmp.Compare(a.call.Number, b.call.Number) })
		for i := 1; i < len(calls); i++ {
			found = append(found, checkPair(calls[i-1], calls[i])...)
		}
	}
	return found
}

// checkPair judges two calls of a lane that follow each other.
func checkPair(earlier, later numberedCall) []Violation {
	if earlier.call.Number == later.call.Number {
		return nil
	}
	var found []Violation
	begin := later.runs[0].TimeMS
	for _, run := range earlier.runs {
		if run.TimeMS > begin+clockSlackMS {
			found = append(found, violation(PropertyOrder, "%s ran at time %d, after number %d at %d",
				earlier.call.name(), run.TimeMS, later.call.Number, begin))
			continue
		}
		end := run.TimeMS + earlier.call.RunTime.Milliseconds()
		if run.Finished && begin+clockSlackMS < end && !earlier.call.givenUp(begin) {
			found = append(found, violation(PropertyOrder, "%s began at time %d, before number %d ended at %d",
				later.call.name(), begin, earlier.call.Number, end))
		}
	}
	return found
}

// givenUp tells whether the caller had heard by then that the call's outcome is
// not known: it went on in that knowledge, while the call may still run.
func (c Call) givenUp(by int64) bool {
	return slices.ContainsFunc(c.Attempts, func(a Attempt) bool {
		return a.Word == Unknown && a.End.UnixMilli() <= by+clockSlackMS
	})
}

// checkAnswers compares each answer with what its target made for that call.
func checkAnswers(e Evidence, runs *runIndex) []Violation {
	var found []Violation
	for i, call := range e.Calls {
		for _, a := range call.Attempts {
			if !a.Word.whole() {
				continue
			}
			if detail := wrongAnswer(call, a, runs.byCall[i]); detail != "" {
				found = append(found, violation(PropertyAnswers, "%s: %s", call.name(), detail))
			}
		}
	}
	return found
}

// wrongAnswer tells what is wrong with an answer, empty if nothing.
func wrongAnswer(call Call, a Attempt, runs []wire.LedgerEntry) string {
	if len(runs) == 0 {
		return "answered, but no target ran it"
	}
	if call.Kind == Chat {
		if a.Text != call.Want {
			return "answer " + clip(a.Text) + ", want " + clip(call.Want)
		}
		return ""
	}
	var answer service.Response
	if err := json.Unmarshal(a.Body, &answer); err != nil {
		return "answer is not the target's: " + clip(string(a.Body))
	}
	made := slices.ContainsFunc(runs, func(run wire.LedgerEntry) bool {
		return run.Target == answer.Target && run.Sequence == answer.Sequence
	})
	if !made || answer.Path != call.Path || answer.BodyHash != call.BodyHash {
		return "answer is that of another request: " + clip(string(a.Body))
	}
	return ""
}

func clip(text string) string {
	const limit = 160
	if len(text) > limit {
		return text[:limit] + "…"
	}
	return text
}
