package budget

// unrecordedFractions are the slices of a budget that owners may allocate without a
// record, as fractions: the first before any crash, the next after one, and so on. Each
// owner counts the slices of all owners before it as used, so that programs start and
// continue after a crash while the store is unavailable. The sum is below 1, which
// leaves tokens for turns with a record. 99 of 100 ordinary programs use less than 0.42
// of their budget (docs/MEASUREMENTS.md), so that most run without a record.
var unrecordedFractions = [...]float64{0.5, 0.25}

// unrecordedLimit returns how many tokens a number of owners may together allocate to
// a program without a record. It depends on no turn, so that all owners compute the
// same value.
func unrecordedLimit(budget, owners int) int {
	fraction := 0.0
	for _, f := range unrecordedFractions[:min(owners, len(unrecordedFractions))] {
		fraction += f
	}
	return int(fraction * float64(budget))
}
