// Package ledger records the requests that a stand-in target ran, in order of
// arrival. Checkers compare it with what callers received.
package ledger

import (
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanglade/banyanglade/internal/standin"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// Ledger lists requests in arrival order. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	entries []wire.LedgerEntry
}

// Begin records a request as running and returns its sequence number. The
// sequence number in entry is ignored.
func (l *Ledger) Begin(entry wire.LedgerEntry) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry.Sequence = uint64(len(l.entries))
	entry.Finished = false
	l.entries = append(l.entries, entry)
	return entry.Sequence
}

// Finish marks a request as finished and records its completion tokens, 0 for a
// target that is not an engine.
func (l *Ledger) Finish(sequence uint64, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[sequence].Finished = true
	l.entries[sequence].Tokens = tokens
}

// Cancel records the completion tokens of a cancelled request. Its entry stays
// unfinished.
func (l *Ledger) Cancel(sequence uint64, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[sequence].Tokens = tokens
}

// Entries returns a copy of the entries.
func (l *Ledger) Entries() []wire.LedgerEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries)
}

// Register adds the ledger's route to a mux.
func (l *Ledger) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+wire.StandinLedgerRoute, l.serve)
}

func (l *Ledger) serve(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, wire.Ledger{Entries: l.Entries()})
}

// BodyHash returns the xxhash64 of a body in hexadecimal without leading zeros.
func BodyHash(body []byte) string {
	const hex = 16
	return strconv.FormatUint(xxhash.Sum64(body), hex)
}
