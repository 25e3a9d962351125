package load

import (
	"context"

	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/testkit"
)

// Setup describes the cluster of a measurement.
type Setup struct {
	// Binary is the path of the product's binary.
	Binary    string
	Instances int
	// Engines is the number of engines in each of the three data centres.
	Engines int
	Model   engine.ModelSettings
	Classes []Class
	// IdleTimeout closes abandoned programs, as text of the settings.
	IdleTimeout string
	// Rules are settings below the model service's rules, for baselines.
	Rules map[string]any
	// LogDir keeps the instances' whole logs; empty keeps their last lines.
	LogDir string
}

// start starts and configures the cluster.
func (s Setup) start(ctx context.Context) (*testkit.Cluster, error) {
	standins := testkit.DefaultStandins()
	standins.Engines.Count = s.Engines
	standins.Engines.Settings.Model = s.Model
	c, err := testkit.Start(ctx, testkit.Options{Binary: s.Binary, Instances: s.Instances, Standins: standins, LogDir: s.LogDir})
	if err != nil {
		return nil, err
	}
	changes := append(testkit.DefaultSettings(), testkit.Changes(s.settings())...)
	if err := c.Configure(ctx, changes); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (s Setup) settings() map[string]any {
	service := "services/" + testkit.ModelService
	values := map[string]any{
		service + "/slots":        s.Model.Slots,
		service + "/cache_tokens": s.Model.CacheCapacity,
	}
	for _, class := range s.Classes {
		path := "teams/" + testkit.TeamPath + "/" + class.Name
		values[path+"/priority"] = class.Priority
		values[path+"/credentials/caller"] = map[string]string{
			"role": "caller", "sha256": testkit.HashKey(callerKey(class.Name)),
		}
		if s.IdleTimeout != "" {
			values[path+"/idle_timeout"] = s.IdleTimeout
		}
	}
	for name, value := range s.Rules {
		values[service+"/rules/"+name] = value
	}
	return values
}

// callerKey is the key of a class's callers. It protects nothing.
func callerKey(class string) string { return testkit.CallerKey + "-" + class }

// dataCentres is the number of data centres of the kit's usual cluster.
const dataCentres = 3

// DefaultModel is the stand-in engine with its usual costs.
func DefaultModel() engine.ModelSettings {
	return engine.ModelSettings{
		Slots: engine.DefaultSlots, StepBase: engine.DefaultStepBase,
		StepPerSequence: engine.DefaultStepPerSequence, StepPerPrefillToken: engine.DefaultStepPerPrefillToken,
		PrefillChunk: engine.DefaultPrefillChunk, CacheCapacity: engine.DefaultCacheCapacity,
	}
}
