package budget

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// A record makes room for up to chunkTurns whole turns beyond the one that needs
// it, within chunkShare of the budget: a loss of accounts costs the program what
// is left of it, while a record costs one append, shared with others.
const (
	chunkTurns = 2
	chunkShare = 0.125
)

// account is one program's budget at its owner. All counts are tokens.
type account struct {
	program string
	budget  int
	// most is the most that any turn seen may generate.
	most int
	// losses is how many owners' accounts were lost before this one was made: if
	// there are any, used may hold more than was generated.
	losses int
	// used was generated or is charged.
	used int
	// leased is the sum of the leases that may still give room back.
	leased int
	leases map[structs.RoomLease]lease
	// limit is never passed by used and leased together.
	limit int
	// recorded tells that the store holds a record; want is the limit of the
	// record to be written, 0 if none is.
	recorded bool
	want     int
	// asks wait for room, in order of arrival.
	asks      []*ask
	retention time.Duration
	touched   time.Time
	// target ran the last turn, empty if unknown.
	target string
}

// lease is room that a turn holds.
type lease struct {
	tokens int
	// lost tells that the turn's instance is gone: the room counts as used
	// unless the instance comes back and settles.
	lost bool
}

// ask is a turn that waits for room. The function reply is called once.
type ask struct {
	lease structs.RoomLease
	most  int
	reply func(answer)
}

// newAccount makes the account of a program without a record. What it may have
// used without one at owners whose accounts were lost counts as used.
func newAccount(program string, budget, most, losses int) *account {
	return &account{
		program: program, budget: budget, most: most, losses: losses,
		used: sliceEnd(budget, losses), limit: sliceEnd(budget, losses+1),
		leases: make(map[structs.RoomLease]lease),
	}
}

// restored makes the account of a program from the limit in its record, at an
// owner behind some losses. The owners between the one that wrote the record and
// this one may have handed out their slices beyond it.
func restored(program string, r accountRecord, losses int, retention time.Duration, now time.Time) *account {
	a := &account{
		program: program, budget: r.Budget, most: r.Most, losses: max(losses, 1), recorded: true,
		leases: make(map[structs.RoomLease]lease), retention: retention, touched: now,
	}
	past := r.Limit + sliceEnd(r.Budget, losses) - sliceEnd(r.Budget, r.Losses+1)
	a.used = min(max(past, r.Limit), max(a.ceiling(), r.Limit))
	a.limit = a.used
	if losses > 0 {
		slice := sliceEnd(r.Budget, losses+1) - sliceEnd(r.Budget, losses)
		a.limit = max(min(a.used+slice, a.ceiling()), a.used)
	}
	return a
}

// ceiling is what used and leased may reach in the end. Where used holds more
// than was generated, the most of one turn is added: the invariant then still
// keeps what was generated within the budget and the most of one turn.
func (a *account) ceiling() int {
	if a.losses > 0 {
		return a.budget + a.most
	}
	return a.budget
}

// verdict is what an ask gets at the moment.
type verdict uint8

const (
	granted verdict = iota
	// spent: there is no room, and none can come back.
	spent
	// awaitSettle: turns under way may give room back.
	awaitSettle
	// awaitRecord: there is room once a record is written.
	awaitRecord
)

// judge tells what an ask for room gets.
func (a *account) judge(most int) verdict {
	need := a.used + a.leased + most
	switch {
	case need <= a.limit:
		return granted
	case need <= a.ceiling():
		return awaitRecord
	case a.leased > 0:
		return awaitSettle
	}
	return spent
}

// untouched tells that no turn of the program is known to have run or to run now.
func (a *account) untouched() bool { return a.used == 0 && len(a.leases) == 0 && a.target == "" }

// grant gives room to an ask that judge has granted.
func (a *account) grant(k *ask) {
	a.leases[k.lease] = lease{tokens: k.most}
	a.leased += k.most
}

// wantRecord asks for a record that makes room for a turn and some more.
func (a *account) wantRecord(most int) {
	need := a.used + a.leased + most
	turns := min(chunkTurns, int(chunkShare*float64(a.budget))/max(most, 1))
	a.want = max(a.want, min(a.ceiling(), need+turns*most))
}

// settle ends a lease. It tells whether there was one.
func (a *account) settle(id structs.RoomLease, used int) bool {
	l, ok := a.leases[id]
	if !ok {
		return false
	}
	delete(a.leases, id)
	if l.lost {
		a.used -= l.tokens
	} else {
		a.leased -= l.tokens
	}
	a.used += used
	return true
}

// noteTarget remembers the target that ran the last turn, unless it failed it.
func (a *account) noteTarget(target string, failed bool) {
	switch {
	case target == "":
	case !failed:
		a.target = target
	case a.target == target:
		a.target = ""
	}
}

// loseHolder counts the leases of an instance that is gone as used.
func (a *account) loseHolder(holder structs.InstanceID) bool {
	changed := false
	for id, l := range a.leases {
		if id.Holder != holder || l.lost {
			continue
		}
		a.leases[id] = lease{tokens: l.tokens, lost: true}
		a.leased -= l.tokens
		a.used += l.tokens
		changed = true
	}
	return changed
}

// idle tells whether the program cannot come back any more.
func (a *account) idle(now time.Time) bool {
	return len(a.asks) == 0 && a.leased == 0 && now.Sub(a.touched) > a.retention
}

// export is the account as it is handed over.
func (a *account) export(now time.Time) structs.RoomAccount {
	out := structs.RoomAccount{
		Program: a.program, Budget: a.budget, Most: a.most, Charged: a.losses > 0, Losses: a.losses,
		Used: a.used, Limit: a.limit, Recorded: a.recorded,
		Retention: a.retention, Idle: now.Sub(a.touched), Target: a.target,
	}
	for id, l := range a.leases {
		if !l.lost {
			out.Leases = append(out.Leases, structs.RoomLeaseSize{Lease: id, Tokens: l.tokens})
		}
	}
	return out
}

// lossesKnown is a number of losses that another instance told, which is at least
// one where there was any: instances of before do not count them.
func lossesKnown(losses int, any bool) int {
	if any {
		return max(losses, 1)
	}
	return losses
}

// imported is an account that was handed over.
func imported(in structs.RoomAccount, now time.Time) *account {
	a := &account{
		program: in.Program, budget: in.Budget, most: in.Most, losses: lossesKnown(in.Losses, in.Charged),
		used: in.Used, limit: in.Limit, recorded: in.Recorded,
		retention: in.Retention, touched: now.Add(-in.Idle), target: in.Target,
		leases: make(map[structs.RoomLease]lease, len(in.Leases)),
	}
	for _, l := range in.Leases {
		a.leases[l.Lease] = lease{tokens: l.Tokens}
		a.leased += l.Tokens
	}
	return a
}
