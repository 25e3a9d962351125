package settings

import (
	"cmp"
	"math"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Ranges shared by several keys.
const (
	maxCount    = 1_000_000
	maxTokens   = math.MaxInt64 / 4
	maxDuration = 30 * 24 * time.Hour
	minTimeout  = time.Millisecond
	// maxOrderBytes is the maximum length of the name of a model, adapter, version or
	// role.
	maxOrderBytes = 200
)

// atMostInherited combines the values of a key that a team may lower but not raise.
func atMostInherited[V cmp.Ordered](inherited, own V) V { return min(inherited, own) }

// atLeastInherited combines the values of a key that a team may raise but not lower.
func atLeastInherited[V cmp.Ordered](inherited, own V) V { return max(inherited, own) }

// tighterBound combines the values of a bound where 0 means no bound.
func tighterBound(inherited, own int64) int64 {
	if inherited == 0 || own == 0 {
		return max(inherited, own)
	}
	return min(inherited, own)
}

type (
	policy  = structs.Policy
	service = structs.Service
)

// policyFields is the schema of a team's keys.
var policyFields = newFieldTable(
	newField("priority", integerType(0, 100), func(p *policy) *int { return &p.Priority }, atLeastInherited[int]),
	newField("weight", numberType(0.01, 1000), func(p *policy) *float64 { return &p.Weight }, atMostInherited[float64]),
	newField("deadline", durationType(0, maxDuration), func(p *policy) *time.Duration { return &p.Deadline }, nil),
	newField("call_timeout", durationType(minTimeout, maxDuration), func(p *policy) *time.Duration { return &p.CallTimeout }, nil),
	newField("program_tokens", integerType[int64](0, maxTokens), func(p *policy) *int64 { return &p.ProgramTokens }, tighterBound),
	newField("program_fees", integerType[int64](0, maxTokens), func(p *policy) *int64 { return &p.ProgramFees }, tighterBound),
	newField("program_turns", integerType[int64](0, maxTokens), func(p *policy) *int64 { return &p.ProgramTurns }, tighterBound),
	newField("team_tokens", integerType[int64](0, maxTokens), func(p *policy) *int64 { return &p.TeamTokens }, tighterBound),
	newField("team_fees", integerType[int64](0, maxTokens), func(p *policy) *int64 { return &p.TeamFees }, tighterBound),
	newField("chunk_tokens", integerType[int64](1, maxTokens), func(p *policy) *int64 { return &p.ChunkTokens }, nil),
	newField("idle_timeout", durationType(time.Second, maxDuration), func(p *policy) *time.Duration { return &p.IdleTimeout }, nil),
	newField("loop_repeats", integerType(0, maxCount), func(p *policy) *int { return &p.LoopRepeats }, nil),
	newField("gap_timeout", durationType(minTimeout, maxDuration), func(p *policy) *time.Duration { return &p.GapTimeout }, nil),
	newField("idempotency_window", durationType(time.Second, maxDuration), func(p *policy) *time.Duration { return &p.IdempotencyWindow }, nil),
	newField("max_queued", integerType(1, maxCount), func(p *policy) *int { return &p.MaxQueued }, atMostInherited[int]),
	newField("retries", integerType(0, 10), func(p *policy) *int { return &p.Retries }, atMostInherited[int]),
)

// kindKey is the key that defines a service.
const kindKey = "kind"

// serviceFields is the schema of a service's keys.
var serviceFields = newFieldTable(
	newField(kindKey, choiceType(structs.ServiceEngine, structs.ServiceTool, structs.ServicePlain), func(s *service) *structs.ServiceKind { return &s.Kind }, nil),
	newField("slots", integerType(1, maxCount), func(s *service) *int { return &s.Slots }, nil),
	newField("cache_tokens", integerType[int64](0, maxTokens), func(s *service) *int64 { return &s.CacheTokens }, nil),
	newField("checks_fencing", booleanType(), func(s *service) *bool { return &s.ChecksFencing }, nil),
	newField("ask_by_key", booleanType(), func(s *service) *bool { return &s.AskByKey }, nil),
	newField("not_repeatable", booleanType(), func(s *service) *bool { return &s.NotRepeatable }, nil),
	newField("timeout", durationType(minTimeout, maxDuration), func(s *service) *time.Duration { return &s.Timeout }, nil),
	newField("queue_limit", integerType(1, maxCount), func(s *service) *int { return &s.QueueLimit }, nil),
	newField("rules/order", choiceType("fcfs", "las", "slack", "hybrid"), func(s *service) *string { return &s.Rules.Order }, nil),
	newField("rules/classes", booleanType(), func(s *service) *bool { return &s.Rules.Classes }, nil),
	newField("rules/aging", numberType(0, 1000), func(s *service) *float64 { return &s.Rules.Aging }, nil),
	newField("rules/fair_share", booleanType(), func(s *service) *bool { return &s.Rules.FairShare }, nil),
	newField("rules/placement", choiceType("round-robin", "least-loaded", "affinity", "cost"), func(s *service) *string { return &s.Rules.Placement }, nil),
	newField("rules/eviction_term", booleanType(), func(s *service) *bool { return &s.Rules.EvictionTerm }, nil),
	newField("rules/late_binding", booleanType(), func(s *service) *bool { return &s.Rules.LateBinding }, nil),
	newField("rules/retention", choiceType("none", "worth", "all"), func(s *service) *string { return &s.Rules.Retention }, nil),
	newField("rules/release_gone", booleanType(), func(s *service) *bool { return &s.Rules.ReleaseGone }, nil),
	newField("rules/admission", booleanType(), func(s *service) *bool { return &s.Rules.Admission }, nil),
	newField("rules/ejection", booleanType(), func(s *service) *bool { return &s.Rules.Ejection }, nil),
	newField("orders/model", textType(maxOrderBytes), func(s *service) *string { return &s.Orders.Model }, nil),
	newField("orders/adapter", textType(maxOrderBytes), func(s *service) *string { return &s.Orders.Adapter }, nil),
	newField("orders/version", textType(maxOrderBytes), func(s *service) *string { return &s.Orders.Version }, nil),
	newField("orders/role", textType(maxOrderBytes), func(s *service) *string { return &s.Orders.Role }, nil),
	newField("orders/parallel", integerType(1, maxCount), func(s *service) *int { return &s.Orders.Parallel }, nil),
	newField("orders/interval", durationType(0, maxDuration), func(s *service) *time.Duration { return &s.Orders.Interval }, nil),
)
