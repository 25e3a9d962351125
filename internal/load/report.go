package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// maxErrorsShown is the maximum number of errors printed per run.
const maxErrorsShown = 3

func printScenarioHeader(out io.Writer) {
	columns := []string{
		"scenario", "class", "programs", "failed", "slowdown mean", "p50", "p95", "p99 pooled", "p99 by seed",
		"latency p99 ms", "first token p50/p95 ms", "between tokens p50/p95 ms", "refusals", "retries", "recomputed %",
		"gone cache %", "left tokens", "appends/s",
	}
	fmt.Fprintln(out, markdownRow(columns...))
	fmt.Fprintln(out, markdownRow(slices.Repeat([]string{"---"}, len(columns))...))
}

// printScenario prints one row per class over all seeds.
func printScenario(out io.Writer, o ScenarioOptions, results []*Result) {
	for _, class := range o.Classes {
		pooled := newClassRecorder()
		var p99s, ended, remaining, appends []float64
		for _, r := range results {
			pooled.merge(r.pooled[class.Name])
			p99s = append(p99s, r.Classes[class.Name].Slowdown.P99)
			ended = append(ended, percentOf(r.Waste.Ended, r.Waste.Held))
			remaining = append(remaining, float64(r.Waste.Remaining))
			appends = append(appends, r.AppendRate)
		}
		stats := pooled.stats()
		fmt.Fprintln(out, markdownRow(
			results[0].Scenario, class.Name, fmt.Sprint(stats.Started), fmt.Sprint(stats.Failed),
			fmt.Sprintf("%.2f", stats.Slowdown.Mean), fmt.Sprintf("%.2f", stats.Slowdown.P50),
			fmt.Sprintf("%.2f", stats.Slowdown.P95), fmt.Sprintf("%.2f", stats.Slowdown.P99), FormatSpread(p99s, 2),
			fmt.Sprintf("%.0f", stats.Latency.P99),
			fmt.Sprintf("%.1f/%.1f", stats.FirstToken.P50, stats.FirstToken.P95),
			fmt.Sprintf("%.1f/%.1f", stats.BetweenTokens.P50, stats.BetweenTokens.P95),
			formatRefusals(stats), fmt.Sprint(stats.Retries),
			fmt.Sprintf("%.1f", percentOf(float64(stats.RecomputedTokens), float64(stats.PromptTokens))),
			FormatSpread(ended, 1), FormatSpread(remaining, 0), FormatSpread(appends, 0),
		))
	}
	printErrors(out, results)
}

// percentOf returns part as a percentage of whole.
func percentOf(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	const perCent = 100
	return perCent * part / whole
}

// formatRefusals lists the refusals by the last segment of their problem
// type.
func formatRefusals(stats ClassStats) string {
	var parts []string
	for _, problem := range slices.Sorted(maps.Keys(stats.Refused)) {
		name := problem[strings.LastIndexAny(problem, ":/")+1:]
		parts = append(parts, fmt.Sprintf("%s %d", name, stats.Refused[problem]))
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, ", ")
}

func printErrors(out io.Writer, results []*Result) {
	for _, r := range results {
		for i, text := range r.Errors {
			if i == maxErrorsShown {
				break
			}
			fmt.Fprintf(out, "failed (%s, seed %d): %s\n", r.Scenario, r.Seed, text)
		}
	}
}
