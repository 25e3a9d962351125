package budget

// unrecordedShare is the part of what is left of a budget that needs no record
// in the store. On the users' two sites 99 of 100 ordinary programs use less
// than 0.42 of their budget and the median 0.14 (docs/MEASUREMENTS.md), so
// most never need a record, nor miss what a loss of accounts charges them. It
// also lets the first turn of the smallest programs run without one: their
// budget is 500 tokens, a turn's most 290.
const unrecordedShare = 0.6

// unrecorded is what a program without a record may have generated when its
// partition has lost its accounts a number of times: each owner since a loss
// may hand out unrecordedShare of what the ones before could not.
func unrecorded(budget, losses int) int {
	limit := 0
	for range losses + 1 {
		limit += int(unrecordedShare * float64(budget-limit))
	}
	return limit
}

// charge is what a program without a record is counted to have used by an
// owner that does not know it.
func charge(budget, losses int) int {
	if losses == 0 {
		return 0
	}
	return unrecorded(budget, losses-1)
}
