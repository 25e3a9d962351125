package engine

import "github.com/banyanglade/banyanglade/internal/wire"

// CachedTokens returns the tokens cached under a key: a program id or a shared
// prefix key.
func (m *Model) CachedTokens(key string) int64 {
	return m.cache.tokens(key)
}

// CacheState returns every cache entry.
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
// numbers start at 0 and have no gaps. A driver that does not need them must
// still call this from time to time, or they pile up.
func (m *Model) DrainCacheEvents() []wire.CacheEvent {
	events := m.cache.events
	m.cache.events = nil
	return events
}

// Export returns the tokens cached under a key, 0 when there are none. The
// entry stays.
func (m *Model) Export(key string) int64 {
	return m.cache.touch(key)
}

// Import stores an entry, evicting others as needed, and returns the tokens
// then held.
func (m *Model) Import(key string, tokens int64) int64 {
	m.cache.store(key, tokens)
	return m.cache.tokens(key)
}

// Release drops an entry and returns the tokens still held under the key.
// While a sequence of the key runs, nothing is dropped and the answer is at
// least 1.
func (m *Model) Release(key string) int64 {
	if m.cache.pins[key] > 0 {
		return max(1, m.cache.tokens(key))
	}
	m.cache.release(key)
	return 0
}
