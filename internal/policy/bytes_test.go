package policy

import "testing"

// TestBytesGoToProgramsUnderWay fills a bound with requests of both kinds and
// sizes until each is refused.
func TestBytesGoToProgramsUnderWay(t *testing.T) {
	const most = 1000
	fill := func(held, size int64, underWay bool) int64 {
		for (RequestMemory{Held: held, Max: most}).Fits(size, underWay) {
			held += size
		}
		return held
	}
	large, small := fill(0, 100, false), fill(0, 10, false)
	if large >= small || small > beginShare*most {
		t.Errorf("large ones fill %d, small ones %d", large, small)
	}
	if all := fill(small, 10, true); all != most {
		t.Errorf("programs under way fill %d of %d", all, most)
	}
	if !(RequestMemory{Max: most}).Fits(700, false) || (RequestMemory{Max: most}).Fits(701, false) {
		t.Error("alone a request gets the whole share and no more")
	}
	if !(RequestMemory{Held: 1 << 40}).Fits(1<<40, false) {
		t.Error("refused without a bound")
	}
}

// TestStalledCallersAreCutSoonerWhileBytesAreShort compares both states.
func TestStalledCallersAreCutSoonerWhileBytesAreShort(t *testing.T) {
	if tight, ample := (RequestMemory{Held: 800, Max: 1000}).StallTimeout(), (RequestMemory{Held: 100, Max: 1000}).StallTimeout(); tight >= ample {
		t.Errorf("%s while bytes are short, %s otherwise", tight, ample)
	}
}
