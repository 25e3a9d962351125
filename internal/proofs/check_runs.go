package proofs

import (
	"slices"
	"strings"

	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// clockSlackMS allows for the truncation of times to milliseconds.
const clockSlackMS = 1

// runIndex maps each call to its runs in the ledgers.
type runIndex struct {
	// byCall holds the runs of each call, by its index in Evidence.Calls.
	byCall [][]wire.LedgerEntry
	// stray holds the runs that belong to no call.
	stray []wire.LedgerEntry
}

// chatIdentity identifies a chat in an engine's ledger.
type chatIdentity struct{ program, body string }

// plainIdentity identifies a call in the ledger of a tool or plain service: the
// path and the key that the target receives (see targetKey).
type plainIdentity struct{ path, key string }

// targetKey returns the idempotency key that a target receives: the caller's key,
// made unique over all programs.
func targetKey(call Call) string {
	if call.Program == "" {
		return call.Key
	}
	return call.Program + ":" + call.Key
}

func indexRuns(e Evidence) *runIndex {
	index := &runIndex{byCall: make([][]wire.LedgerEntry, len(e.Calls))}
	chats := make(map[chatIdentity]int)
	plain := make(map[plainIdentity]int)
	for i, call := range e.Calls {
		if call.Kind == Chat {
			chats[chatIdentity{call.Program, call.BodyHash}] = i
			continue
		}
		plain[plainIdentity{call.Path, targetKey(call)}] = i
	}
	for _, entry := range allEntries(e.Engines) {
		i, ok := chats[chatIdentity{entry.Program, entry.BodyHash}]
		index.add(entry, i, ok)
	}
	for _, entry := range allEntries(e.Services) {
		i, ok := plain[plainIdentity{entry.Path, entry.Key}]
		if !ok {
			// A call without a program runs in an implicit program.
			i, ok = plain[plainIdentity{entry.Path, strings.TrimPrefix(entry.Key, entry.Program+":")}]
		}
		index.add(entry, i, ok)
	}
	return index
}

func (x *runIndex) add(entry wire.LedgerEntry, call int, known bool) {
	if !known {
		x.stray = append(x.stray, entry)
		return
	}
	x.byCall[call] = append(x.byCall[call], entry)
}

// allEntries merges the ledgers, ordered by time.
func allEntries(ledgers map[string][]wire.LedgerEntry) []wire.LedgerEntry {
	var all []wire.LedgerEntry
	for _, entries := range ledgers {
		all = append(all, entries...)
	}
	slices.SortStableFunc(all, func(a, b wire.LedgerEntry) int { return int(a.TimeMS - b.TimeMS) })
	return all
}

// checkStrayRuns finds runs that belong to no call.
func checkStrayRuns(_ Evidence, runs *runIndex) []Violation {
	var found []Violation
	for _, run := range runs.stray {
		found = append(found, violation(PropertyAnswers, "target %s ran a request that no caller made: program %s path %s body %s",
			run.Target, run.Program, run.Path, run.BodyHash))
	}
	return found
}

// checkOnce finds not-repeatable calls that ran more than once.
func checkOnce(e Evidence, runs *runIndex) []Violation {
	var found []Violation
	for i, call := range e.Calls {
		if call.NotRepeatable && len(runs.byCall[i]) > 1 {
			found = append(found, violation(PropertyAtMostOnce, "%s ran %d times: %s", call.name(),
				len(runs.byCall[i]), describeRuns(runs.byCall[i])))
		}
	}
	return found
}

// checkNotRun finds runs of calls that were refused as not run.
func checkNotRun(e Evidence, runs *runIndex) []Violation {
	var found []Violation
	for i, call := range e.Calls {
		if len(call.Attempts) == 0 {
			continue
		}
		for _, run := range runs.byCall[i] {
			if !call.allowsRun(run) {
				found = append(found, violation(PropertyNotRun, "%s got %s but ran at %s, time %d",
					call.name(), describeAttempts(call), run.Target, run.TimeMS))
				continue
			}
			if refusal, ok := call.refusedAfter(run); ok {
				found = append(found, violation(PropertyNotRun, "%s ran at %s, time %d, and then got not run (%s) at %s: %s",
					call.name(), run.Target, run.TimeMS, refusal.Reason, refusal.Instance, describeAttempts(call)))
				continue
			}
			last, _ := call.lastAttempt()
			if last.Outcome == NotRun && run.TimeMS > last.End.UnixMilli()+clockSlackMS {
				found = append(found, violation(PropertyNotRun, "%s ran at %s, time %d, after its last attempt: %s",
					call.name(), run.Target, run.TimeMS, describeAttempts(call)))
			}
		}
	}
	return found
}

// allowsRun reports whether the run can belong to an attempt that was not refused
// as not run: it began after the attempt did, and before the answer if there was
// one.
func (c Call) allowsRun(run wire.LedgerEntry) bool {
	for _, a := range c.Attempts {
		if a.Outcome == NotRun || a.Outcome == Unreachable || run.TimeMS < a.Start.UnixMilli()-clockSlackMS {
			continue
		}
		if !a.Outcome.answered() || run.TimeMS <= a.End.UnixMilli()+clockSlackMS {
			return true
		}
	}
	return false
}

// refusedAfter finds an attempt that was refused as not run after the run began.
// A caller may then make the same call under another key.
func (c Call) refusedAfter(run wire.LedgerEntry) (Attempt, bool) {
	for _, a := range c.Attempts {
		if a.Outcome == NotRun && a.End.UnixMilli() > run.TimeMS+clockSlackMS {
			return a, true
		}
	}
	return Attempt{}, false
}

// checkLostAnswers finds calls without a final outcome, and attempts that broke or
// got no response at an instance that was not killed or paused.
func checkLostAnswers(e Evidence, _ *runIndex) []Violation {
	var found []Violation
	for _, call := range e.Calls {
		if outcome := call.finalOutcome(); !outcome.final() {
			found = append(found, violation(PropertyLostAnswer, "%s ended without an outcome: %s", call.name(), describeAttempts(call)))
			continue
		}
		for _, a := range call.Attempts {
			if (a.Outcome == Broken || a.Outcome == NoResponse) && !e.duringFault(a) {
				found = append(found, violation(PropertyLostAnswer, "%s: attempt at %s, which was not killed or paused, was %s after %s",
					call.name(), a.Instance, a.Outcome, a.End.Sub(a.Start)))
			}
		}
	}
	return found
}

// duringFault reports whether the attempt overlaps a fault window of its instance.
func (e Evidence) duringFault(a Attempt) bool {
	return slices.ContainsFunc(e.FaultWindows, func(w FaultWindow) bool { return w.covers(a) })
}

// Reasons that a program which was opened must not get.
const (
	reasonUnknownProgram = "unknown-program"
	reasonTooOld         = "too-old"
)

// checkHistory finds calls of opened programs that were refused because the program
// is unknown or too old.
func checkHistory(e Evidence, _ *runIndex) []Violation {
	opened := make(map[string]bool)
	for _, p := range e.Programs {
		opened[p.ID] = true
	}
	var found []Violation
	for _, call := range e.Calls {
		for _, a := range call.Attempts {
			if opened[call.Program] && (a.Reason == reasonUnknownProgram || a.Reason == reasonTooOld) {
				found = append(found, violation(PropertyHistory, "%s got %s at %s, ended at %d",
					call.name(), a.Reason, a.Instance, a.End.UnixMilli()))
			}
		}
	}
	return found
}

// checkLeaving finds runs at leaving targets after their grace period.
func checkLeaving(e Evidence, _ *runIndex) []Violation {
	var found []Violation
	for _, leaving := range e.Leaving {
		limit := leaving.At.Add(leaving.Grace).UnixMilli()
		for _, run := range slices.Concat(e.Engines[leaving.Target], e.Services[leaving.Target]) {
			if run.TimeMS > limit {
				found = append(found, violation(PropertyLeaving, "target %s got a call of program %s %d ms after it was marked as leaving",
					leaving.Target, run.Program, run.TimeMS-leaving.At.UnixMilli()))
			}
		}
	}
	return found
}

// checkBudget compares what each program and the team spent with their budgets.
func checkBudget(e Evidence, runs *runIndex) []Violation {
	tokens, fees := make(map[string]int64), make(map[string]int64)
	for i, call := range e.Calls {
		for _, run := range runs.byCall[i] {
			fees[call.Program] += int64(call.Fee)
			if call.Kind == Chat {
				tokens[call.Program] += call.PromptTokens + run.Tokens
			}
		}
	}
	found := checkTeamBudget(e, fees)
	for _, p := range e.Programs {
		if p.Tokens > 0 && tokens[p.ID] > p.Tokens {
			found = append(found, violation(PropertyBudget, "program %s spent %d tokens of %d", p.ID, tokens[p.ID], p.Tokens))
		}
		if p.Fees > 0 && fees[p.ID] > p.Fees {
			found = append(found, violation(PropertyBudget, "program %s spent %d in fees of %d", p.ID, fees[p.ID], p.Fees))
		}
	}
	return found
}

// checkTeamBudget compares the fees of all programs with the team's budget.
func checkTeamBudget(e Evidence, fees map[string]int64) []Violation {
	total := int64(0)
	for _, fee := range fees {
		total += fee
	}
	if e.TeamFees == 0 || total <= e.TeamFees {
		return nil
	}
	return []Violation{violation(PropertyBudget, "the team paid %d in fees of %d", total, e.TeamFees)}
}

// checkCache finds cache held for closed programs.
func checkCache(e Evidence, _ *runIndex) []Violation {
	var found []Violation
	for _, p := range e.Programs {
		for target, state := range e.Caches {
			if p.Closed && state.Programs[p.ID] > 0 {
				found = append(found, violation(PropertyCache, "engine %s holds %d tokens for program %s, which is closed",
					target, state.Programs[p.ID], p.ID))
			}
		}
	}
	return found
}

// promptTokens returns the length of a prompt as the engines count it.
func promptTokens(messages []wire.ChatMessage) int64 { return int64(engine.PromptTokens(messages)) }
