package httpapi

import (
	"context"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Core is what the adapter needs of an instance. All methods are safe for
// concurrent use.
type Core interface {
	// Post hands an event to the core's loop without blocking. It returns
	// false if the queue is full or the instance has stopped; then the
	// request certainly did not run.
	Post(event structs.Event) bool
	// Settings gives a snapshot of the settings, safe for concurrent reads.
	Settings() structs.Settings
	// Authenticate finds the principal of a bearer key, false if the key is
	// unknown.
	Authenticate(key string) (Principal, bool)
	// Setting gives the value and version at a path of the settings tree and
	// what lies below it, false if there is nothing. The value must encode
	// as JSON and hold no secrets.
	Setting(path string) (any, bool)
	// SettingHistory lists the retained changes at and below a path. The
	// value must encode as JSON and hold no secrets.
	SettingHistory(path string) (any, bool)
	// Dump gives the state of the instance, through the core's loop. The
	// value must encode as JSON and hold no secrets.
	Dump(ctx context.Context) (any, error)
	// Health tells whether the instance may take traffic.
	Health() Health
	// Drain begins the graceful shutdown; it returns at once.
	Drain()
}

// Principal is who made a request.
type Principal struct {
	// Name is written to logs and, for operators, as the author of changes.
	Name string
	// Team is the path that the principal reaches, with all below it. Only
	// an operator may have the empty team, which reaches everything.
	Team structs.Team
	// Operator allows the operators' routes.
	Operator bool
}

// Root tells whether the principal is an operator of the whole tree.
func (p Principal) Root() bool { return p.Operator && p.Team == "" }

// HealthState is a stage in the life of an instance.
type HealthState string

// Stages in the life of an instance.
const (
	// HealthStarting: the settings have not caught up with the log yet, so
	// neither keys nor services are known.
	HealthStarting HealthState = "starting"
	// HealthReady: the instance takes traffic.
	HealthReady HealthState = "ready"
	// HealthDraining: requests in flight end and new ones go to the core,
	// which relays or refuses them, but the balancer is told to stay away.
	HealthDraining HealthState = "draining"
)

// Health tells whether an instance may take traffic, and why not.
type Health struct {
	State  HealthState `json:"state"`
	Detail string      `json:"detail,omitempty"`
}
