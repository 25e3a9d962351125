package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Result holds the results of one workload with one variant, by seed.
type Result struct {
	Workload, Variant string
	Seeds             []Stats
}

// ErrUnknownName is returned if a selected workload or variant does not exist.
var ErrUnknownName = errors.New("unknown workload or variant")

// Run measures the selected workloads and variants and writes a table.
func Run(w io.Writer, o Options) error {
	results, err := Measure(o)
	if err != nil {
		return err
	}
	if err := writeTable(w, o, results); err != nil {
		return err
	}
	if o.JSONFile == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	return errors.Wrap(os.WriteFile(o.JSONFile, encoded, 0o644), "write results file")
}

// Measure runs each selected workload with each selected variant and seed.
func Measure(o Options) ([]Result, error) {
	workloads, err := selectByName(Workloads(), o.Workloads, func(w Workload) string { return w.Name })
	if err != nil {
		return nil, err
	}
	variants, err := o.variants()
	if err != nil {
		return nil, err
	}
	var results []Result
	for _, workload := range workloads {
		for _, variant := range variants {
			results = append(results, Result{
				Workload: workload.Name, Variant: variant.Name, Seeds: make([]Stats, len(o.Seeds)),
			})
		}
	}
	var group errgroup.Group
	group.SetLimit(max(1, o.Parallel))
	for i, result := range results {
		workload, variant := workloads[i/len(variants)], variants[i%len(variants)]
		for j, seed := range o.Seeds {
			group.Go(func() error {
				d := newDriver(o, workload, variant.Rules, seed)
				result.Seeds[j] = d.run(workload.Generate(o, seed)).stats()
				return nil
			})
		}
	}
	return results, group.Wait()
}

// variants returns the selected variants.
func (o Options) variants() ([]Variant, error) {
	if len(o.Variants) == 0 && !o.Ablations {
		return Variants(), nil
	}
	all := append(Variants(), Ablations()...)
	return selectByName(all, o.Variants, func(v Variant) string { return v.Name })
}

func selectByName[T any](all []T, names []string, name func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var chosen []T
	for _, wanted := range names {
		i := slices.IndexFunc(all, func(item T) bool { return name(item) == wanted })
		if i < 0 {
			return nil, errors.Wrapf(ErrUnknownName, "%q", wanted)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

// column is one statistic of the table, which is printed as a row.
type column struct {
	name   string
	format string
	value  func(Stats) float64
}

func columns(classes []int) []column {
	list := []column{{"mean", "%.2f", func(s Stats) float64 { return s.Mean }}}
	for _, class := range classes {
		prefix := fmt.Sprintf("c%d ", class)
		of := func(get func(ClassStats) float64) func(Stats) float64 {
			return func(s Stats) float64 { return get(s.Classes[class]) }
		}
		list = append(list,
			column{prefix + "mean", "%.2f", of(func(c ClassStats) float64 { return c.Slowdown.Mean })},
			column{prefix + "p50", "%.2f", of(func(c ClassStats) float64 { return c.Slowdown.P50 })},
			column{prefix + "p95", "%.2f", of(func(c ClassStats) float64 { return c.Slowdown.P95 })},
			column{prefix + "p99", "%.2f", of(func(c ClassStats) float64 { return c.Slowdown.P99 })},
			column{prefix + "max", "%.1f", of(func(c ClassStats) float64 { return c.Slowdown.Max })},
			column{prefix + "lat mean s", "%.2f", of(func(c ClassStats) float64 { return c.Latency.Mean })},
			column{prefix + "lat p50 s", "%.2f", of(func(c ClassStats) float64 { return c.Latency.P50 })},
			column{prefix + "lat p95 s", "%.1f", of(func(c ClassStats) float64 { return c.Latency.P95 })},
			column{prefix + "lat p99 s", "%.1f", of(func(c ClassStats) float64 { return c.Latency.P99 })},
		)
	}
	return append(list,
		column{"met %", "%.1f", func(s Stats) float64 { return 100 * s.Met }},
		column{"prefilled %", "%.1f", func(s Stats) float64 { return 100 * s.Prefilled }},
		column{"recomputed %", "%.1f", func(s Stats) float64 { return 100 * s.Recomputed }},
		column{"waste gone", "%.0f", func(s Stats) float64 { return s.WasteGone }},
		column{"waste paused", "%.0f", func(s Stats) float64 { return s.WastePaused }},
		column{"team low", "%.2f", func(s Stats) float64 { return s.TeamLow }},
		column{"team high", "%.2f", func(s Stats) float64 { return s.TeamHigh }},
		column{"not sent /prog", "%.2f", func(s Stats) float64 { return s.NotSent }},
		column{"refused %", "%.1f", func(s Stats) float64 { return 100 * s.Refused }},
		column{"refused p50 s", "%.3f", func(s Stats) float64 { return s.RefusedMedian }},
		column{"refused p99 s", "%.3f", func(s Stats) float64 { return s.RefusedAfter }},
		column{"failed %", "%.1f", func(s Stats) float64 { return 100 * s.Failed }},
	)
}

// writeTable writes one row per statistic and one column per variant for each
// workload, with the mean, minimum and maximum over the seeds.
func writeTable(w io.Writer, o Options, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "runners %d, load %.2f, arrivals %v after %v, seeds %v; mean [lowest..highest] over seeds\n",
		o.Engines, o.LoadFactor, o.Duration, o.Warmup, o.Seeds)
	for start := 0; start < len(results); {
		end := start
		for end < len(results) && results[end].Workload == results[start].Workload {
			end++
		}
		writeWorkload(table, results[start:end])
		start = end
	}
	return errors.Wrap(table.Flush(), "write table")
}

func writeWorkload(w io.Writer, results []Result) {
	fmt.Fprintf(w, "\n%s (%d programs)\n", results[0].Workload, results[0].Seeds[0].Programs)
	var classes []int
	for class := range results[0].Seeds[0].Classes {
		classes = append(classes, class)
	}
	slices.Sort(classes)
	list := columns(classes)
	for block := range slices.Chunk(results, variantsPerBlock) {
		writeBlock(w, list, block)
	}
}

// variantsPerBlock is the maximum number of variants side by side.
const variantsPerBlock = 6

func writeBlock(w io.Writer, list []column, results []Result) {
	fmt.Fprint(w, "figure")
	for _, result := range results {
		fmt.Fprintf(w, "\t%s", result.Variant)
	}
	fmt.Fprintln(w)
	for _, c := range list {
		fmt.Fprint(w, c.name)
		for _, result := range results {
			mean, low, high := meanAndRange(result.Seeds, c.value)
			fmt.Fprintf(w, "\t"+c.format+" ["+c.format+".."+c.format+"]", mean, low, high)
		}
		fmt.Fprintln(w)
	}
}

func meanAndRange(seeds []Stats, value func(Stats) float64) (mean, low, high float64) {
	for i, s := range seeds {
		v := value(s)
		if i == 0 {
			low, high = v, v
		}
		mean += v / float64(len(seeds))
		low, high = min(low, v), max(high, v)
	}
	return mean, low, high
}
