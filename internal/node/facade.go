package node

import (
	"context"

	"github.com/banyanglade/banyanglade/internal/httpapi"
	"github.com/banyanglade/banyanglade/internal/instance"
	"github.com/banyanglade/banyanglade/internal/settings"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// facade implements httpapi.Core on the loop and the state shared by it.
type facade struct {
	loop   *loop
	shared *sharedState
	tree   *settings.Tree
}

var _ httpapi.Core = (*facade)(nil)

// Post queues an event for the loop without blocking.
func (f *facade) Post(event structs.Event) bool { return f.loop.post(event) }

// Settings returns the settings tree, which is safe for concurrent reads.
func (f *facade) Settings() structs.Settings { return f.tree }

// Authenticate returns the principal of a key.
func (f *facade) Authenticate(key string) (httpapi.Principal, bool) {
	credential, ok := f.tree.Authenticate(key)
	if !ok {
		return httpapi.Principal{}, false
	}
	return httpapi.Principal{
		Name:     credential.Name,
		Team:     credential.Team,
		Operator: credential.Role == settings.RoleOperator,
	}, true
}

// Dump returns the state of the instance, read on the loop.
func (f *facade) Dump(ctx context.Context) (any, error) {
	var state instance.State
	err := f.loop.query(ctx, func(core *instance.Instance) { state = core.Dump() })
	return state, err
}

// Health reports whether the instance accepts traffic.
func (f *facade) Health() httpapi.Health {
	ready := f.shared.readiness()
	switch {
	case ready.Ready:
		return httpapi.Health{State: httpapi.HealthReady}
	case ready.Reason == instance.ReasonDraining:
		return httpapi.Health{State: httpapi.HealthDraining, Detail: ready.Reason}
	default:
		return httpapi.Health{State: httpapi.HealthStarting, Detail: ready.Reason}
	}
}

// Drain starts the graceful shutdown.
func (f *facade) Drain() { f.loop.post(structs.DrainStart{}) }

// Setting returns a part of the settings tree.
func (f *facade) Setting(path string) (any, bool) { return f.tree.Listing(path) }

// SettingHistory returns the retained changes of a part of the settings tree.
func (f *facade) SettingHistory(path string) (any, bool) { return f.tree.HistoryListing(path) }
