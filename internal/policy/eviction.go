package policy

import "time"

// CacheEntry is a cached prefix that may be evicted.
type CacheEntry struct {
	Tokens int64
	// ReturnProbability is the chance that the prefix is used again.
	ReturnProbability float64
}

// EvictionCost is the replacement cost of a placement: the expected time to
// compute again what it evicts. Victims are the entries in the order of
// eviction and need the tokens that must be made free. It follows the
// replacement cost (the summed access cost of the evicted objects) of Li,
// Chan, Wang, Chen and Lu, "Cache Placement Optimization in Hierarchical
// Networks", section 4.3, with the access cost being the prefill time.
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
