package policy

import "time"

// CacheEntry is a cached prefix that may be evicted.
type CacheEntry struct {
	Tokens int64
	// ReturnProbability is the probability that the prefix is used again.
	ReturnProbability float64
}

// EvictionCost returns the expected time to recompute what a placement evicts.
// victims are the cache entries in eviction order, need is the number of tokens
// to be freed. The cost is the replacement cost of Li, Chan, Wang, Chen and Lu,
// "Cache Placement Optimization in Hierarchical Networks", section 4.3, with the
// prefill time as the access cost.
func EvictionCost(victims []CacheEntry, need int64, perToken time.Duration) time.Duration {
	var cost float64
	for _, victim := range victims {
		if need <= 0 {
			break
		}
		taken := min(need, victim.Tokens)
		need -= taken
		cost += float64(taken) * victim.ReturnProbability
	}
	return time.Duration(cost * float64(perToken))
}
