package budget

// unrecordedShare is the part of a budget that needs no record in the store. On
// the users' two sites 99 of 100 ordinary programs use less than 0.42 of their
// budget and the median 0.14 (docs/MEASUREMENTS.md), so that most run without a
// record, and what is left suffices when a loss of accounts charges this part.
const unrecordedShare = 0.6

// unrecorded is what a program without a record may generate, in tokens: a part
// of its budget, and its first turn in any case.
//
// Where turns differ in the most that they generate, an owner behind a loss may
// charge less than the one before allowed, by what the first turn's most is
// above that of the turn it sees. The total then still stays within the budget
// and the most of one turn, since the most added after a loss is the lesser one.
func unrecorded(budget, firstMost int) int {
	return min(max(int(unrecordedShare*float64(budget)), firstMost), budget)
}
