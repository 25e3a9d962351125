package allowance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
)

// An organisation that sends twice its limit gets its rate once the saved requests are
// used.
func TestSteadyOverloadIsAdmittedAtTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		for _, m := range machines(87) {
			c.start(m)
		}
		time.Sleep(3 * time.Second)
		limit := org.Limit{PerSecond: 265, Burst: 265}
		begun := time.Now()
		runPrograms(c, "o", limit, typicalProgram, 2*265.0/26, 15*time.Second, 1)
		c.Stop()
		late := 0
		for _, at := range c.admitted["o"] {
			if since := at.Sub(begun); since > 8*time.Second && since < 13*time.Second {
				late++
			}
		}
		rate := float64(late) / 5
		t.Logf("%.0f requests per second", rate)
		if rate > 1.05*limit.PerSecond || rate < 0.9*limit.PerSecond {
			t.Errorf("%.0f requests per second, the limit is %.0f", rate, limit.PerSecond)
		}
	})
}
