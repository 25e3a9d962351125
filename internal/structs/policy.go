package structs

import "time"

// Policy is the effective policy of one team path, after inheritance.
type Policy struct {
	// Priority orders classes: 0 goes first. Clearance searches before
	// status lookups is two paths with two priorities.
	Priority int
	// Weight is the team's share within a class, greater than 0.
	Weight float64
	// Deadline is the wanted latency of a whole program; 0 for none.
	Deadline time.Duration
	// CallTimeout bounds one call from its arrival to its answer.
	CallTimeout time.Duration
	// ProgramTokens, ProgramFees and ProgramTurns bound one program; 0 for
	// no bound.
	ProgramTokens int64
	ProgramFees   int64
	ProgramTurns  int64
	// TeamTokens and TeamFees bound all programs of the path over its life;
	// 0 for no bound.
	TeamTokens int64
	TeamFees   int64
	// ChunkTokens is the size of a budget reservation.
	ChunkTokens int64
	// IdleTimeout closes a program that has no call for that long.
	IdleTimeout time.Duration
	// LoopRepeats closes a program that sends the same request that many
	// times in a row; 0 switches the check off.
	LoopRepeats int
	// GapTimeout bounds the wait for a missing call number.
	GapTimeout time.Duration
	// IdempotencyWindow is how long answers are kept for replay.
	IdempotencyWindow time.Duration
	// MaxQueued bounds a team's waiting calls in one pool.
	MaxQueued int
	// Retries bounds the further attempts of a repeatable call.
	Retries int
}

// ServiceKind tells what a service's targets are.
type ServiceKind string

// Kinds of services.
const (
	ServiceEngine ServiceKind = "engine"
	ServiceTool   ServiceKind = "tool"
	ServicePlain  ServiceKind = "plain"
)

// Service is the effective setting of a service.
type Service struct {
	Name ServiceName
	Kind ServiceKind
	// Slots is the number of calls that a target runs at once.
	Slots int
	// CacheTokens is the prefix cache of one target, in tokens.
	CacheTokens int64
	// ChecksFencing tells whether targets refuse old fencing numbers.
	ChecksFencing bool
	// AskByKey tells whether targets can be asked for an outcome by
	// idempotency key.
	AskByKey bool
	// NotRepeatable marks every call of the service not repeatable.
	NotRepeatable bool
	// Timeout bounds one run at a target.
	Timeout time.Duration
	// QueueLimit bounds the waiting calls of a pool.
	QueueLimit int
	// Rules choose the decisions of the pool.
	Rules Rules
	// Orders is what the service's engines shall have loaded.
	Orders Orders
}

// Orders is the desired state of a service's engines. An empty text means that
// no order is given for it.
type Orders struct {
	Model   string
	Adapter string
	Version string
	Role    string
	// Parallel is how many targets of a pool may change at once, at least 1.
	Parallel int
	// Interval is the least time between two orders of a pool that load from
	// the weight store.
	Interval time.Duration
}

// IsSet tells whether any order is to be given.
func (o Orders) IsSet() bool {
	return o.Model != "" || o.Adapter != "" || o.Version != "" || o.Role != ""
}

// Rules choose each decision of a dispatcher by name, so that each can be
// swapped or switched off alone.
type Rules struct {
	// Order: "fcfs", "las" (least attained service of the program), "slack"
	// (least slack to the program's deadline), "hybrid".
	Order string
	// Classes puts lower Priority first; off treats all alike.
	Classes bool
	// Aging raises a waiting call's rank by its wait; 0 is off. It is the
	// wait that equals one unit of attained service.
	Aging float64
	// FairShare weighs teams within a class.
	FairShare bool
	// Placement: "round-robin", "least-loaded", "affinity", "cost".
	Placement string
	// EvictionTerm adds the cost of what a placement evicts to "cost".
	EvictionTerm bool
	// LateBinding keeps calls in the dispatcher's queue until a slot is
	// free; off passes them on at once.
	LateBinding bool
	// Retention: "none", "worth" (hold cache over tool pauses by expected
	// worth), "all".
	Retention string
	// ReleaseGone releases the cache of programs that are gone.
	ReleaseGone bool
	// Admission refuses calls whose wait cannot meet their deadline.
	Admission bool
	// Ejection takes slow or failing targets out for a while.
	Ejection bool
}

// DefaultRules is the rule set used where settings are silent.
func DefaultRules() Rules {
	return Rules{
		Order: "hybrid", Classes: true, Aging: 1, FairShare: true,
		Placement: "cost", EvictionTerm: true, LateBinding: true,
		Retention: "worth", ReleaseGone: true, Admission: true, Ejection: true,
	}
}

// DefaultPolicy is the policy used where settings are silent.
func DefaultPolicy() Policy {
	return Policy{
		Priority: 5, Weight: 1, CallTimeout: 2 * time.Minute,
		ChunkTokens: 50_000, IdleTimeout: 30 * time.Minute, LoopRepeats: 8,
		GapTimeout: 5 * time.Second, IdempotencyWindow: time.Hour,
		MaxQueued: 1000, Retries: 2,
	}
}

// DefaultService is the service setting used where settings are silent.
func DefaultService(name ServiceName, kind ServiceKind) Service {
	return Service{
		Name: name, Kind: kind, Slots: 16, CacheTokens: 200_000,
		Timeout: time.Minute, QueueLimit: 5000, Rules: DefaultRules(),
		Orders: Orders{Parallel: 1},
	}
}

// Settings is the settings tree as the core reads it. Implementations are
// immutable snapshots or change only between ticks.
type Settings interface {
	// Policy gives the effective policy of a team path.
	Policy(team Team) Policy
	// Service gives a service, false if settings name none such.
	Service(name ServiceName) (Service, bool)
	// Services lists the services by name.
	Services() []Service
}
