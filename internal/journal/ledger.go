package journal

import (
	"strings"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Ledger is the budget of a team path, kept in the shard that the path hashes
// to. Grants stay in it for a while, so that a repeated request gets the same
// grant.
type Ledger struct {
	Granted Amount
	Grants  map[string]Grant
}

// Grant is a part of a team path's budget that a shard got.
type Grant struct {
	Amount Amount
	TimeMS int64
}

// Account is what a shard got from a team path's ledger and used of it, by the
// epoch of the owner that got it.
type Account struct {
	Chunks map[structs.Epoch]*Chunk
	// Grants holds the grants of the newest epoch.
	Grants map[string]Amount
	Epoch  structs.Epoch
}

// Ancestors lists the path of a team and those above it, its own first.
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

// applyLedgerReturn gives back at most what the grant still holds, so that a
// repeated return cannot raise the budget.
func (s *State) applyLedgerReturn(b *LedgerReturn) {
	l := s.Ledgers[b.Team]
	if l == nil {
		return
	}
	g, ok := l.Grants[b.Grant]
	if !ok || !b.Amount.LessOrEqual(g.Amount) {
		return
	}
	// The grant can be returned once.
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
		// An owner of an older epoch keeps what it got; it is counted as
		// spent in the ledger until that owner returns it.
		a.Epoch, a.Grants = h.Epoch, make(map[string]Amount)
	}
	if _, ok := a.Grants[b.Grant]; ok {
		return
	}
	a.Grants[b.Grant] = b.Amount
	c := a.chunk(h.Epoch)
	c.Reserved = c.Reserved.Add(b.Amount)
}

func (a *Account) chunk(epoch structs.Epoch) *Chunk {
	c := a.Chunks[epoch]
	if c == nil {
		c = new(Chunk)
		a.Chunks[epoch] = c
	}
	return c
}

// chargeAccounts takes a cost from the accounts of a team's paths, in the epoch
// of the owner that held it.
func (s *State) chargeAccounts(team structs.Team, epoch structs.Epoch, cost Amount) {
	for _, path := range Ancestors(team) {
		if a := s.Accounts[path]; a != nil && a.Chunks[epoch] != nil {
			a.Chunks[epoch].Used = a.Chunks[epoch].Used.Add(cost)
		}
	}
}
