package load

import (
	"context"

	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/testkit"
)

// Setup configures the cluster of a measurement.
type Setup struct {
	// Binary is the path of the instance binary.
	Binary    string
	Instances int
	// Engines is the number of engines in each of the three data centres.
	Engines int
	Model   engine.ModelSettings
	Classes []Class
	// IdleTimeout is the value of the idle_timeout setting, which closes
	// abandoned programs; empty keeps the default.
	IdleTimeout string
	// Rules override rules of the model service, for baselines.
	Rules map[string]any
	// LogDir is the directory for the full logs of the instances. If empty,
	// only the last lines are kept.
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

// callerKey returns the test key of the callers of a class.
func callerKey(class string) string { return testkit.CallerKey + "-" + class }

// dataCentres is the number of data centres of the default test cluster.
const dataCentres = 3

// DefaultModel returns the default cost model of the stand-in engine.
func DefaultModel() engine.ModelSettings {
	return engine.ModelSettings{
		Slots: engine.DefaultSlots, StepBase: engine.DefaultStepBase,
		StepPerSequence: engine.DefaultStepPerSequence, StepPerPrefillToken: engine.DefaultStepPerPrefillToken,
		PrefillChunk: engine.DefaultPrefillChunk, CacheCapacity: engine.DefaultCacheCapacity,
	}
}
