package budget

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// lose is what the next owner makes of an account that it does not know, or
// knows from its record.
func lose(a *account) *account {
	if a.recorded {
		return restored(a.program, accountRecord{Budget: a.budget, Most: a.most, Limit: a.limit}, time.Minute, time.Time{})
	}
	return newAccount(a.program, a.budget, a.most, true)
}

// runTurn runs a turn, writing a record if one is needed. It tells whether
// there was room.
func runTurn(a *account, most, used int) bool {
	id := structs.RoomLease{Number: 1}
	verdict := a.judge(most)
	if verdict == awaitRecord {
		a.wantRecord(most)
		a.limit, a.recorded, a.want = a.want, true, 0
		verdict = a.judge(most)
	}
	if verdict != granted {
		return false
	}
	a.grant(&ask{lease: id, most: most})
	a.settle(id, used)
	return true
}

// An ordinary program goes on over two losses of its partition's accounts.
func TestSmallProgramSurvivesTwoLosses(t *testing.T) {
	const budget, most, used = 900, 290, 70
	a := newAccount("p", budget, most, true)
	if !runTurn(a, most, used) {
		t.Fatal("no room for the first turn after a loss")
	}
	a = lose(a)
	if !runTurn(a, most, used) {
		t.Errorf("no room for a turn after another loss: %+v", a)
	}
}

// Whatever turns run and whenever accounts are lost, a program gets no more
// than its budget and the most of one turn.
func TestAccountBoundHoldsOverLosses(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("bound", prop.ForAll(boundHolds,
		gen.IntRange(0, 20000), gen.IntRange(1, 2000), gen.SliceOf(gen.IntRange(0, 100000))))
	properties.TestingRun(t)
}

// boundHolds runs turns, and loses the accounts at each fifth step on average.
func boundHolds(budget, most int, steps []int) bool {
	a := newAccount("p", budget, most, false)
	total := 0
	for _, step := range steps {
		if step%5 == 0 {
			a = lose(a)
			continue
		}
		used := step % (most + 1)
		if runTurn(a, most, used) {
			total += used
		}
	}
	return total <= budget+most
}

func TestLostLeaseIsGivenBackWhenItsHolderSettles(t *testing.T) {
	a := newAccount("p", 1000, 100, false)
	id := structs.RoomLease{Holder: "x", Number: 7}
	a.grant(&ask{lease: id, most: 100})
	a.loseHolder("x")
	if a.used != 100 || a.leased != 0 {
		t.Errorf("after the loss: %d used, %d leased", a.used, a.leased)
	}
	a.settle(id, 30)
	if a.used != 30 || a.settle(id, 30) {
		t.Errorf("after settling: %d used", a.used)
	}
}
