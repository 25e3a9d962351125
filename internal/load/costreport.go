package load

import (
	"fmt"
	"io"
	"slices"
)

// costColumn is one column of the cost table.
type costColumn struct {
	name     string
	decimals int
	value    func(CostStats) float64
}

var costColumns = []costColumn{
	{"CPU % of a core", 2, func(s CostStats) float64 { return s.CPU }},
	{"RSS MiB", 1, func(s CostStats) float64 { return s.RSS }},
	{"all I/O B/s", 0, func(s CostStats) float64 { return s.IO }},
	{"peer control B/s", 0, func(s CostStats) float64 { return s.Control }},
	{"peer data B/s", 0, func(s CostStats) float64 { return s.Data }},
	{"log reads/s", 2, func(s CostStats) float64 { return s.Reads }},
	{"list polls/s", 2, func(s CostStats) float64 { return s.Polls }},
	{"ticks/s", 0, func(s CostStats) float64 { return s.Ticks }},
	{"log appends/s, all", 1, func(s CostStats) float64 { return s.Appends }},
	{"calls/s, all", 1, func(s CostStats) float64 { return s.Calls }},
}

func printCostHeader(out io.Writer, x string) {
	cells := []string{"state", x}
	for _, column := range costColumns {
		cells = append(cells, column.name)
	}
	cells = append(cells, "load average")
	fmt.Fprintln(out, markdownRow(cells...))
	fmt.Fprintln(out, markdownRow(slices.Repeat([]string{"---"}, len(cells))...))
}

func printCost(out io.Writer, state string, x float64, windows []CostStats) {
	cells := []string{state, fmt.Sprint(x)}
	for _, column := range costColumns {
		cells = append(cells, FormatSpread(values(windows, column), column.decimals))
	}
	fmt.Fprintln(out, markdownRow(append(cells, LoadAverage())...))
}

func values(windows []CostStats, column costColumn) []float64 {
	list := make([]float64, 0, len(windows))
	for _, s := range windows {
		list = append(list, column.value(s))
	}
	return list
}

// printFits prints a linear fit over the windows of all samples for each column.
func printFits(out io.Writer, x string, samples []costSample) {
	for _, column := range costColumns {
		for _, state := range []struct {
			name    string
			windows func(costSample) []CostStats
		}{
			{"idle", func(s costSample) []CostStats { return s.idle }},
			{"load", func(s costSample) []CostStats { return s.load }},
		} {
			var at, value []float64
			for _, s := range samples {
				for _, v := range values(state.windows(s), column) {
					at, value = append(at, s.x), append(value, v)
				}
			}
			if len(at) == 0 {
				continue
			}
			fit := FitLine(at, value)
			fmt.Fprintf(out, "fit %s, %s: %.5g + %.5g * %s\n", state.name, column.name, fit.Intercept, fit.Slope, x)
		}
	}
}
