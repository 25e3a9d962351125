package owner

import (
	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// onBudgetRequest serves the ledger of a team path. A grant is committed before
// it is sent, and a repeated request gets the same grant.
func (o *Owner) onBudgetRequest(from structs.InstanceID, m *structs.BudgetRequest) {
	s := o.ensureShard(o.ledgerShard(m.Team))
	if !s.owned() {
		if !o.draining {
			s.claimOrRedirect(from, m, nil)
		}
		return
	}
	if o.draining || s.pendingGrants[m.Grant] {
		return
	}
	if l := s.state.Ledgers[m.Team]; l != nil {
		if g, ok := l.Grants[m.Grant]; ok {
			s.sendGrant(from, m, g.Amount)
			return
		}
	}
	amount := s.ledgerAvailable(m)
	if m.Tokens > 0 && amount.Tokens <= 0 || m.Fees > 0 && amount.Fees <= 0 {
		s.verifyOwnership(func(verified bool) {
			if verified {
				o.send(from, &structs.BudgetGrant{Team: m.Team, Account: m.Account, Grant: m.Grant, Refused: true})
			}
		})
		return
	}
	s.writeGrant(from, m, amount)
}

// ledgerAvailable returns how much of a request the budget still allows.
func (s *shard) ledgerAvailable(m *structs.BudgetRequest) journal.Amount {
	limit := s.teamLimit(m.Team)
	granted := s.pendingGrantAmounts[m.Team]
	if l := s.state.Ledgers[m.Team]; l != nil {
		granted = granted.Add(l.Granted)
	}
	amount := journal.Amount{Tokens: m.Tokens, Fees: m.Fees}
	if limit.Tokens > 0 {
		amount.Tokens = min(amount.Tokens, limit.Tokens-granted.Tokens)
	}
	if limit.Fees > 0 {
		amount.Fees = min(amount.Fees, limit.Fees-granted.Fees)
	}
	return amount.Max(journal.Amount{})
}

func (s *shard) writeGrant(from structs.InstanceID, m *structs.BudgetRequest, amount journal.Amount) {
	if s.app.full() {
		return
	}
	s.pendingGrants[m.Grant] = true
	s.pendingGrantAmounts[m.Team] = s.pendingGrantAmounts[m.Team].Add(amount)
	record := &journal.LedgerGrant{Team: m.Team, Account: m.Account, Grant: m.Grant, Amount: amount}
	s.app.push(record, urgent, func() {
		delete(s.pendingGrants, m.Grant)
		s.pendingGrantAmounts[m.Team] = s.pendingGrantAmounts[m.Team].Sub(amount)
		s.sendGrant(from, m, amount)
	})
}

func (s *shard) sendGrant(to structs.InstanceID, m *structs.BudgetRequest, amount journal.Amount) {
	s.o.send(to, &structs.BudgetGrant{
		Team: m.Team, Account: m.Account, Grant: m.Grant, Tokens: amount.Tokens, Fees: amount.Fees,
	})
}

// onBudgetReturn records the returned part of a grant.
func (o *Owner) onBudgetReturn(m *structs.BudgetReturn) {
	s := o.shards[o.ledgerShard(m.Team)]
	if s == nil || !s.owned() {
		return
	}
	s.app.push(&journal.LedgerReturn{
		Team: m.Team, Grant: m.Grant, Amount: journal.Amount{Tokens: m.Tokens, Fees: m.Fees},
	}, lazy, nil)
}

// returnGrants returns the unspent part of the newest grants. No live call may
// hold any of it.
func (s *shard) returnGrants() {
	for _, team := range journal.SortedKeys(s.state.Accounts) {
		row := s.state.Accounts[team]
		chunk := row.Chunks[s.epoch]
		if chunk == nil || chunk.Settled || row.Epoch != s.epoch {
			continue
		}
		chunk.Settled = true
		owner, ok := s.o.members.OwnerOf(s.o.refOf(s.o.ledgerShard(team)))
		if !ok {
			continue
		}
		left := chunk.Reserved.Sub(chunk.Used).Max(journal.Amount{})
		for _, grant := range journal.SortedKeys(row.Grants) {
			part := row.Grants[grant].Min(left)
			left = left.Sub(part)
			if !part.IsZero() {
				s.o.send(owner, &structs.BudgetReturn{
					Team: team, Account: s.ref, Grant: grant, Tokens: part.Tokens, Fees: part.Fees,
				})
			}
		}
	}
}
