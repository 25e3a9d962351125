package budget

// unrecordedFractions are the parts of a budget that owners may hand out without a record:
// the first before any loss of accounts, the next behind one, and so on. Each
// owner counts all slices of those before it as used and hands out one of its
// own, so that programs begin and go on behind a loss while the store is away.
// Their sum stays below the whole, which leaves room for records after that.
//
// On the users' first two sites 99 of 100 ordinary programs use less than 0.42 of
// their budget and the median 0.14 (docs/MEASUREMENTS.md), so that most run
// without a record, and behind a loss most of the new ones do.
var unrecordedFractions = [...]float64{0.5, 0.25}

// unrecordedLimit is what owners behind fewer than some losses may hand out together to
// a program without a record, in tokens. It depends on nothing that a turn says,
// so that every owner counts the same.
func unrecordedLimit(budget, crashes int) int {
	fraction := 0.0
	for _, s := range unrecordedFractions[:min(crashes, len(unrecordedFractions))] {
		fraction += s
	}
	return int(fraction * float64(budget))
}
