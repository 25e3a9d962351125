package engine

import (
	"container/list"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// cache is a prefix cache bounded in tokens. The least recently used entries
// are evicted first, from their ends, as a block cache does. Entries that a
// running sequence uses are pinned.
type cache struct {
	capacity int64
	used     int64
	entries  map[string]*list.Element
	// recent lists the entries, most recently used first.
	recent *list.List
	// pins counts the running sequences of each key.
	pins map[string]int
	// events are those since the last drain.
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

// hit returns how many prompt tokens of a request are cached, and marks the
// entries as used. A program's own entry counts only behind its whole shared
// prefix.
func (c *cache) hit(request Request) int {
	shared := min(c.touch(request.SharedKey), int64(request.SharedTokens))
	own := c.touch(request.Program)
	if shared < int64(request.SharedTokens) {
		return int(shared)
	}
	return int(min(shared+own, int64(request.PromptTokens)))
}

// touch marks an entry as the most recently used and returns its tokens.
func (c *cache) touch(key string) int64 {
	element, ok := c.entries[key]
	if !ok {
		return 0
	}
	c.recent.MoveToFront(element)
	return element.Value.(*cacheEntry).tokens
}

// tokens returns the tokens of an entry, 0 when there is none.
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

// store grows an entry to the given tokens, or as far as the room that is
// there after eviction allows. It never shrinks an entry.
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

// evict evicts unpinned entries other than keep until there is room for
// the given tokens or nothing is left to evict.
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

// set changes the size of an entry, and drops it at 0.
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

// release drops an entry.
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
