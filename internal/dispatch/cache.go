package dispatch

import (
	"container/list"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// cacheIndex is what a target's prefix cache holds as far as is known: own
// placements, corrected by cache events and by the usage of finished runs. It
// evicts as engines do, the least recently used first.
type cacheIndex struct {
	capacity int64
	used     int64
	entries  map[string]*list.Element
	// lru lists the entries, the most recently used first.
	lru list.List
	// nextSequence is the lowest sequence number of an event not yet seen.
	nextSequence uint64
}

// cacheEntry is a cached prefix under a key: a program, or a prefix that
// programs share. Tokens of a program are those behind the shared prefix.
type cacheEntry struct {
	key    string
	shared bool
	tokens int64
	// running counts the runs that use the entry.
	running int
	// touchedAt is the time of the last use or own update.
	touchedAt time.Time
	team      structs.Team
}

func newCacheIndex(capacity int64) cacheIndex {
	return cacheIndex{capacity: capacity, entries: make(map[string]*list.Element)}
}

func (r *cacheIndex) find(key string) *cacheEntry {
	if element, ok := r.entries[key]; ok {
		return element.Value.(*cacheEntry)
	}
	return nil
}

func (r *cacheIndex) tokens(key string) int64 {
	if entry := r.find(key); entry != nil {
		return entry.tokens
	}
	return 0
}

// cachedTokens is the part of a request's prompt that the target holds. A program's
// own prefix counts only behind its whole shared prefix.
func (r *cacheIndex) cachedTokens(m *structs.PermitRequest) int64 {
	shared := min(r.tokens(m.SharedKey), m.SharedTokens)
	if shared < m.SharedTokens {
		return shared
	}
	return min(shared+r.tokens(string(m.Ref.Program)), m.PromptTokens)
}

// touch finds or makes an entry and makes it the most recently used.
func (r *cacheIndex) touch(now time.Time, key string) *cacheEntry {
	element, ok := r.entries[key]
	if !ok {
		element = r.lru.PushFront(&cacheEntry{key: key})
		r.entries[key] = element
	}
	r.lru.MoveToFront(element)
	entry := element.Value.(*cacheEntry)
	entry.touchedAt = now
	return entry
}

// setTokens changes the tokens of an entry and evicts others as the target would.
func (r *cacheIndex) setTokens(entry *cacheEntry, tokens int64) {
	r.used += tokens - entry.tokens
	entry.tokens = tokens
	for element := r.lru.Back(); element != nil && r.used > r.capacity; {
		victim := element.Value.(*cacheEntry)
		element = element.Prev()
		if victim == entry || victim.running > 0 {
			continue
		}
		r.shrink(victim, victim.tokens-min(victim.tokens, r.used-r.capacity))
	}
}

// shrink lowers the tokens of an entry and forgets it at 0 once no run uses
// it.
func (r *cacheIndex) shrink(entry *cacheEntry, tokens int64) {
	r.used += tokens - entry.tokens
	entry.tokens = tokens
	if tokens == 0 && entry.running == 0 {
		r.lru.Remove(r.entries[entry.key])
		delete(r.entries, entry.key)
	}
}

// release empties an entry that the target is told to release. The entry is kept
// for a while, so that late events of what it held do not bring it back.
func (r *cacheIndex) release(now time.Time, key string) {
	entry := r.touch(now, key)
	r.used -= entry.tokens
	entry.tokens = 0
}

// prune forgets empty entries once no late event can be about them.
func (r *cacheIndex) prune(now time.Time) {
	for element := r.lru.Front(); element != nil; {
		entry := element.Value.(*cacheEntry)
		element = element.Next()
		if entry.tokens == 0 && now.Sub(entry.touchedAt) >= maxEventLag {
			r.shrink(entry, 0)
		}
	}
}

// clear empties the record of a target that has lost its cache.
func (r *cacheIndex) clear() {
	for element := r.lru.Front(); element != nil; {
		entry := element.Value.(*cacheEntry)
		element = element.Next()
		r.shrink(entry, 0)
	}
}

// utilization is the share of the capacity in use.
func (r *cacheIndex) utilization() float64 {
	if r.capacity <= 0 {
		return 1
	}
	return float64(r.used) / float64(r.capacity)
}

// maxEventLag is the age up to which a cache event may contradict what a run has
// shown since; such an event is old news.
const maxEventLag = time.Second

// applyEvent takes a cache event into account. Events seen before are skipped, as
// are those that a later own update overrules.
func (r *cacheIndex) applyEvent(now time.Time, event wire.CacheEvent, describe func(*cacheEntry)) {
	if event.Sequence < r.nextSequence {
		return
	}
	r.nextSequence = event.Sequence + 1
	entry := r.find(event.Program)
	if entry != nil && (entry.running > 0 || now.Sub(entry.touchedAt) < maxEventLag) {
		return
	}
	switch event.Kind {
	case wire.CacheEvicted:
		if entry != nil && event.Tokens < entry.tokens {
			r.shrink(entry, event.Tokens)
		}
	case wire.CacheStored:
		if entry == nil {
			entry = r.touch(now, event.Program)
			describe(entry)
		}
		r.setTokens(entry, event.Tokens)
	}
}

// victims lists what a placement that stores need more tokens evicts, in
// order.
func (r *cacheIndex) victims(need int64, returnProbability func(*cacheEntry) float64) ([]policy.CacheEntry, int64) {
	need -= r.capacity - r.used
	var victims []policy.CacheEntry
	remaining := need
	for element := r.lru.Back(); element != nil && remaining > 0; element = element.Prev() {
		entry := element.Value.(*cacheEntry)
		if entry.running > 0 {
			continue
		}
		victims = append(victims, policy.CacheEntry{Tokens: entry.tokens, ReturnProbability: returnProbability(entry)})
		remaining -= entry.tokens
	}
	return victims, need
}
