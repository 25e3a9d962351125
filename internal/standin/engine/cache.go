package engine

import (
	"container/list"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// cache is a prefix cache with a capacity in tokens. It evicts the least
// recently used entries first, each from its end, as a block cache does.
// Entries in use by a running sequence are pinned.
type cache struct {
	capacity int64
	used     int64
	entries  map[string]*list.Element
	// recent holds the entries, most recently used first.
	recent *list.List
	// pins counts the running sequences that use each key.
	pins map[string]int
	// events are the events since the last DrainCacheEvents.
	events []wire.CacheEvent
	next   uint64
}

type cacheEntry struct {
	key    string
	tokens int64
}

func newCache(capacity int64) *cache {
	return &cache{
		capacity: capacity,
		entries:  make(map[string]*list.Element),
		recent:   list.New(),
		pins:     make(map[string]int),
	}
}

// hit returns the number of cached prompt tokens of a request and marks the
// entries as used. A program's own entry counts only if its whole shared prefix
// is cached.
func (c *cache) hit(request Request) int {
	shared := min(c.touch(request.SharedKey), int64(request.SharedTokens))
	own := c.touch(request.Program)
	if shared < int64(request.SharedTokens) {
		return int(shared)
	}
	return int(min(shared+own, int64(request.PromptTokens)))
}

// touch marks an entry as most recently used and returns its tokens.
func (c *cache) touch(key string) int64 {
	element, ok := c.entries[key]
	if !ok {
		return 0
	}
	c.recent.MoveToFront(element)
	return element.Value.(*cacheEntry).tokens
}

// tokens returns the tokens of an entry, 0 if it does not exist.
func (c *cache) tokens(key string) int64 {
	element, ok := c.entries[key]
	if !ok {
		return 0
	}
	return element.Value.(*cacheEntry).tokens
}

func (c *cache) pin(request Request) {
	c.pins[request.Program]++
	c.pins[request.SharedKey]++
}

func (c *cache) unpin(request Request) {
	c.unpinKey(request.Program)
	c.unpinKey(request.SharedKey)
}

func (c *cache) unpinKey(key string) {
	c.pins[key]--
	if c.pins[key] == 0 {
		delete(c.pins, key)
	}
}

// store grows an entry to the given tokens, or as far as the capacity allows
// after eviction. It never shrinks an entry.
func (c *cache) store(key string, tokens int64) {
	held := c.touch(key)
	if tokens <= held {
		return
	}
	c.evict(tokens-held, key)
	tokens = min(tokens, held+c.capacity-c.used)
	if tokens <= held {
		return
	}
	c.set(key, tokens)
	c.emit(wire.CacheStored, key, tokens)
}

// evict evicts unpinned entries other than except until the given tokens fit or
// nothing more can be evicted.
func (c *cache) evict(tokens int64, except string) {
	element := c.recent.Back()
	for element != nil && c.capacity-c.used < tokens {
		entry := element.Value.(*cacheEntry)
		element = element.Prev()
		if entry.key == except || c.pins[entry.key] > 0 {
			continue
		}
		missing := tokens - (c.capacity - c.used)
		left := max(0, entry.tokens-missing)
		c.set(entry.key, left)
		c.emit(wire.CacheEvicted, entry.key, left)
	}
}

// set changes the size of an entry and removes it at 0.
func (c *cache) set(key string, tokens int64) {
	element, ok := c.entries[key]
	if !ok {
		element = c.recent.PushFront(&cacheEntry{key: key})
		c.entries[key] = element
	}
	entry := element.Value.(*cacheEntry)
	c.used += tokens - entry.tokens
	entry.tokens = tokens
	if tokens == 0 {
		c.recent.Remove(element)
		delete(c.entries, key)
	}
}

// release removes an entry.
func (c *cache) release(key string) {
	if c.tokens(key) == 0 {
		return
	}
	c.set(key, 0)
	c.emit(wire.CacheEvicted, key, 0)
}

func (c *cache) emit(kind, key string, tokens int64) {
	event := wire.CacheEvent{Sequence: c.next, Kind: kind, Program: key, Tokens: tokens}
	c.events = append(c.events, event)
	c.next++
}
