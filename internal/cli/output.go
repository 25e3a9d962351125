package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// printJSON prints a JSON body indented, and any other body as it is.
func (p *Program) printJSON(body []byte) error {
	var b bytes.Buffer
	if err := json.Indent(&b, body, "", "  "); err != nil {
		_, err := p.Out.Write(body)
		return err
	}
	_, err := fmt.Fprintln(p.Out, strings.TrimSpace(b.String()))
	return err
}

// printTable prints rows in aligned columns below a header.
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

// formatSpent formats an amount with what is held and its limit, either 0 if unset.
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
