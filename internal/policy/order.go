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
	// noDeadlineSlack ranks calls of programs without a deadline under the
	// slack rule.
	noDeadlineSlack = time.Hour
	// stretchFactor is the delay that the hybrid rule allows a call at an
	// Aging of 1, as a multiple of its program's latency so far.
	stretchFactor = 4
	// slackFactor bounds the delay that the hybrid rule allows a call, as a
	// multiple of its program's slack.
	slackFactor = 2
)

// Key ranks a call within its class; the lowest goes first. All keys are
// constant in time, so a queue need not be sorted again: a rank that falls
// linearly with the wait is the same order as one that grows with the arrival.
func Key(rules structs.Rules, call Call) time.Duration {
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

// lasKey is least attained service with linear aging: a wait of Aging times
// the service difference makes up for it.
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
// program's latency so far. A short program goes before a long one, and a call
// is overtaken only for a bounded time, in proportion to what its program takes
// anyhow. A close deadline brings it forward.
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
