package bench

import (
	"time"

	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// Options describe a measurement.
type Options struct {
	// Workloads and Variants choose by name; empty means all workloads, and
	// the baselines and the full rule set.
	Workloads, Variants []string
	// Ablations adds the full rule set with each rule switched off alone.
	Ablations bool
	// Seeds are the seeds of the workloads; each figure is over all.
	Seeds []uint64
	// Runners is the number of engines.
	Runners int
	// LoadFactor multiplies the arrival rate of the workloads.
	LoadFactor float64
	// Duration is the time in which programs arrive, and Warmup its part
	// that is not measured.
	Duration, Warmup time.Duration
	// Hop is the delay of one message.
	Hop time.Duration
	// Engine is the model of the engines.
	Engine engine.ModelSettings
	// Settings for the faults of the engines' reports.
	LoadEvery, LoadLag, CacheLag time.Duration
	// CacheLoss is the share of cache event pages that are lost, and
	// CacheRepeat of those that come twice.
	CacheLoss, CacheRepeat float64
	// Parallel is the number of runs at a time.
	Parallel int
	// JSONFile is the file for the figures, empty for none.
	JSONFile string
}

// DefaultOptions are the options of the reported figures, but for the seeds.
func DefaultOptions() Options {
	return Options{
		Seeds: []uint64{1, 2, 3, 4, 5}, Runners: 10, LoadFactor: 1,
		Duration: 150 * time.Second, Warmup: 30 * time.Second,
		Hop: 1500 * time.Microsecond,
		Engine: engine.ModelSettings{
			Slots: engine.DefaultSlots, StepBase: engine.DefaultStepBase,
			StepPerSequence:     engine.DefaultStepPerSequence,
			StepPerPrefillToken: engine.DefaultStepPerPrefillToken,
			PrefillChunk:        engine.DefaultPrefillChunk,
			CacheCapacity:       engine.DefaultCacheCapacity,
		},
		LoadEvery: 200 * time.Millisecond, LoadLag: 300 * time.Millisecond,
		CacheLag: 300 * time.Millisecond, CacheLoss: 0.05, CacheRepeat: 0.05,
		Parallel: 4,
	}
}

// Variant is a rule set under a name.
type Variant struct {
	Name  string
	Rules structs.Rules
}

// Names of the variants that others are compared with.
const (
	Baseline = "fcfs/least-loaded"
	Full     = "full"
)

// Variants lists the baselines and the full rule set.
func Variants() []Variant {
	plain := structs.Rules{Order: "fcfs", Placement: "least-loaded", Retention: "all"}
	return []Variant{
		{"fcfs/round-robin", with(plain, func(r *structs.Rules) { r.Placement = "round-robin" })},
		{Baseline, plain},
		{"fcfs/least-loaded late", with(plain, func(r *structs.Rules) { r.LateBinding = true })},
		{"las/affinity late", with(plain, func(r *structs.Rules) {
			r.Order, r.Aging, r.Classes, r.Placement, r.LateBinding = "las", 1, true, "affinity", true
		})},
		{Full, structs.DefaultRules()},
	}
}

// Ablations lists the full rule set with each rule switched off alone.
func Ablations() []Variant {
	full := structs.DefaultRules()
	off := func(name string, change func(*structs.Rules)) Variant {
		return Variant{Name: "full, " + name, Rules: with(full, change)}
	}
	return []Variant{
		off("order fcfs", func(r *structs.Rules) { r.Order = "fcfs" }),
		off("order las", func(r *structs.Rules) { r.Order = "las" }),
		off("order slack", func(r *structs.Rules) { r.Order = "slack" }),
		off("no classes", func(r *structs.Rules) { r.Classes = false }),
		off("no fair share", func(r *structs.Rules) { r.FairShare = false }),
		off("place least-loaded", func(r *structs.Rules) { r.Placement = "least-loaded" }),
		off("place affinity", func(r *structs.Rules) { r.Placement = "affinity" }),
		off("no eviction term", func(r *structs.Rules) { r.EvictionTerm = false }),
		off("no late binding", func(r *structs.Rules) { r.LateBinding = false }),
		off("retain none", func(r *structs.Rules) { r.Retention = "none" }),
		off("retain all", func(r *structs.Rules) { r.Retention = "all" }),
		off("no release", func(r *structs.Rules) { r.ReleaseGone = false }),
		off("no admission", func(r *structs.Rules) { r.Admission = false }),
		off("no ejection", func(r *structs.Rules) { r.Ejection = false }),
	}
}

func with(rules structs.Rules, change func(*structs.Rules)) structs.Rules {
	change(&rules)
	return rules
}
