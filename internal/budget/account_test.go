package budget

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// accountAfterCrash returns the account at the next owner after a crash.
func accountAfterCrash(a *account) *account {
	if a.recorded {
		return restoreAccount(a.program, accountRecord{Budget: a.budget, MaxTurn: a.maxTurn, Limit: a.limit, Crashes: a.crashes}, a.crashes+1, time.Time{})
	}
	return newAccount(a.program, a.budget, a.maxTurn, a.crashes+1)
}

// runTurn runs a turn, writing a record if needed, and reports whether it was
// admitted.
func runTurn(a *account, maxTurn, used int) bool {
	id := structs.LeaseID{Number: 1}
	verdict := a.decide(maxTurn)
	if verdict == awaitRecord {
		a.requestRecord(maxTurn)
		a.limit, a.recorded, a.pendingLimit = a.pendingLimit, true, 0
		verdict = a.decide(maxTurn)
	}
	if verdict != granted {
		return false
	}
	a.grant(&waiter{lease: id, maxTokens: maxTurn})
	a.settle(id, used)
	return true
}

// A typical program continues after two crashes.
func TestSmallProgramSurvivesTwoCrashes(t *testing.T) {
	const budget, maxTurn, used = 900, 290, 70
	a := newAccount("p", budget, maxTurn, 1)
	if !runTurn(a, maxTurn, used) {
		t.Fatal("first turn after a crash was not admitted")
	}
	a = accountAfterCrash(a)
	if !runTurn(a, maxTurn, used) {
		t.Errorf("turn after a second crash was not admitted: %+v", a)
	}
}

// Across any turns and crashes, a program generates at most its budget plus one turn.
func TestAccountBoundHoldsOverCrashes(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("bound", prop.ForAll(boundHolds,
		gen.IntRange(0, 20000), gen.IntRange(1, 2000), gen.SliceOf(gen.IntRange(0, 100000))))
	properties.TestingRun(t)
}

// boundHolds runs turns, with a crash at each fifth step on average.
func boundHolds(budget, maxTurn int, steps []int) bool {
	a := newAccount("p", budget, maxTurn, 0)
	total := 0
	for _, step := range steps {
		if step%5 == 0 {
			a = accountAfterCrash(a)
			continue
		}
		used := step % (maxTurn + 1)
		if runTurn(a, maxTurn, used) {
			total += used
		}
	}
	return total <= budget+maxTurn
}

// The same bound for turns of different sizes.
func TestAccountBoundHoldsForAllTurnSizes(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 5000
	properties := gopter.NewProperties(parameters)
	properties.Property("bound", prop.ForAll(boundHoldsForSizes,
		gen.IntRange(0, 4000), gen.IntRange(1, 2000), gen.SliceOf(gen.IntRange(0, 1000000))))
	properties.TestingRun(t)
}

// boundHoldsForSizes runs turns of random sizes, with a crash at each third step on
// average.
func boundHoldsForSizes(budget, largest int, steps []int) bool {
	var a *account
	crashes, total, seen := 0, 0, 0
	recorded := map[bool]accountRecord{}
	for _, step := range steps {
		if step%3 == 0 {
			if a != nil && a.recorded {
				recorded[true] = accountRecord{Budget: a.budget, MaxTurn: a.maxTurn, Limit: a.limit, Crashes: crashes}
			}
			a, crashes = nil, crashes+1
			continue
		}
		maxTurn := 1 + step/6%largest
		if r, ok := recorded[true]; a == nil && ok {
			a = restoreAccount("p", r, crashes, time.Time{})
		} else if a == nil {
			a = newAccount("p", budget, maxTurn, crashes)
		}
		a.maxTurn = max(a.maxTurn, maxTurn)
		seen = max(seen, maxTurn)
		used := maxTurn
		if step%2 == 0 {
			used = step / 7 % (maxTurn + 1)
		}
		if runTurn(a, maxTurn, used) {
			total += used
		}
	}
	return total <= budget+seen
}

// Programs start and continue after two crashes in a row while the store is
// unavailable.
func TestProgramRunsWithoutARecordAfterCrashes(t *testing.T) {
	const budget, maxTurn = 2304, 288
	for crashes := range 2 {
		a := newAccount("p", budget, maxTurn, crashes)
		turns := 0
		for a.decide(maxTurn) == granted {
			a.grant(&waiter{lease: structs.LeaseID{Number: 1}, maxTokens: maxTurn})
			a.settle(structs.LeaseID{Number: 1}, maxTurn/3)
			turns++
		}
		if turns < 4 {
			t.Errorf("after %d crashes: %d turns without a record", crashes, turns)
		}
	}
}

func TestChargedLeaseIsRefundedWhenItsHolderSettles(t *testing.T) {
	a := newAccount("p", 1000, 100, 0)
	id := structs.LeaseID{Holder: "x", Number: 7}
	a.grant(&waiter{lease: id, maxTokens: 100})
	a.chargeLeasesOf("x")
	if a.used != 100 || a.leased != 0 {
		t.Errorf("after the holder became unavailable: %d used, %d leased", a.used, a.leased)
	}
	a.settle(id, 30)
	if a.used != 30 || a.settle(id, 30) {
		t.Errorf("after settling: %d used", a.used)
	}
}
