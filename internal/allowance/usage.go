package allowance

import (
	"math"
	"time"
)

const (
	// usageSpan is the time over which an organisation's use is averaged.
	usageSpan = 1500 * time.Millisecond
	// usageTTL is how long an instance believes the use that it was told.
	usageTTL = 2 * time.Second
)

// usage is a moving rate of what was dealt out to one organisation.
type usage struct {
	// sum is in requests, each counting less with its age.
	sum float64
	at  time.Time
}

// add counts requests; a negative number takes some back.
func (u *usage) add(requests int, now time.Time) {
	u.sum = max(u.sumAt(now)+float64(requests), 0)
	u.at = now
}

// rate is in requests a second.
func (u *usage) rate(now time.Time) float64 { return u.sumAt(now) / usageSpan.Seconds() }

func (u *usage) sumAt(now time.Time) float64 {
	return u.sum * math.Exp(-now.Sub(u.at).Seconds()/usageSpan.Seconds())
}

// reportedUsage is an organisation's use against its limit as a coordinator told it.
type reportedUsage struct {
	use float64
	at  time.Time
}

// current is 0 once it is too old.
func (t reportedUsage) current(now time.Time) float64 {
	if now.Sub(t.at) > usageTTL {
		return 0
	}
	return t.use
}
