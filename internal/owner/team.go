package owner

import (
	"strconv"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	// grantDivisor limits a grant beyond what the call needs, as a fraction of
	// the team's budget.
	grantDivisor = 64
	// grantRetryInterval is the interval between requests to the ledger's owner,
	// grantTimeout the time after which the request fails.
	grantRetryInterval = 300 * time.Millisecond
	grantTimeout       = 2 * time.Second
	// ledgerTimeout is how long a request waits for its ledger's shard.
	ledgerTimeout = time.Second
)

// account is the live state of the part of a team's budget granted to this shard.
type account struct {
	shard *shard
	team  structs.Team
	// held is the amount of the chunk that running calls may use.
	held journal.Amount
	// request is the pending grant request, set until its credit is committed.
	request     *structs.BudgetRequest
	requestedAt time.Time
	timer       *timer
	// creditingGrant is the grant whose credit was written last.
	creditingGrant string
	grantCount     int
}

// budgetPaths returns the paths of a team that have their own budget. A path that
// inherits its parent's budget is limited by the parent's ledger.
func (s *shard) budgetPaths(team structs.Team) []structs.Team {
	var list []structs.Team
	paths := journal.Ancestors(team)
	for i, path := range paths {
		limit := s.teamLimit(path)
		if limit.IsZero() || i+1 < len(paths) && limit == s.teamLimit(paths[i+1]) {
			continue
		}
		list = append(list, path)
	}
	return list
}

func (s *shard) teamLimit(path structs.Team) journal.Amount {
	policy := s.o.settings.Policy(path)
	return journal.Amount{Tokens: policy.TeamTokens, Fees: policy.TeamFees}
}

func (s *shard) account(team structs.Team) *account {
	a := s.accounts[team]
	if a == nil {
		a = &account{shard: s, team: team}
		s.accounts[team] = a
	}
	return a
}

// free returns the part of the granted chunk that no call holds.
func (a *account) free() journal.Amount {
	var free journal.Amount
	if row := a.shard.state.Accounts[a.team]; row != nil {
		if chunk := row.Chunks[a.shard.epoch]; chunk != nil && !chunk.Settled {
			free = chunk.Reserved.Sub(chunk.Used).Sub(a.held)
		}
	}
	limit := a.shard.teamLimit(a.team)
	if limit.Tokens == 0 {
		free.Tokens = unlimited
	}
	if limit.Fees == 0 {
		free.Fees = unlimited
	}
	return free
}

// holdTeamBudgets holds the worst case of the call's next run in the budget of
// every path of its team. If a budget is too small it requests a grant, for which
// the call waits, and returns false.
func (c *call) holdTeamBudgets() bool {
	if c.teamRuns > c.failedRuns {
		return true
	}
	need := c.worstCase()
	paths := c.shard.budgetPaths(c.prog.team)
	for _, path := range paths {
		a := c.shard.account(path)
		if missing := need.Sub(a.free()).Max(journal.Amount{}); !missing.IsZero() {
			c.phase = phaseReserve
			a.requestGrant(missing)
			return false
		}
	}
	c.heldTeams, c.teamRuns = paths, c.teamRuns+1
	c.teamHold = c.teamHold.Add(need)
	for _, path := range paths {
		a := c.shard.account(path)
		a.held = a.held.Add(need)
	}
	return true
}

// releaseTeamBudgets releases the amounts that the call holds.
func (c *call) releaseTeamBudgets() {
	for _, path := range c.heldTeams {
		a := c.shard.account(path)
		a.held = a.held.Sub(c.teamHold)
	}
	c.heldTeams, c.teamHold, c.teamRuns = nil, journal.Amount{}, 0
}

// requestGrant requests a grant from the ledger's owner, one at a time.
func (a *account) requestGrant(missing journal.Amount) {
	if a.request != nil {
		return
	}
	s := a.shard
	a.grantCount++
	limit, policy := s.teamLimit(a.team), s.o.settings.Policy(a.team)
	amount := missing
	if missing.Tokens > 0 {
		amount.Tokens = max(missing.Tokens, min(policy.ChunkTokens, limit.Tokens/grantDivisor))
	}
	a.request = &structs.BudgetRequest{
		Team: a.team, Account: s.ref, Tokens: amount.Tokens, Fees: amount.Fees,
		Grant: s.o.writer + "/" + s.stream + "/" + strconv.FormatUint(uint64(s.epoch), 10) + "/" + strconv.Itoa(a.grantCount),
	}
	a.requestedAt = s.o.now
	a.sendRequest()
}

func (a *account) sendRequest() {
	s := a.shard
	if s.o.now.Sub(a.requestedAt) >= grantTimeout {
		a.request = nil
		s.refuseWaiting(a.team, structs.ReasonOwnerUnavailable, busyRetryAfter)
		return
	}
	if owner, ok := s.o.members.OwnerOf(s.o.refOf(s.o.ledgerShard(a.team))); ok {
		s.o.send(owner, a.request)
	}
	a.timer = s.o.after(grantRetryInterval, a.sendRequest)
}

// ledgerShard returns the shard that stores a team path's ledger.
func (o *Owner) ledgerShard(team structs.Team) structs.ShardID {
	return structs.ShardOf(structs.ProgramID(team), o.cfg.Shards)
}

// refuseWaiting refuses the calls that wait for a team path's budget.
func (s *shard) refuseWaiting(team structs.Team, reason structs.Reason, after time.Duration) {
	for _, p := range s.sortedPrograms() {
		if !team.Contains(p.team) {
			continue
		}
		for _, c := range p.sortedCalls() {
			switch {
			case c.phase != phaseReserve:
			case dependsOnState(reason):
				c.refuseVerified(reason, after, nil)
			default:
				c.refuse(reason, after)
			}
		}
	}
}

// onBudgetGrant journals a grant. It may be spent once the record is committed.
func (o *Owner) onBudgetGrant(m *structs.BudgetGrant) {
	s := o.shards[m.Account.Shard]
	if s == nil || !s.owned() || s.accounts[m.Team] == nil {
		return
	}
	a := s.accounts[m.Team]
	if a.request == nil || a.request.Grant != m.Grant || a.creditingGrant == m.Grant {
		a.returnGrant(m)
		return
	}
	o.timers.stop(a.timer)
	if m.Refused {
		a.request = nil
		s.refuseWaiting(m.Team, structs.ReasonBudget, 0)
		return
	}
	// a.request stays set until the credit is committed, so that no second grant
	// is requested. creditingGrant keeps a repeated grant from being credited
	// twice.
	a.creditingGrant = m.Grant
	credit := &journal.Credit{Team: m.Team, Grant: m.Grant, Amount: journal.Amount{Tokens: m.Tokens, Fees: m.Fees}}
	s.app.push(credit, urgent, func() {
		a.request = nil
		s.onCredited(m.Team)
	})
}

// returnGrant returns a grant that arrived too late, unless it repeats one that
// was credited.
func (a *account) returnGrant(m *structs.BudgetGrant) {
	s := a.shard
	if m.Refused || m.Grant == a.creditingGrant {
		return
	}
	if row := s.state.Accounts[m.Team]; row != nil {
		if _, ok := row.Grants[m.Grant]; ok {
			return
		}
	}
	if owner, ok := s.o.members.OwnerOf(s.o.refOf(s.o.ledgerShard(m.Team))); ok {
		s.o.send(owner, &structs.BudgetReturn{
			Team: m.Team, Account: m.Account, Grant: m.Grant, Tokens: m.Tokens, Fees: m.Fees,
		})
	}
}

// onCredited resumes the calls that waited for the grant.
func (s *shard) onCredited(team structs.Team) {
	for _, p := range s.sortedPrograms() {
		if team.Contains(p.team) {
			p.onReserved()
		}
	}
}
