package bench

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Step is one call of a chain, with the sub-agents and the pause after it.
type Step struct {
	// InputTokens is the number of new prompt tokens of the call, OutputTokens
	// the length of its response.
	InputTokens, OutputTokens int
	// Pause is the delay before the next call of the chain.
	Pause time.Duration
	// Agents are sub-agents that run concurrently after the call, each with a
	// copy of the chain's context. The next call waits for all of them.
	Agents []Chain
}

// Chain is a sequence of dependent calls.
type Chain []Step

// Program is one synthetic program.
type Program struct {
	ID           structs.ProgramID
	Team         structs.Team
	Arrival      time.Duration
	SharedTokens int
	Chain        Chain
	Priority     int
	Weight       float64
	// Deadline is the target latency, 0 for none.
	Deadline time.Duration
	// CallTimeout is the timeout of each call, 0 for the default.
	CallTimeout time.Duration
	// Abandoned reports whether the program is never closed by its caller. Its
	// owner closes it after the idle timeout.
	Abandoned bool
	// Looping reports whether the loop check closes the program. It adds load but
	// its latency is not measured.
	Looping bool
}

// Measured reports whether the latency of the program is measured.
func (p *Program) Measured() bool { return !p.Abandoned && !p.Looping }

// IdleLatency returns the latency of the program on an idle system whose engines
// have all of its earlier tokens cached. It is a lower bound, as it ignores that
// sub-agents slow each other down.
func (p *Program) IdleLatency(o Options) time.Duration {
	total, _ := idleChainLatency(o, p.Chain, 0)
	return total
}

// idleChainLatency returns the latency of a chain that starts with the given
// number of context tokens, and the number of context tokens after it.
func idleChainLatency(o Options, chain Chain, context int) (time.Duration, int) {
	var total time.Duration
	for i, step := range chain {
		total += idleCallLatency(o, step)
		context += step.InputTokens + step.OutputTokens
		var longest time.Duration
		for _, agent := range step.Agents {
			took, _ := idleChainLatency(o, agent, context)
			longest = max(longest, took)
		}
		total += longest
		if i < len(chain)-1 {
			total += step.Pause
		}
	}
	return total, context
}

// idleCallLatency returns the latency of one call: its messages, the prefill of
// its new tokens, and the decoding.
func idleCallLatency(o Options, step Step) time.Duration {
	e := o.EngineModel
	steps := (max(1, step.InputTokens)+e.PrefillChunk-1)/e.PrefillChunk - 1 + step.OutputTokens
	engine := time.Duration(steps)*e.StepBase +
		time.Duration(step.InputTokens)*e.StepPerPrefillToken +
		time.Duration(step.OutputTokens)*e.StepPerSequence
	return hopsPerCall*o.HopDelay + engine
}

// hopsPerCall is the number of sequential messages of a call that does not queue:
// request, grant, start and response.
const hopsPerCall = 4
