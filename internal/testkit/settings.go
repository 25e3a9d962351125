package testkit

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/banyanglade/banyanglade/internal/standin/cluster"
	"github.com/banyanglade/banyanglade/internal/standin/engine"
)

// Services, team and keys of the default settings.
const (
	ModelService  = "model"
	ToolService   = "tool"
	FilingService = "filing"
	TeamPath      = "harbour"
	CallerKey     = "testkit-caller-key"
	OperatorKey   = "testkit-operator-key"
)

// DefaultStandins returns the settings of the default stand-ins: three data
// centres, each with one engine, one tool target and one filing target.
func DefaultStandins() cluster.Settings {
	return cluster.Settings{
		Places: []cluster.Place{
			{Region: "lakes", DataCentre: "north"},
			{Region: "lakes", DataCentre: "east"},
			{Region: "lakes", DataCentre: "south"},
		},
		Engines: cluster.EngineGroup{
			Service: ModelService, Count: 1,
			Settings: engine.Settings{StreamRetention: engine.DefaultStreamRetention},
		},
		Tools: cluster.ServiceGroup{Service: ToolService, Count: 1},
		Plain: cluster.ServiceGroup{Service: FilingService, Count: 1},
	}
}

// DefaultSettings returns the changes that define the default services and a team
// with a caller's and an operator's key.
func DefaultSettings() []SettingsChange {
	return Changes(map[string]any{
		"services/" + ModelService + "/kind":            "engine",
		"services/" + ToolService + "/kind":             "tool",
		"services/" + FilingService + "/kind":           "plain",
		"services/" + FilingService + "/not_repeatable": true,
		"teams/" + TeamPath + "/credentials/caller":     map[string]string{"role": "caller", "sha256": HashKey(CallerKey)},
		"teams/" + TeamPath + "/credentials/operator":   map[string]string{"role": "operator", "sha256": HashKey(OperatorKey)},
	})
}

// Changes returns one change with base version 0 for each path and value.
func Changes(values map[string]any) []SettingsChange {
	var changes []SettingsChange
	for path, value := range values {
		changes = append(changes, SettingsChange{Path: path, Value: value, ChangeID: ulid.Make().String()})
	}
	return changes
}

// Configure publishes the changes and waits until every instance accepts the
// caller's key.
func (c *Cluster) Configure(ctx context.Context, changes []SettingsChange) error {
	root := NewClient(c.Instances[0].Server, RootKey)
	response, err := root.Publish(ctx, changes...)
	if err != nil {
		return errors.Wrap(err, "publish the settings")
	}
	if response.Status != http.StatusOK {
		return errors.Newf("publish the settings: status %d: %s", response.Status, response.Body)
	}
	for _, p := range c.Instances {
		if err := c.waitForKey(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) waitForKey(ctx context.Context, p *Process) error {
	caller := NewClient(p.Server, CallerKey)
	return Poll(ctx, func() error {
		response, err := caller.Do(ctx, http.MethodGet, "/v1/programs/unknown", nil, Call{})
		if err != nil {
			return err
		}
		if response.Status == http.StatusUnauthorized {
			return errors.Newf("instance %s does not accept the caller's key yet", p.ID)
		}
		return nil
	})
}
