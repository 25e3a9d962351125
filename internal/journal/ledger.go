package journal

import (
	"strings"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Ledger is the budget of a team path, stored in the shard that the path hashes
// to. Grants are retained until PurgeWriters removes them, so that a repeated
// request gets the same grant.
type Ledger struct {
	Granted Amount
	Grants  map[string]Grant
}

// Grant is a part of a team path's budget that a shard received.
type Grant struct {
	Amount Amount
	TimeMS int64
}

// Account tracks what a shard received from a team path's ledger and used of it,
// by the epoch of the owner that received it.
type Account struct {
	Chunks map[structs.Epoch]*Chunk
	// Grants holds the grants of the newest epoch.
	Grants map[string]Amount
	Epoch  structs.Epoch
}

// Ancestors returns the path of a team and its parent paths, its own first.
func Ancestors(team structs.Team) []structs.Team {
	var list []structs.Team
	for path := string(team); path != ""; {
		list = append(list, structs.Team(path))
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return list
}

func (s *State) applyLedgerGrant(h Header, b *LedgerGrant) {
	l := s.Ledgers[b.Team]
	if l == nil {
		l = &Ledger{Grants: make(map[string]Grant)}
		s.Ledgers[b.Team] = l
	}
	if _, ok := l.Grants[b.Grant]; ok {
		return
	}
	l.Grants[b.Grant] = Grant{Amount: b.Amount, TimeMS: h.TimeMS}
	l.Granted = l.Granted.Add(b.Amount)
}

// applyLedgerReturn returns budget to the ledger. A return that exceeds the grant
// is ignored, so that a repeated return cannot raise the budget.
func (s *State) applyLedgerReturn(b *LedgerReturn) {
	l := s.Ledgers[b.Team]
	if l == nil {
		return
	}
	g, ok := l.Grants[b.Grant]
	if !ok || !b.Amount.LessOrEqual(g.Amount) {
		return
	}
	// With a zero amount the grant cannot be returned a second time.
	l.Grants[b.Grant] = Grant{TimeMS: g.TimeMS}
	l.Granted = l.Granted.Sub(b.Amount)
}

func (s *State) applyCredit(h Header, b *Credit) {
	a := s.Accounts[b.Team]
	if a == nil {
		a = &Account{Chunks: make(map[structs.Epoch]*Chunk)}
		s.Accounts[b.Team] = a
	}
	if a.Epoch != h.Epoch {
		// Grants of an older epoch stay with that epoch's owner. The ledger
		// counts them as spent until that owner returns them.
		a.Epoch, a.Grants = h.Epoch, make(map[string]Amount)
	}
	if _, ok := a.Grants[b.Grant]; ok {
		return
	}
	a.Grants[b.Grant] = b.Amount
	c := a.chunkOf(h.Epoch)
	c.Reserved = c.Reserved.Add(b.Amount)
}

func (a *Account) chunkOf(epoch structs.Epoch) *Chunk {
	c := a.Chunks[epoch]
	if c == nil {
		c = new(Chunk)
		a.Chunks[epoch] = c
	}
	return c
}

// chargeAccounts charges a cost to the accounts of a team and its parents, in the
// given epoch.
func (s *State) chargeAccounts(team structs.Team, epoch structs.Epoch, cost Amount) {
	for _, path := range Ancestors(team) {
		if a := s.Accounts[path]; a != nil && a.Chunks[epoch] != nil {
			a.Chunks[epoch].Used = a.Chunks[epoch].Used.Add(cost)
		}
	}
}
