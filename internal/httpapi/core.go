package httpapi

import (
	"context"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Core is the part of an instance that the adapter uses. All methods are safe
// for concurrent use.
type Core interface {
	// Post queues an event for the core's loop without blocking. It returns
	// false if the queue is full or the instance has stopped; the request
	// then has not run and will not.
	Post(event structs.Event) bool
	// Settings returns a snapshot of the settings, safe for concurrent reads.
	Settings() structs.Settings
	// Authenticate returns the principal of a bearer key, or false if the key
	// is unknown.
	Authenticate(key string) (Principal, bool)
	// Setting returns the values and versions at and below a path of the
	// settings tree, or false if there are none. The result must encode as
	// JSON and hold no secrets.
	Setting(path string) (any, bool)
	// SettingHistory returns the retained changes at and below a path, or
	// false if there are none. The result must encode as JSON and hold no
	// secrets.
	SettingHistory(path string) (any, bool)
	// Dump returns the state of the instance, read in the core's loop. The
	// result must encode as JSON and hold no secrets.
	Dump(ctx context.Context) (any, error)
	// Health reports whether the instance may receive traffic.
	Health() Health
	// Drain starts a graceful shutdown and returns immediately.
	Drain()
}

// Principal is the authenticated sender of a request.
type Principal struct {
	// Name appears in logs and, for operators, as the author of changes.
	Name string
	// Team is the path of the team that the principal has access to, with all
	// teams below it. Only an operator may have the empty team, which grants
	// access to the whole tree.
	Team structs.Team
	// Operator grants access to the operators' routes.
	Operator bool
}

// Root reports whether the principal is an operator of the whole tree.
func (p Principal) Root() bool { return p.Operator && p.Team == "" }

// HealthState is a lifecycle state of an instance.
type HealthState string

// Lifecycle states of an instance.
const (
	// HealthStarting: the settings have not caught up with the log yet, so
	// neither keys nor services are known.
	HealthStarting HealthState = "starting"
	// HealthReady: the instance accepts traffic.
	HealthReady HealthState = "ready"
	// HealthDraining: requests in flight complete and new ones go to the
	// core, which relays or rejects them, but the readiness check fails.
	HealthDraining HealthState = "draining"
)

// Health is the lifecycle state of an instance, with the reason if it may not
// receive traffic.
type Health struct {
	State  HealthState `json:"state"`
	Detail string      `json:"detail,omitempty"`
}
