package engine

import "github.com/banyanglade/banyanglade/internal/wire"

// CachedTokens returns the tokens cached under a key, which is a program id or
// the key of a shared prefix.
func (m *Model) CachedTokens(key string) int64 {
	return m.cache.tokens(key)
}

// CacheState returns all cache entries.
func (m *Model) CacheState() wire.CacheState {
	state := wire.CacheState{
		Capacity: m.cache.capacity,
		Used:     m.cache.used,
		Programs: make(map[string]int64, len(m.cache.entries)),
	}
	for key := range m.cache.entries {
		state.Programs[key] = m.cache.tokens(key)
	}
	return state
}

// DrainCacheEvents returns the cache events since the last call. Sequence
// numbers start at 0 and are consecutive. It must be called regularly even if
// the events are not needed, since they accumulate in memory.
func (m *Model) DrainCacheEvents() []wire.CacheEvent {
	events := m.cache.events
	m.cache.events = nil
	return events
}

// Export returns the tokens cached under a key, 0 if there is no entry. The
// entry stays.
func (m *Model) Export(key string) int64 {
	return m.cache.touch(key)
}

// Import stores an entry, evicting others as needed, and returns the tokens
// then cached under the key.
func (m *Model) Import(key string, tokens int64) int64 {
	m.cache.store(key, tokens)
	return m.cache.tokens(key)
}

// Release removes an entry and returns the tokens still cached under the key.
// While a sequence of the key runs, it removes nothing and returns at least 1.
func (m *Model) Release(key string) int64 {
	if m.cache.pins[key] > 0 {
		return max(1, m.cache.tokens(key))
	}
	m.cache.release(key)
	return 0
}
