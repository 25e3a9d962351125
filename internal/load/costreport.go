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
	{"CPU % of a core", 2, func(f CostStats) float64 { return f.CPU }},
	{"RSS MiB", 1, func(f CostStats) float64 { return f.RSS }},
	{"all I/O B/s", 0, func(f CostStats) float64 { return f.IO }},
	{"peer control B/s", 0, func(f CostStats) float64 { return f.Control }},
	{"peer data B/s", 0, func(f CostStats) float64 { return f.Data }},
	{"log reads/s", 2, func(f CostStats) float64 { return f.Reads }},
	{"list polls/s", 2, func(f CostStats) float64 { return f.Polls }},
	{"ticks/s", 0, func(f CostStats) float64 { return f.Ticks }},
	{"log appends/s, all", 1, func(f CostStats) float64 { return f.Appends }},
	{"calls/s, all", 1, func(f CostStats) float64 { return f.Calls }},
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
	for _, f := range windows {
		list = append(list, column.value(f))
	}
	return list
}

// printFits prints a linear fit over the windows of all samples for each column.
func printFits(out io.Writer, x string, samples []costSample) {
	for _, column := range costColumns {
		for _, state := range []struct {
			name    string
			figures func(costSample) []CostStats
		}{
			{"idle", func(s costSample) []CostStats { return s.idle }},
			{"load", func(s costSample) []CostStats { return s.load }},
		} {
			var at, value []float64
			for _, s := range samples {
				for _, v := range values(state.figures(s), column) {
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
