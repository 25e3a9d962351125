package policy

import "testing"

// TestBytesGoToProgramsUnderWay fills a bound with requests of both kinds and
// sizes until each is refused.
func TestBytesGoToProgramsUnderWay(t *testing.T) {
	const most = 1000
	fill := func(held, size int64, underWay bool) int64 {
		for (Bytes{Held: held, Most: most}).Fits(size, underWay) {
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
	if !(Bytes{Most: most}).Fits(700, false) || (Bytes{Most: most}).Fits(701, false) {
		t.Error("alone a request gets the whole share and no more")
	}
	if !(Bytes{Held: 1 << 40}).Fits(1<<40, false) {
		t.Error("refused without a bound")
	}
}

// TestStalledCallersAreCutSoonerWhileBytesAreShort compares both states.
func TestStalledCallersAreCutSoonerWhileBytesAreShort(t *testing.T) {
	if tight, ample := (Bytes{Held: 800, Most: 1000}).StallMost(), (Bytes{Held: 100, Most: 1000}).StallMost(); tight >= ample {
		t.Errorf("%s while bytes are short, %s otherwise", tight, ample)
	}
}
