package structs

import "time"

// Policy is the effective policy of one team path, after inheritance.
type Policy struct {
	// Priority is the class of the team's calls; 0 is served first.
	Priority int
	// Weight is the team's share within a class, greater than 0.
	Weight float64
	// Deadline is the target latency of a whole program; 0 if unset.
	Deadline time.Duration
	// CallTimeout bounds one call from its arrival to its response.
	CallTimeout time.Duration
	// ProgramTokens, ProgramFees and ProgramTurns limit one program; 0 means no limit.
	ProgramTokens int64
	ProgramFees   int64
	ProgramTurns  int64
	// TeamTokens and TeamFees limit all programs of the path over its lifetime; 0
	// means no limit.
	TeamTokens int64
	TeamFees   int64
	// ChunkTokens is the size of a budget reservation.
	ChunkTokens int64
	// IdleTimeout is the time without calls after which a program is closed.
	IdleTimeout time.Duration
	// LoopRepeats closes a program that sends the same request that many times in a
	// row; 0 disables the check.
	LoopRepeats int
	// GapTimeout bounds the wait for a missing call number.
	GapTimeout time.Duration
	// IdempotencyWindow is how long responses are stored for replay.
	IdempotencyWindow time.Duration
	// MaxQueued limits a team's waiting calls in one pool.
	MaxQueued int
	// Retries limits the retries of a repeatable call.
	Retries int
}

// ServiceKind is the kind of a service's targets.
type ServiceKind string

// Kinds of services.
const (
	ServiceEngine ServiceKind = "engine"
	ServiceTool   ServiceKind = "tool"
	ServicePlain  ServiceKind = "plain"
)

// Service is the effective configuration of a service.
type Service struct {
	Name ServiceName
	Kind ServiceKind
	// Slots is the number of calls that a target runs concurrently.
	Slots int
	// CacheTokens is the size of one target's prefix cache, in tokens.
	CacheTokens int64
	// ChecksFencing indicates whether targets refuse old fencing numbers.
	ChecksFencing bool
	// AskByKey indicates whether targets can be queried for an outcome by idempotency
	// key.
	AskByKey bool
	// NotRepeatable marks every call of the service not repeatable.
	NotRepeatable bool
	// Timeout bounds one run at a target.
	Timeout time.Duration
	// QueueLimit limits the waiting calls of a pool.
	QueueLimit int
	// Rules select the scheduling rules of the pool.
	Rules Rules
	// Orders is the desired state of the service's engines.
	Orders Orders
}

// Orders is the desired state of a service's engines. An empty string leaves the
// engine's state as it is.
type Orders struct {
	Model   string
	Adapter string
	Version string
	Role    string
	// Parallel is the maximum number of targets of a pool that change at once, at
	// least 1.
	Parallel int
	// Interval is the minimum time between two orders of a pool that load from the
	// weight store.
	Interval time.Duration
}

// IsSet reports whether any order is configured.
func (o Orders) IsSet() bool {
	return o.Model != "" || o.Adapter != "" || o.Version != "" || o.Role != ""
}

// Rules select each decision of a dispatcher by name, so that each can be replaced or
// disabled independently.
type Rules struct {
	// Order: "fcfs", "las" (least attained service of the program), "slack"
	// (least slack to the program's deadline), "hybrid".
	Order string
	// Classes serves lower Priority first; if false, all calls are treated alike.
	Classes bool
	// Aging is the wait that offsets one unit of attained service in a call's rank; 0
	// disables aging.
	Aging float64
	// FairShare weights teams within a class.
	FairShare bool
	// Placement: "round-robin", "least-loaded", "affinity", "cost".
	Placement string
	// EvictionTerm adds the cost of evicted cache to the placement "cost".
	EvictionTerm bool
	// LateBinding holds calls in the dispatcher's queue until a slot is free; if
	// false, they are sent to targets immediately.
	LateBinding bool
	// Retention: "none", "worth" (hold cache over tool pauses by expected benefit),
	// "all".
	Retention string
	// ReleaseGone releases the cache of programs that ended.
	ReleaseGone bool
	// Admission refuses calls that would miss their deadline while waiting.
	Admission bool
	// Ejection temporarily excludes slow or failing targets.
	Ejection bool
}

// DefaultRules returns the rules used where the settings have none.
func DefaultRules() Rules {
	return Rules{
		Order: "hybrid", Classes: true, Aging: 1, FairShare: true,
		Placement: "cost", EvictionTerm: true, LateBinding: true,
		Retention: "worth", ReleaseGone: true, Admission: true, Ejection: true,
	}
}

// DefaultPolicy returns the policy used where the settings have none.
func DefaultPolicy() Policy {
	return Policy{
		Priority: 5, Weight: 1, CallTimeout: 2 * time.Minute,
		ChunkTokens: 50_000, IdleTimeout: 30 * time.Minute, LoopRepeats: 8,
		GapTimeout: 5 * time.Second, IdempotencyWindow: time.Hour,
		MaxQueued: 1000, Retries: 2,
	}
}

// DefaultService returns a service with the defaults used where the settings have
// none.
func DefaultService(name ServiceName, kind ServiceKind) Service {
	return Service{
		Name: name, Kind: kind, Slots: 16, CacheTokens: 200_000,
		Timeout: time.Minute, QueueLimit: 5000, Rules: DefaultRules(),
		Orders: Orders{Parallel: 1},
	}
}

// Settings is the settings tree as read by the core. Implementations are immutable
// snapshots or change only between ticks.
type Settings interface {
	// Policy returns the effective policy of a team path.
	Policy(team Team) Policy
	// Service returns a service, false if the settings have none of that name.
	Service(name ServiceName) (Service, bool)
	// Services returns the services ordered by name.
	Services() []Service
}
