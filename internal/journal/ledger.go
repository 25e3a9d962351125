package journal

import "github.com/banyanglade/banyanglade/internal/structs"

// Ledger is the budget of a team path, kept in the shard that the path hashes
// to. Grants stay in it, so that a repeated request gets the same grant.
type Ledger struct {
	Granted Amount
	Grants  map[string]Amount
}

// Account is what a shard got from a team path's ledger and used of it.
type Account struct {
	Credits map[string]Amount
	Chunks  map[structs.Epoch]*Chunk
}

func (s *State) ledger(team structs.Team) *Ledger {
	l := s.Ledgers[team]
	if l == nil {
		l = &Ledger{Grants: make(map[string]Amount)}
		s.Ledgers[team] = l
	}
	return l
}

func (s *State) account(team structs.Team) *Account {
	a := s.Accounts[team]
	if a == nil {
		a = &Account{Credits: make(map[string]Amount), Chunks: make(map[structs.Epoch]*Chunk)}
		s.Accounts[team] = a
	}
	return a
}

func (s *State) applyLedgerGrant(b *LedgerGrant) {
	l := s.ledger(b.Team)
	if _, ok := l.Grants[b.Grant]; ok {
		return
	}
	l.Grants[b.Grant] = b.Amount
	l.Granted = l.Granted.Plus(b.Amount)
}

// applyLedgerReturn gives back at most what the grant still holds, so that a
// repeated return cannot raise the budget.
func (s *State) applyLedgerReturn(b *LedgerReturn) {
	l := s.ledger(b.Team)
	held, ok := l.Grants[b.Grant]
	if !ok || !b.Amount.AtMost(held) {
		return
	}
	l.Grants[b.Grant] = Amount{}
	l.Granted = l.Granted.Minus(b.Amount)
}

func (s *State) applyCredit(h Header, b *Credit) {
	a := s.account(b.Team)
	if _, ok := a.Credits[b.Grant]; ok {
		return
	}
	a.Credits[b.Grant] = b.Amount
	c := a.Chunks[h.Epoch]
	if c == nil {
		c = new(Chunk)
		a.Chunks[h.Epoch] = c
	}
	c.Reserved = c.Reserved.Plus(b.Amount)
}
