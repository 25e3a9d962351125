package journal

import (
	"strings"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// GeneratedKeyPrefix begins the keys that stand in for the missing key of a caller;
// gateways make such keys, too.
const GeneratedKeyPrefix = "request/"

// PurgeProgram forgets a program's idempotency records and repeatable runs from
// before a time, in Unix milliseconds; those without a caller's key from before
// a later one. It tells whether the program itself is to be forgotten: it is
// closed, nothing of it is open and no target holds its cache.
func (s *State) PurgeProgram(p *Program, beforeMS, keylessMS int64) bool {
	for key, call := range p.Calls {
		limit := beforeMS
		if strings.HasPrefix(key, GeneratedKeyPrefix) {
			limit = keylessMS
		}
		if call.TimeMS < limit {
			s.Bytes -= size(&call.Outcome)
			delete(p.Calls, key)
		}
	}
	for id, run := range p.Open {
		if !run.NotRepeatable && run.TimeMS < beforeMS {
			delete(p.Open, id)
		}
	}
	limit := beforeMS
	if p.Single {
		limit = keylessMS
	}
	return p.Closed && p.UpdatedMS < limit && len(p.Calls) == 0 && len(p.Open) == 0 && len(p.Placements) == 0
}

// PurgeWriters forgets writers not seen since a time, except the present owner
// and the given one, and the ledger grants from before it.
func (s *State) PurgeWriters(keep string, beforeMS int64) {
	for nonce, w := range s.Writers {
		if nonce != keep && nonce != s.Writer && w.TimeMS < beforeMS {
			delete(s.Writers, nonce)
		}
	}
	for _, l := range s.Ledgers {
		for id, g := range l.Grants {
			if g.TimeMS < beforeMS {
				delete(l.Grants, id)
			}
		}
	}
}

// size is the memory that an outcome takes.
func size(out *structs.Outcome) int64 {
	return int64(len(out.Body) + len(out.Text) + len(out.ToolCalls))
}
