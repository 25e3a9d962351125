package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// printJSON prints a JSON answer, indented.
func (p *Program) printJSON(body []byte) error {
	var b bytes.Buffer
	if err := json.Indent(&b, body, "", "  "); err != nil {
		_, err := p.Out.Write(body)
		return err
	}
	_, err := fmt.Fprintln(p.Out, strings.TrimSpace(b.String()))
	return err
}

// printTable prints rows in columns under a head.
func (p *Program) printTable(header []string, rows [][]string) error {
	const padding = 2
	w := tabwriter.NewWriter(p.Out, 0, 0, padding, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		for i := range row {
			row[i] = sanitizeLine(row[i])
		}
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// formatSpent shows an amount with its limit, 0 for none.
func formatSpent(spent, held, limit int64) string {
	text := fmt.Sprint(spent)
	if held > 0 {
		text += fmt.Sprintf("+%d held", held)
	}
	if limit > 0 {
		text += fmt.Sprintf(" of %d", limit)
	}
	return text
}
