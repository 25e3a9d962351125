package policy

import "testing"

// TestRequestMemoryFavorsProgramsInProgress adds requests of both kinds and
// several sizes until they are refused.
func TestRequestMemoryFavorsProgramsInProgress(t *testing.T) {
	const limit = 1000
	addUntilRefused := func(held, size int64, inProgress bool) int64 {
		for (RequestMemory{Held: held, Max: limit}).Fits(size, inProgress) {
			held += size
		}
		return held
	}
	large, small := addUntilRefused(0, 100, false), addUntilRefused(0, 10, false)
	if large >= small || small > newProgramFraction*limit {
		t.Errorf("large requests hold %d bytes, small ones %d", large, small)
	}
	if all := addUntilRefused(small, 10, true); all != limit {
		t.Errorf("programs in progress hold %d of %d bytes", all, limit)
	}
	if !(RequestMemory{Max: limit}).Fits(700, false) || (RequestMemory{Max: limit}).Fits(701, false) {
		t.Error("want a single request admitted exactly up to the fraction for new programs")
	}
	if !(RequestMemory{Held: 1 << 40}).Fits(1<<40, false) {
		t.Error("refused without a limit")
	}
}

func TestStallTimeoutIsShorterUnderMemoryPressure(t *testing.T) {
	if tight, ample := (RequestMemory{Held: 800, Max: 1000}).StallTimeout(), (RequestMemory{Held: 100, Max: 1000}).StallTimeout(); tight >= ample {
		t.Errorf("timeout %s under memory pressure, %s otherwise", tight, ample)
	}
}

// A reservation fits once its shortage was released, and not before.
func TestShortageIsWhatMustBeReleased(t *testing.T) {
	const limit = 1000
	for _, inProgress := range []bool{false, true} {
		for held := int64(0); held <= limit; held += 7 {
			for _, size := range []int64{1, 10, 349, 350, 700} {
				shortage := RequestMemory{Held: held, Max: limit}.Shortage(size, inProgress)
				after := RequestMemory{Held: held - shortage, Max: limit}
				if !after.Fits(size, inProgress) {
					t.Fatalf("%d bytes do not fit beside %d after %d were released", size, held, shortage)
				}
				after.Held++
				if shortage > 0 && after.Fits(size, inProgress) {
					t.Fatalf("%d bytes fit beside %d before %d were released", size, held, shortage)
				}
			}
		}
	}
}
