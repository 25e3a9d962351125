package proofs

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/banyanglade/banyanglade/internal/standin/service"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// laneID identifies a lane of a program.
type laneID struct{ program, lane string }

// numberedCall is a numbered call with its runs, at least one.
type numberedCall struct {
	call Call
	runs []wire.LedgerEntry
}

// checkOrder finds calls that began before an earlier call of their lane had
// ended.
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
			found = append(found, checkSuccessive(calls[i-1], calls[i])...)
		}
	}
	return found
}

// checkSuccessive checks the order of two successive calls of a lane.
func checkSuccessive(earlier, later numberedCall) []Violation {
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
		if run.Finished && begin+clockSlackMS < end && !earlier.call.abandonedBy(begin) {
			found = append(found, violation(PropertyOrder, "%s began at time %d, before number %d ended at %d",
				later.call.name(), begin, earlier.call.Number, end))
		}
	}
	return found
}

// abandonedBy reports whether the caller had received an unknown outcome by that
// time. Such a call may still run while the caller makes the next one.
func (c Call) abandonedBy(by int64) bool {
	return slices.ContainsFunc(c.Attempts, func(a Attempt) bool {
		return a.Outcome == Unknown && a.End.UnixMilli() <= by+clockSlackMS
	})
}

// checkAnswers compares each answer with the one that its target generated for the
// call.
func checkAnswers(e Evidence, runs *runIndex) []Violation {
	var found []Violation
	for i, call := range e.Calls {
		for _, a := range call.Attempts {
			if !a.Outcome.answered() {
				continue
			}
			if detail := answerMismatch(call, a, runs.byCall[i]); detail != "" {
				found = append(found, violation(PropertyAnswers, "%s: %s", call.name(), detail))
			}
		}
	}
	return found
}

// answerMismatch describes how an answer differs from the expected one; empty if
// it does not.
func answerMismatch(call Call, a Attempt, runs []wire.LedgerEntry) string {
	if len(runs) == 0 {
		return "answered, but no target ran it"
	}
	if call.Kind == Chat {
		if a.Text != call.WantText {
			return "answer " + truncate(a.Text) + ", want " + truncate(call.WantText)
		}
		return ""
	}
	var answer service.Response
	if err := json.Unmarshal(a.Body, &answer); err != nil {
		return "answer is not the target's: " + truncate(string(a.Body))
	}
	found := slices.ContainsFunc(runs, func(run wire.LedgerEntry) bool {
		return run.Target == answer.Target && run.Sequence == answer.Sequence
	})
	if !found || answer.Path != call.Path || answer.BodyHash != call.BodyHash {
		return "answer is that of another request: " + truncate(string(a.Body))
	}
	return ""
}

func truncate(text string) string {
	const limit = 160
	if len(text) > limit {
		return text[:limit] + "…"
	}
	return text
}
