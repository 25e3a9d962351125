package policy

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Names of the order rules.
const (
	OrderFCFS   = "fcfs"
	OrderLAS    = "las"
	OrderSlack  = "slack"
	OrderHybrid = "hybrid"
)

const (
	// noDeadlineSlack is the slack of programs without a deadline.
	noDeadlineSlack = time.Hour
	// stretchFactor is the delay that the hybrid rule allows a call at an Aging
	// of 1, as a multiple of its program's latency so far.
	stretchFactor = 4
	// slackFactor bounds the delay that the hybrid rule allows a call, as a
	// multiple of its program's slack.
	slackFactor = 2
)

// OrderKey ranks a call within its class; the lowest key goes first. Keys do not
// change over time, so a queue never needs to be re-sorted: subtracting the
// waiting time from a rank gives the same order as adding the arrival time.
func OrderKey(rules structs.Rules, call Call) time.Duration {
	switch rules.Order {
	case OrderLAS:
		return lasKey(rules, call)
	case OrderSlack:
		return slackKey(call)
	case OrderHybrid:
		return hybridKey(rules, call)
	default:
		return call.Arrived
	}
}

// lasKey implements least attained service with linear aging: waiting for Aging
// times the difference in service compensates for it.
func lasKey(rules structs.Rules, call Call) time.Duration {
	if rules.Aging <= 0 {
		return call.Served
	}
	return call.Arrived + time.Duration(rules.Aging*float64(call.Served))
}

func slackKey(call Call) time.Duration {
	if !call.HasDeadline {
		return call.Arrived + noDeadlineSlack
	}
	return call.Arrived + call.Slack
}

// hybridKey is a due time: arrival plus an allowed delay in proportion to the
// program's latency so far. Short programs go before long ones, while the time
// for which a call can be overtaken is bounded. A close deadline reduces the
// allowed delay.
func hybridKey(rules structs.Rules, call Call) time.Duration {
	allowed := stretchFactor * float64(call.Elapsed)
	if call.HasDeadline && call.Slack > 0 {
		allowed = min(allowed, slackFactor*float64(call.Slack))
	}
	if rules.Aging <= 0 {
		return time.Duration(allowed)
	}
	return call.Arrived + time.Duration(rules.Aging*allowed)
}
