package allowance

import (
	"math"
	"time"
)

const (
	// usageTimeConstant is the time constant of the usage average.
	usageTimeConstant = 1500 * time.Millisecond
	// usageTTL is how long a reported utilization is valid.
	usageTTL = 2 * time.Second
)

// usage is the moving average of the requests allocated to one organisation.
type usage struct {
	// sum is the number of requests, exponentially weighted by age.
	sum float64
	at  time.Time
}

// add counts requests; a negative number returns some.
func (u *usage) add(requests int, now time.Time) {
	u.sum = max(u.sumAt(now)+float64(requests), 0)
	u.at = now
}

// rate returns the average in requests per second.
func (u *usage) rate(now time.Time) float64 { return u.sumAt(now) / usageTimeConstant.Seconds() }

func (u *usage) sumAt(now time.Time) float64 {
	return u.sum * math.Exp(-now.Sub(u.at).Seconds()/usageTimeConstant.Seconds())
}

// reportedUsage is an organisation's utilization as reported by a coordinator.
type reportedUsage struct {
	utilization float64
	at          time.Time
}

// current returns the utilization, or 0 once it has expired.
func (u reportedUsage) current(now time.Time) float64 {
	if now.Sub(u.at) > usageTTL {
		return 0
	}
	return u.utilization
}
