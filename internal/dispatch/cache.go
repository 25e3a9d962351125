package dispatch

import (
	"container/list"
	"time"

	"github.com/banyanglade/banyanglade/internal/policy"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// cacheIndex is the dispatcher's view of a target's prefix cache. It is built
// from placements and corrected by cache events and the usage reported by
// finished runs. Like an engine, it evicts the least recently used entries
// first.
type cacheIndex struct {
	capacity int64
	used     int64
	entries  map[string]*list.Element
	// lru holds the entries, most recently used first.
	lru list.List
	// nextSequence is the lowest event sequence number not processed yet.
	nextSequence uint64
}

// cacheEntry is a cached prefix. Its key names a program, or a prefix shared by
// several programs. The tokens of a program exclude the shared prefix.
type cacheEntry struct {
	key    string
	shared bool
	tokens int64
	// running is the number of runs that use the entry; it is not evicted while
	// above 0.
	running int
	// touchedAt is when the dispatcher last used or updated the entry.
	touchedAt time.Time
	team      structs.Team
}

func newCacheIndex(capacity int64) cacheIndex {
	return cacheIndex{capacity: capacity, entries: make(map[string]*list.Element)}
}

func (c *cacheIndex) find(key string) *cacheEntry {
	if element, ok := c.entries[key]; ok {
		return element.Value.(*cacheEntry)
	}
	return nil
}

func (c *cacheIndex) tokens(key string) int64 {
	if entry := c.find(key); entry != nil {
		return entry.tokens
	}
	return 0
}

// cachedTokens returns how many tokens of a request's prompt the target has
// cached. A program's own prefix counts only if the whole shared prefix is
// cached.
func (c *cacheIndex) cachedTokens(m *structs.PermitRequest) int64 {
	shared := min(c.tokens(m.SharedKey), m.SharedTokens)
	if shared < m.SharedTokens {
		return shared
	}
	return min(shared+c.tokens(string(m.Ref.Program)), m.PromptTokens)
}

// touch returns the entry of a key as the most recently used, creating it if
// needed.
func (c *cacheIndex) touch(now time.Time, key string) *cacheEntry {
	element, ok := c.entries[key]
	if !ok {
		element = c.lru.PushFront(&cacheEntry{key: key})
		c.entries[key] = element
	}
	c.lru.MoveToFront(element)
	entry := element.Value.(*cacheEntry)
	entry.touchedAt = now
	return entry
}

// setTokens updates the tokens of an entry and evicts other entries while the
// cache exceeds its capacity.
func (c *cacheIndex) setTokens(entry *cacheEntry, tokens int64) {
	c.used += tokens - entry.tokens
	entry.tokens = tokens
	for element := c.lru.Back(); element != nil && c.used > c.capacity; {
		victim := element.Value.(*cacheEntry)
		element = element.Prev()
		if victim == entry || victim.running > 0 {
			continue
		}
		c.shrink(victim, victim.tokens-min(victim.tokens, c.used-c.capacity))
	}
}

// shrink lowers the tokens of an entry and removes the entry once it is empty
// and unused.
func (c *cacheIndex) shrink(entry *cacheEntry, tokens int64) {
	c.used += tokens - entry.tokens
	entry.tokens = tokens
	if tokens == 0 && entry.running == 0 {
		c.lru.Remove(c.entries[entry.key])
		delete(c.entries, entry.key)
	}
}

// release empties an entry whose release is requested from the target. The
// empty entry stays until prune removes it, so that a delayed event does not
// restore it.
func (c *cacheIndex) release(now time.Time, key string) {
	entry := c.touch(now, key)
	c.used -= entry.tokens
	entry.tokens = 0
}

// prune removes empty entries that no delayed event can refer to.
func (c *cacheIndex) prune(now time.Time) {
	for element := c.lru.Front(); element != nil; {
		entry := element.Value.(*cacheEntry)
		element = element.Next()
		if entry.tokens == 0 && now.Sub(entry.touchedAt) >= maxEventLag {
			c.shrink(entry, 0)
		}
	}
}

// clear removes the entries of a target that has lost its cache.
func (c *cacheIndex) clear() {
	for element := c.lru.Front(); element != nil; {
		entry := element.Value.(*cacheEntry)
		element = element.Next()
		c.shrink(entry, 0)
	}
}

// utilization returns the used fraction of the capacity.
func (c *cacheIndex) utilization() float64 {
	if c.capacity <= 0 {
		return 1
	}
	return float64(c.used) / float64(c.capacity)
}

// maxEventLag is the maximum delay of cache events. An event for an entry that
// was touched more recently may be stale and is ignored.
const maxEventLag = time.Second

// applyEvent updates the index from a cache event. Duplicates and possibly stale
// events are skipped. describe fills in an entry that the event creates.
func (c *cacheIndex) applyEvent(now time.Time, event wire.CacheEvent, describe func(*cacheEntry)) {
	if event.Sequence < c.nextSequence {
		return
	}
	c.nextSequence = event.Sequence + 1
	entry := c.find(event.Program)
	if entry != nil && (entry.running > 0 || now.Sub(entry.touchedAt) < maxEventLag) {
		return
	}
	switch event.Kind {
	case wire.CacheEvicted:
		if entry != nil && event.Tokens < entry.tokens {
			c.shrink(entry, event.Tokens)
		}
	case wire.CacheStored:
		if entry == nil {
			entry = c.touch(now, event.Program)
			describe(entry)
		}
		c.setTokens(entry, event.Tokens)
	}
}

// victims returns, in eviction order, the entries that storing need more tokens
// evicts, and the number of tokens to evict.
func (c *cacheIndex) victims(need int64, returnProbability func(*cacheEntry) float64) ([]policy.CacheEntry, int64) {
	need -= c.capacity - c.used
	var victims []policy.CacheEntry
	remaining := need
	for element := c.lru.Back(); element != nil && remaining > 0; element = element.Prev() {
		entry := element.Value.(*cacheEntry)
		if entry.running > 0 {
			continue
		}
		victims = append(victims, policy.CacheEntry{Tokens: entry.tokens, ReturnProbability: returnProbability(entry)})
		remaining -= entry.tokens
	}
	return victims, need
}
