package allowance

import (
	"math"
	"time"
)

const (
	// useSpan is the time over which an organisation's use is averaged.
	useSpan = 1500 * time.Millisecond
	// useLife is how long an instance believes the use that it was told.
	useLife = 2 * time.Second
)

// use is a moving rate of what was dealt out to one organisation.
type use struct {
	// sum is in requests, each counting less with its age.
	sum float64
	at  time.Time
}

// add counts requests; a negative number takes some back.
func (u *use) add(requests int, now time.Time) {
	u.sum = max(u.sumAt(now)+float64(requests), 0)
	u.at = now
}

// rate is in requests a second.
func (u *use) rate(now time.Time) float64 { return u.sumAt(now) / useSpan.Seconds() }

func (u *use) sumAt(now time.Time) float64 {
	return u.sum * math.Exp(-now.Sub(u.at).Seconds()/useSpan.Seconds())
}

// told is an organisation's use against its limit as a coordinator told it.
type told struct {
	use float64
	at  time.Time
}

// now is 0 once it is too old.
func (t told) now(now time.Time) float64 {
	if now.Sub(t.at) > useLife {
		return 0
	}
	return t.use
}
