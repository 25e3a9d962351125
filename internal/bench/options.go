package bench

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// Options configures a measurement.
type Options struct {
	// Workloads and Variants select by name. If empty, all workloads are run,
	// with the baselines and the full rule set.
	Workloads, Variants []string
	// Ablations adds variants of the full rule set, each with one rule changed
	// or disabled.
	Ablations bool
	// Seeds are the seeds of the workloads. Results are aggregated over them.
	Seeds   []uint64
	Engines int
	// LoadFactor multiplies the arrival rates of the workloads.
	LoadFactor float64
	// Duration is the time in which programs arrive. Programs that arrive
	// within Warmup are not measured.
	Duration, Warmup time.Duration
	// HopDelay is the one-way delay of a message.
	HopDelay time.Duration
	// EngineModel configures the model of each engine.
	EngineModel engine.ModelSettings
	// LoadInterval and LoadLag are the interval and delay of load reports,
	// CacheLag is the delay of cache events.
	LoadInterval, LoadLag, CacheLag time.Duration
	// CacheLossRate is the fraction of cache event reports that are lost,
	// CacheDuplicateRate the fraction that is delivered twice.
	CacheLossRate, CacheDuplicateRate float64
	// Parallel is the maximum number of concurrent runs.
	Parallel int
	// JSONFile is the file to which results are written, empty for none.
	JSONFile string
}

// DefaultOptions returns the options of the published measurements, except for
// their seeds.
func DefaultOptions() Options {
	return Options{
		Seeds: []uint64{1, 2, 3, 4, 5}, Engines: 10, LoadFactor: 1,
		Duration: 150 * time.Second, Warmup: 30 * time.Second,
		HopDelay: 1500 * time.Microsecond,
		EngineModel: engine.ModelSettings{
			Slots: engine.DefaultSlots, StepBase: engine.DefaultStepBase,
			StepPerSequence:     engine.DefaultStepPerSequence,
			StepPerPrefillToken: engine.DefaultStepPerPrefillToken,
			PrefillChunk:        engine.DefaultPrefillChunk,
			CacheCapacity:       engine.DefaultCacheCapacity,
		},
		LoadInterval: 200 * time.Millisecond, LoadLag: 300 * time.Millisecond,
		CacheLag: 300 * time.Millisecond, CacheLossRate: 0.05, CacheDuplicateRate: 0.05,
		Parallel: 4,
	}
}

// Variant is a named rule set.
type Variant struct {
	Name  string
	Rules structs.Rules
}

// Names of the reference variants.
const (
	Baseline = "fcfs/least-loaded"
	Full     = "full"
)

// Variants returns the baselines and the full rule set.
func Variants() []Variant {
	plain := structs.Rules{Order: "fcfs", Placement: "least-loaded", Retention: "all"}
	return []Variant{
		{"fcfs/round-robin", modify(plain, func(r *structs.Rules) { r.Placement = "round-robin" })},
		{Baseline, plain},
		{"fcfs/least-loaded late", modify(plain, func(r *structs.Rules) { r.LateBinding = true })},
		{"las/affinity late", modify(plain, func(r *structs.Rules) {
			r.Order, r.Aging, r.Classes, r.Placement, r.LateBinding = "las", 1, true, "affinity", true
		})},
		{Full, structs.DefaultRules()},
	}
}

// Ablations returns variants of the full rule set, each with one rule changed or
// disabled.
func Ablations() []Variant {
	full := structs.DefaultRules()
	ablation := func(name string, change func(*structs.Rules)) Variant {
		return Variant{Name: "full, " + name, Rules: modify(full, change)}
	}
	return []Variant{
		ablation("order fcfs", func(r *structs.Rules) { r.Order = "fcfs" }),
		ablation("order las", func(r *structs.Rules) { r.Order = "las" }),
		ablation("order slack", func(r *structs.Rules) { r.Order = "slack" }),
		ablation("no classes", func(r *structs.Rules) { r.Classes = false }),
		ablation("no fair share", func(r *structs.Rules) { r.FairShare = false }),
		ablation("place least-loaded", func(r *structs.Rules) { r.Placement = "least-loaded" }),
		ablation("place affinity", func(r *structs.Rules) { r.Placement = "affinity" }),
		ablation("no eviction term", func(r *structs.Rules) { r.EvictionTerm = false }),
		ablation("no late binding", func(r *structs.Rules) { r.LateBinding = false }),
		ablation("retain none", func(r *structs.Rules) { r.Retention = "none" }),
		ablation("retain all", func(r *structs.Rules) { r.Retention = "all" }),
		ablation("no release", func(r *structs.Rules) { r.ReleaseGone = false }),
		ablation("no admission", func(r *structs.Rules) { r.Admission = false }),
		ablation("no ejection", func(r *structs.Rules) { r.Ejection = false }),
	}
}

func modify(rules structs.Rules, change func(*structs.Rules)) structs.Rules {
	change(&rules)
	return rules
}
