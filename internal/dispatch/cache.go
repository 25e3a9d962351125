package dispatch

import (
	"container/list"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// cacheRecord is what a target's prefix cache holds as far as is known: own
// placements, corrected by cache events and by the usage of finished runs. It
// evicts as engines do, the least recently used first.
type cacheRecord struct {
	capacity int64
	used     int64
	entries  map[string]*list.Element
	// recent lists the entries, the most recently used first.
	recent list.List
	// next is the lowest sequence number of an event not yet seen.
	next uint64
}

// cacheEntry is a cached prefix under a key: a program, or a prefix that
// programs share. Tokens of a program are those behind the shared prefix.
type cacheEntry struct {
	key    string
	shared bool
	tokens int64
	// running counts the runs that use the entry.
	running int
	// touched is the time of the last use or own update.
	touched time.Time
	team    structs.Team
}

func newCacheRecord(capacity int64) cacheRecord {
	return cacheRecord{capacity: capacity, entries: make(map[string]*list.Element)}
}

func (r *cacheRecord) find(key string) *cacheEntry {
	if element, ok := r.entries[key]; ok {
		return element.Value.(*cacheEntry)
	}
	return nil
}

func (r *cacheRecord) tokens(key string) int64 {
	if entry := r.find(key); entry != nil {
		return entry.tokens
	}
	return 0
}

// cached is the part of a request's prompt that the target holds. A program's
// own prefix counts only behind its whole shared prefix.
func (r *cacheRecord) cached(m *structs.PermitRequest) int64 {
	shared := min(r.tokens(m.SharedKey), m.SharedTokens)
	if shared < m.SharedTokens {
		return shared
	}
	return min(shared+r.tokens(string(m.Ref.Program)), m.PromptTokens)
}

// use finds or makes an entry and makes it the most recently used.
func (r *cacheRecord) use(now time.Time, key string) *cacheEntry {
	element, ok := r.entries[key]
	if !ok {
		element = r.recent.PushFront(&cacheEntry{key: key})
		r.entries[key] = element
	}
	r.recent.MoveToFront(element)
	entry := element.Value.(*cacheEntry)
	entry.touched = now
	return entry
}

// set changes the tokens of an entry and evicts others as the target would.
func (r *cacheRecord) set(entry *cacheEntry, tokens int64) {
	r.used += tokens - entry.tokens
	entry.tokens = tokens
	for element := r.recent.Back(); element != nil && r.used > r.capacity; {
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
func (r *cacheRecord) shrink(entry *cacheEntry, tokens int64) {
	r.used += tokens - entry.tokens
	entry.tokens = tokens
	if tokens == 0 && entry.running == 0 {
		r.recent.Remove(r.entries[entry.key])
		delete(r.entries, entry.key)
	}
}

// drop empties an entry that the target is told to release. The entry is kept
// for a while, so that late events of what it held do not bring it back.
func (r *cacheRecord) drop(now time.Time, key string) {
	entry := r.use(now, key)
	r.used -= entry.tokens
	entry.tokens = 0
}

// prune forgets empty entries once no late event can be about them.
func (r *cacheRecord) prune(now time.Time) {
	for element := r.recent.Front(); element != nil; {
		entry := element.Value.(*cacheEntry)
		element = element.Next()
		if entry.tokens == 0 && now.Sub(entry.touched) >= eventLag {
			r.shrink(entry, 0)
		}
	}
}

// clear empties the record of a target that has lost its cache.
func (r *cacheRecord) clear() {
	for element := r.recent.Front(); element != nil; {
		entry := element.Value.(*cacheEntry)
		element = element.Next()
		r.shrink(entry, 0)
	}
}

// fill is the share of the capacity in use.
func (r *cacheRecord) fill() float64 {
	if r.capacity <= 0 {
		return 1
	}
	return float64(r.used) / float64(r.capacity)
}

// eventLag is the age up to which a cache event may contradict what a run has
// shown since; such an event is old news.
const eventLag = time.Second

// apply takes a cache event into account. Events seen before are skipped, as
// are those that a later own update overrules.
func (r *cacheRecord) apply(now time.Time, event wire.CacheEvent, describe func(*cacheEntry)) {
	if event.Sequence < r.next {
		return
	}
	r.next = event.Sequence + 1
	entry := r.find(event.Program)
	if entry != nil && (entry.running > 0 || now.Sub(entry.touched) < eventLag) {
		return
	}
	switch event.Kind {
	case wire.CacheEvicted:
		if entry != nil && event.Tokens < entry.tokens {
			r.shrink(entry, event.Tokens)
		}
	case wire.CacheStored:
		if entry == nil {
			entry = r.use(now, event.Program)
			describe(entry)
		}
		r.set(entry, event.Tokens)
	}
}

// victims lists what a placement that stores need more tokens evicts, in
// order.
func (r *cacheRecord) victims(need int64, chance func(*cacheEntry) float64) ([]policy.CacheEntry, int64) {
	need -= r.capacity - r.used
	var victims []policy.CacheEntry
	left := need
	for element := r.recent.Back(); element != nil && left > 0; element = element.Prev() {
		entry := element.Value.(*cacheEntry)
		if entry.running > 0 {
			continue
		}
		victims = append(victims, policy.CacheEntry{Tokens: entry.tokens, ReturnProbability: chance(entry)})
		left -= entry.tokens
	}
	return victims, need
}
