package budget

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// A record raises the limit by up to recordAheadTurns turns beyond the one that needs
// it, within maxRecordAheadFraction of the budget. A larger limit saves appends; after
// a crash the program loses the unused part of it.
const (
	recordAheadTurns       = 2
	maxRecordAheadFraction = 0.125
)

// account is the budget of one program at its owner. All counts are tokens.
type account struct {
	program string
	budget  int
	// maxTurn is the largest number of tokens that any turn seen may generate.
	maxTurn int
	// crashes is the number of owners that had crashed before this account was
	// created. If it is not 0, used may exceed what was generated.
	crashes int
	// used is the number of tokens generated or charged.
	used int
	// leased is the sum of the leases of turns in progress. Leases is nil if there are
	// none.
	leased int
	leases map[structs.LeaseID]lease
	// limit is the upper bound of used + leased.
	limit int
	// recorded indicates that the store holds a record. pendingLimit is the limit of
	// the record to be written, 0 if none is.
	recorded     bool
	pendingLimit int
	// waiters wait for a reservation, in order of arrival.
	waiters []*waiter
	// retention is how long the program may return after lastEnd, the latest time at which
	// a turn without a lease may have ended. restored indicates that the retention of
	// earlier turns is unknown.
	retention time.Duration
	lastEnd   time.Time
	restored  bool
	// lastTarget ran the last turn; empty if unknown.
	lastTarget string
}

// lease is the reservation of one turn.
type lease struct {
	tokens int
	// end is the latest time at which the turn ends.
	end time.Time
	// holderDown indicates that the turn's instance is unavailable: the lease counts
	// as used unless the instance recovers and settles it.
	holderDown bool
}

// waiter is a turn that waits for a reservation. reply is called once.
type waiter struct {
	lease     structs.LeaseID
	maxTokens int
	// end is the latest time at which the turn ends.
	end   time.Time
	reply func(result)
}

// newAccount creates the account of a program without a record. The slices of crashed
// owners count as used.
func newAccount(program string, budget, maxTurn, crashes int) *account {
	return &account{
		program: program, budget: budget, maxTurn: maxTurn, crashes: crashes,
		used: unrecordedLimit(budget, crashes), limit: unrecordedLimit(budget, crashes+1),
	}
}

// restoreAccount creates an account from the program's record. The owners between the
// one that wrote the record and this one may have allocated their slices beyond its
// limit, so these count as used. The program's last turn may run until lastEnd.
func restoreAccount(program string, r accountRecord, crashes int, lastEnd time.Time) *account {
	a := &account{
		program: program, budget: r.Budget, maxTurn: r.MaxTurn, crashes: max(crashes, 1), recorded: true,
		lastEnd: lastEnd, restored: true,
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

// hardLimit is the highest value that limit may reach. After a crash used may exceed
// what was generated, so one more turn is allowed; tokens generated still stay within
// the budget plus one turn.
func (a *account) hardLimit() int {
	if a.crashes > 0 {
		return a.budget + a.maxTurn
	}
	return a.budget
}

// decision is the outcome of admitting a turn now.
type decision uint8

const (
	granted decision = iota
	// exhausted: the budget is used up and no lease can return tokens.
	exhausted
	// awaitSettle: turns in progress may return tokens.
	awaitSettle
	// awaitRecord: the turn fits once a record is written.
	awaitRecord
)

// decide returns whether a turn of up to maxTokens tokens is admitted.
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

// unused reports whether no turn of the program is known to have run or to be in
// progress.
func (a *account) unused() bool { return a.used == 0 && len(a.leases) == 0 && a.lastTarget == "" }

// forgettable reports whether a new account would be the same.
func (a *account) forgettable() bool {
	return a.unused() && len(a.waiters) == 0 && a.crashes == 0 && !a.recorded && a.pendingLimit == 0
}

// grant leases tokens to a waiter for which decide returned granted.
func (a *account) grant(w *waiter) {
	if a.leases == nil {
		a.leases = make(map[structs.LeaseID]lease)
	}
	a.leases[w.lease] = lease{tokens: w.maxTokens, end: w.end}
	a.leased += w.maxTokens
}

// requestRecord raises pendingLimit to cover the turn and some later ones.
func (a *account) requestRecord(maxTokens int) {
	need := a.used + a.leased + maxTokens
	turns := min(recordAheadTurns, int(maxRecordAheadFraction*float64(a.budget))/max(maxTokens, 1))
	a.pendingLimit = max(a.pendingLimit, min(a.hardLimit(), need+turns*maxTokens))
}

// settle ends a lease and reports whether it existed.
func (a *account) settle(id structs.LeaseID, used int) bool {
	l, ok := a.leases[id]
	if !ok {
		return false
	}
	delete(a.leases, id)
	if len(a.leases) == 0 {
		a.leases = nil
	}
	if l.holderDown {
		a.used -= l.tokens
	} else {
		a.leased -= l.tokens
	}
	a.used += used
	return true
}

// updateTarget stores the target of the last turn, and clears it if that target failed
// the turn.
func (a *account) updateTarget(target string, failed bool) {
	switch {
	case target == "":
	case !failed:
		a.lastTarget = target
	case a.lastTarget == target:
		a.lastTarget = ""
	}
}

// chargeLeasesOf counts the leases of an unavailable instance as used. Its turns may
// still run.
func (a *account) chargeLeasesOf(holder structs.InstanceID) bool {
	changed := false
	for id, l := range a.leases {
		if id.Holder != holder || l.holderDown {
			continue
		}
		a.leases[id] = lease{tokens: l.tokens, end: l.end, holderDown: true}
		a.recordTurnEnd(l.end)
		a.leased -= l.tokens
		a.used += l.tokens
		changed = true
	}
	return changed
}

// recordTurnEnd records the latest time at which a turn ends.
func (a *account) recordTurnEnd(at time.Time) {
	if at.After(a.lastEnd) {
		a.lastEnd = at
	}
}

// expired reports whether the account can be dropped: no turn is in progress and the
// program can no longer return. longest is the longest retention of any program.
func (a *account) expired(now time.Time, longest time.Duration) bool {
	return len(a.waiters) == 0 && a.leased == 0 && now.Sub(a.lastEnd) > a.retentionWithin(longest)+deliveryMargin
}

// retentionWithin returns how long the program may return after lastEnd, given the longest
// retention of any program.
func (a *account) retentionWithin(longest time.Duration) time.Duration {
	if a.restored {
		return max(a.retention, longest)
	}
	return a.retention
}

// export returns the account in the form of a handover message. longest is the longest
// retention of any program.
func (a *account) export(now time.Time, longest time.Duration) structs.BudgetAccount {
	out := structs.BudgetAccount{
		Program: a.program, Budget: a.budget, MaxTurn: a.maxTurn, AfterCrash: a.crashes > 0, Crashes: a.crashes,
		Used: a.used, Limit: a.limit, Recorded: a.recorded,
		Retention: a.retentionWithin(longest), Idle: now.Sub(a.lastEnd), LastTarget: a.lastTarget,
	}
	for id, l := range a.leases {
		if !l.holderDown {
			out.Leases = append(out.Leases, structs.Lease{ID: id, Tokens: l.tokens})
		}
	}
	return out
}

// reportedCrashes returns the crash count of a handover message. It is at least 1
// after a crash, since older versions do not send a count.
func reportedCrashes(crashes int, any bool) int {
	if any {
		return max(crashes, 1)
	}
	return crashes
}

// importAccount creates an account from a handover message. Its turns in progress end
// within longestTurn.
func importAccount(in structs.BudgetAccount, now time.Time, longestTurn time.Duration) *account {
	a := &account{
		program: in.Program, budget: in.Budget, maxTurn: in.MaxTurn, crashes: reportedCrashes(in.Crashes, in.AfterCrash),
		used: in.Used, limit: in.Limit, recorded: in.Recorded,
		retention: in.Retention, lastEnd: now.Add(-in.Idle), lastTarget: in.LastTarget,
		leases: make(map[structs.LeaseID]lease, len(in.Leases)),
	}
	for _, l := range in.Leases {
		a.leases[l.ID] = lease{tokens: l.Tokens, end: now.Add(longestTurn)}
		a.leased += l.Tokens
	}
	return a
}
