package budget

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// A record makes room for up to recordAheadTurns whole turns beyond the one that needs
// it, within maxRecordAheadFraction of the budget: a loss of accounts costs the program what
// is left of it, while a record costs one append, shared with others.
const (
	recordAheadTurns       = 2
	maxRecordAheadFraction = 0.125
)

// account is one program's budget at its owner. All counts are tokens.
type account struct {
	program string
	budget  int
	// maxTurn is the most that any turn seen may generate.
	maxTurn int
	// crashes is how many owners' accounts were lost before this one was made: if
	// there are any, used may hold more than was generated.
	crashes int
	// used was generated or is charged.
	used int
	// leased is the sum of the leases that may still give room back.
	leased int
	leases map[structs.RoomLease]lease
	// limit is never passed by used and leased together.
	limit int
	// recorded tells that the store holds a record; want is the limit of the
	// record to be written, 0 if none is.
	recorded     bool
	pendingLimit int
	// waiters wait for room, in order of arrival.
	waiters   []*waiter
	retention time.Duration
	lastUsed  time.Time
	// lastTarget ran the last turn, empty if unknown.
	lastTarget string
}

// lease is room that a turn holds.
type lease struct {
	tokens int
	// holderDown tells that the turn's instance is gone: the room counts as used
	// unless the instance comes back and settles.
	holderDown bool
}

// waiter is a turn that waits for room. The function reply is called once.
type waiter struct {
	lease     structs.RoomLease
	maxTokens int
	reply     func(result)
}

// newAccount makes the account of a program without a record. What it may have
// used without one at owners whose accounts were lost counts as used.
func newAccount(program string, budget, maxTurn, crashes int) *account {
	return &account{
		program: program, budget: budget, maxTurn: maxTurn, crashes: crashes,
		used: unrecordedLimit(budget, crashes), limit: unrecordedLimit(budget, crashes+1),
		leases: make(map[structs.RoomLease]lease),
	}
}

// restoreAccount makes the account of a program from the limit in its record, at an
// owner behind some losses. The owners between the one that wrote the record and
// this one may have handed out their slices beyond it.
func restoreAccount(program string, r accountRecord, crashes int, retention time.Duration, now time.Time) *account {
	a := &account{
		program: program, budget: r.Budget, maxTurn: r.MaxTurn, crashes: max(crashes, 1), recorded: true,
		leases: make(map[structs.RoomLease]lease), retention: retention, lastUsed: now,
	}
	past := r.Limit + unrecordedLimit(r.Budget, crashes) - unrecordedLimit(r.Budget, r.Crashes+1)
	a.used = min(max(past, r.Limit), max(a.hardLimit(), r.Limit))
	a.limit = a.used
	if crashes > 0 {
		slice := unrecordedLimit(r.Budget, crashes+1) - unrecordedLimit(r.Budget, crashes)
		a.limit = max(min(a.used+slice, a.hardLimit()), a.used)
	}
	return a
}

// hardLimit is what used and leased may reach in the end. Where used holds more
// than was generated, the most of one turn is added: the invariant then still
// keeps what was generated within the budget and the most of one turn.
func (a *account) hardLimit() int {
	if a.crashes > 0 {
		return a.budget + a.maxTurn
	}
	return a.budget
}

// decision is what an ask gets at the moment.
type decision uint8

const (
	granted decision = iota
	// exhausted: there is no room, and none can come back.
	exhausted
	// awaitSettle: turns under way may give room back.
	awaitSettle
	// awaitRecord: there is room once a record is written.
	awaitRecord
)

// decide tells what an ask for room gets.
func (a *account) decide(maxTokens int) decision {
	need := a.used + a.leased + maxTokens
	switch {
	case need <= a.limit:
		return granted
	case need <= a.hardLimit():
		return awaitRecord
	case a.leased > 0:
		return awaitSettle
	}
	return exhausted
}

// unused tells that no turn of the program is known to have run or to run now.
func (a *account) unused() bool { return a.used == 0 && len(a.leases) == 0 && a.lastTarget == "" }

// grant gives room to an ask that judge has granted.
func (a *account) grant(w *waiter) {
	a.leases[w.lease] = lease{tokens: w.maxTokens}
	a.leased += w.maxTokens
}

// requestRecord asks for a record that makes room for a turn and some more.
func (a *account) requestRecord(maxTokens int) {
	need := a.used + a.leased + maxTokens
	turns := min(recordAheadTurns, int(maxRecordAheadFraction*float64(a.budget))/max(maxTokens, 1))
	a.pendingLimit = max(a.pendingLimit, min(a.hardLimit(), need+turns*maxTokens))
}

// settle ends a lease. It tells whether there was one.
func (a *account) settle(id structs.RoomLease, used int) bool {
	l, ok := a.leases[id]
	if !ok {
		return false
	}
	delete(a.leases, id)
	if l.holderDown {
		a.used -= l.tokens
	} else {
		a.leased -= l.tokens
	}
	a.used += used
	return true
}

// updateTarget remembers the target that ran the last turn, unless it failed it.
func (a *account) updateTarget(target string, failed bool) {
	switch {
	case target == "":
	case !failed:
		a.lastTarget = target
	case a.lastTarget == target:
		a.lastTarget = ""
	}
}

// chargeLeasesOf counts the leases of an instance that is gone as used.
func (a *account) chargeLeasesOf(holder structs.InstanceID) bool {
	changed := false
	for id, l := range a.leases {
		if id.Holder != holder || l.holderDown {
			continue
		}
		a.leases[id] = lease{tokens: l.tokens, holderDown: true}
		a.leased -= l.tokens
		a.used += l.tokens
		changed = true
	}
	return changed
}

// expired tells whether the program cannot come back any more.
func (a *account) expired(now time.Time) bool {
	return len(a.waiters) == 0 && a.leased == 0 && now.Sub(a.lastUsed) > a.retention
}

// export is the account as it is handed over.
func (a *account) export(now time.Time) structs.RoomAccount {
	out := structs.RoomAccount{
		Program: a.program, Budget: a.budget, Most: a.maxTurn, Charged: a.crashes > 0, Losses: a.crashes,
		Used: a.used, Limit: a.limit, Recorded: a.recorded,
		Retention: a.retention, Idle: now.Sub(a.lastUsed), Target: a.lastTarget,
	}
	for id, l := range a.leases {
		if !l.holderDown {
			out.Leases = append(out.Leases, structs.RoomLeaseSize{Lease: id, Tokens: l.tokens})
		}
	}
	return out
}

// reportedCrashes is a number of losses that another instance told, which is at least
// one where there was any: instances of before do not count them.
func reportedCrashes(crashes int, crashed bool) int {
	if crashed {
		return max(crashes, 1)
	}
	return crashes
}

// importAccount is an account that was handed over.
func importAccount(in structs.RoomAccount, now time.Time) *account {
	a := &account{
		program: in.Program, budget: in.Budget, maxTurn: in.Most, crashes: reportedCrashes(in.Losses, in.Charged),
		used: in.Used, limit: in.Limit, recorded: in.Recorded,
		retention: in.Retention, lastUsed: now.Add(-in.Idle), lastTarget: in.Target,
		leases: make(map[structs.RoomLease]lease, len(in.Leases)),
	}
	for _, l := range in.Leases {
		a.leases[l.Lease] = lease{tokens: l.Tokens}
		a.leased += l.Tokens
	}
	return a
}
