package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/banyanglade/banyanglade/internal/settings"
	"github.com/banyanglade/banyanglade/internal/structs"
)

// SettingsCheck checks a settings file offline.
type SettingsCheck struct {
	File string `arg:"positional,required" help:"settings file (YAML)"`
}

func (c *SettingsCheck) execute(_ context.Context, p *Program) error {
	changes, err := p.readFile(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(p.Out, "%s: %d settings, no errors\n", c.File, len(changes))
	return err
}

// readFile reads and checks a settings file and prints its errors, one a line.
func (p *Program) readFile(name string) ([]structs.SettingChange, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "settings file")
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, settings.MaxFileBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "settings file")
	}
	changes, found := settings.ParseFile(data)
	for _, e := range found {
		fmt.Fprintf(p.Err, "%s: %s\n", name, oneLine(e.Error()))
	}
	if len(found) > 0 {
		return nil, errReported
	}
	return changes, nil
}

// SettingsPublish publishes what differs between a file and the tree.
type SettingsPublish struct {
	ClientOptions
	File   string `arg:"positional,required" help:"settings file (YAML)"`
	DryRun bool   `arg:"--dry-run" help:"only show what would change"`
}

func (c *SettingsPublish) execute(ctx context.Context, p *Program) error {
	wanted, err := p.readFile(c.File)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	if len(wanted) == 0 {
		_, err = fmt.Fprintln(p.Out, "nothing to change: the file is empty")
		return err
	}
	present, err := client.listing(ctx, commonPath(wanted))
	if err != nil {
		return err
	}
	changes := difference(wanted, present.Entries)
	if c.DryRun || !c.JSON {
		if err := p.printPlan(changes, wanted, present.Entries); err != nil {
			return err
		}
	}
	if c.DryRun || len(changes) == 0 {
		return nil
	}
	return p.change(ctx, client, c.JSON, changes)
}

// commonPath is the deepest path that holds all changes, so that an operator of
// a team asks only for what it may read.
func commonPath(changes []structs.SettingChange) string {
	common := parent(strings.Split(changes[0].Path, "/"))
	for _, change := range changes[1:] {
		segments := parent(strings.Split(change.Path, "/"))
		n := 0
		for n < min(len(common), len(segments)) && common[n] == segments[n] {
			n++
		}
		common = common[:n]
	}
	return strings.Join(common, "/")
}

func parent(segments []string) []string { return segments[:len(segments)-1] }

// difference gives the changes that take the tree to the wanted values. All have
// one change id, as they apply together.
func difference(wanted []structs.SettingChange, present []settings.Entry) []settingsChange {
	entries := make(map[string]settings.Entry, len(present))
	for _, e := range present {
		entries[e.Path] = e
	}
	id := ulid.Make().String()
	var changes []settingsChange
	for _, want := range wanted {
		e := entries[want.Path]
		if e.Digest == settings.ValueDigest(want.Value) {
			continue
		}
		changes = append(changes, settingsChange{Path: want.Path, Base: e.Version, Value: want.Value, ChangeID: id})
	}
	return changes
}

// printPlan shows what changes, and what the tree holds beside the file.
func (p *Program) printPlan(changes []settingsChange, wanted []structs.SettingChange, present []settings.Entry) error {
	var rows [][]string
	for _, change := range changes {
		action := "change"
		if change.Base == 0 {
			action = "add"
		}
		rows = append(rows, []string{action, change.Path, shownInPlan(change)})
	}
	if len(rows) > 0 {
		if err := p.printTable([]string{"ACTION", "PATH", "VALUE"}, rows); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(p.Out, "%d to change, %d as wanted already, %d in the tree but not in the file (left as they are)\n",
		len(changes), len(wanted)-len(changes), countOthers(wanted, present))
	return err
}

// shownInPlan hides the hashes of credentials.
func shownInPlan(change settingsChange) string {
	if strings.Contains(change.Path, "/credentials/") {
		return hidden
	}
	return string(change.Value)
}

func countOthers(wanted []structs.SettingChange, present []settings.Entry) int {
	inFile := make(map[string]bool, len(wanted))
	for _, want := range wanted {
		inFile[want.Path] = true
	}
	others := 0
	for _, e := range present {
		if !e.Removed && !inFile[e.Path] {
			others++
		}
	}
	return others
}
