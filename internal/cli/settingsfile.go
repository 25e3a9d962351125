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

// SettingsCheck validates a settings file without an instance.
type SettingsCheck struct {
	File string `arg:"positional,required" help:"settings file (YAML)"`
}

func (c *SettingsCheck) execute(_ context.Context, p *Program) error {
	changes, err := p.readSettingsFile(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(p.Out, "%s: %d settings, no errors\n", c.File, len(changes))
	return err
}

// readSettingsFile reads and validates a settings file. Validation errors are
// printed, one per line, and result in errReported.
func (p *Program) readSettingsFile(name string) ([]structs.SettingChange, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "settings file")
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, settings.MaxFileBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "settings file")
	}
	changes, errs := settings.ParseFile(data)
	for _, e := range errs {
		fmt.Fprintf(p.Err, "%s: %s\n", name, sanitizeLine(e.Error()))
	}
	if len(errs) > 0 {
		return nil, errReported
	}
	return changes, nil
}

// SettingsPublish publishes the settings of a file that differ from the current
// ones.
type SettingsPublish struct {
	ClientOptions
	File   string `arg:"positional,required" help:"settings file (YAML)"`
	DryRun bool   `arg:"--dry-run" help:"only show what would change"`
}

func (c *SettingsPublish) execute(ctx context.Context, p *Program) error {
	desired, err := p.readSettingsFile(c.File)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	if len(desired) == 0 {
		_, err = fmt.Fprintln(p.Out, "nothing to change: the file is empty")
		return err
	}
	current, err := client.listSettings(ctx, commonPath(desired))
	if err != nil {
		return err
	}
	changes := diffSettings(desired, current.Entries)
	if c.DryRun || !c.JSON {
		if err := p.printPlan(changes, desired, current.Entries); err != nil {
			return err
		}
	}
	if c.DryRun || len(changes) == 0 {
		return nil
	}
	return p.publishChanges(ctx, client, c.JSON, changes)
}

// commonPath returns the deepest path above all changes. Listing only this path
// lets an operator of a team publish without read access to the whole tree.
func commonPath(changes []structs.SettingChange) string {
	common := parentPath(strings.Split(changes[0].Path, "/"))
	for _, change := range changes[1:] {
		segments := parentPath(strings.Split(change.Path, "/"))
		n := 0
		for n < min(len(common), len(segments)) && common[n] == segments[n] {
			n++
		}
		common = common[:n]
	}
	return strings.Join(common, "/")
}

func parentPath(segments []string) []string { return segments[:len(segments)-1] }

// diffSettings returns the changes that bring the tree to the desired values. They
// share one change id since they are applied together.
func diffSettings(desired []structs.SettingChange, current []settings.Entry) []settingsChange {
	entries := make(map[string]settings.Entry, len(current))
	for _, e := range current {
		entries[e.Path] = e
	}
	id := ulid.Make().String()
	var changes []settingsChange
	for _, want := range desired {
		e := entries[want.Path]
		if e.Digest == settings.ValueDigest(want.Value) {
			continue
		}
		changes = append(changes, settingsChange{Path: want.Path, Base: e.Version, Value: want.Value, ChangeID: id})
	}
	return changes
}

// printPlan prints the changes, and the number of settings that are in the tree but
// not in the file.
func (p *Program) printPlan(changes []settingsChange, desired []structs.SettingChange, current []settings.Entry) error {
	var rows [][]string
	for _, change := range changes {
		action := "change"
		if change.Base == 0 {
			action = "add"
		}
		rows = append(rows, []string{action, change.Path, planValue(change)})
	}
	if len(rows) > 0 {
		if err := p.printTable([]string{"ACTION", "PATH", "VALUE"}, rows); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(p.Out, "%d to change, %d up to date, %d in the tree but not in the file (left as they are)\n",
		len(changes), len(desired)-len(changes), countUnlisted(desired, current))
	return err
}

// planValue returns the value to print for a change; hashes of credentials are
// redacted.
func planValue(change settingsChange) string {
	if strings.Contains(change.Path, "/credentials/") {
		return redacted
	}
	return string(change.Value)
}

func countUnlisted(desired []structs.SettingChange, current []settings.Entry) int {
	inFile := make(map[string]bool, len(desired))
	for _, want := range desired {
		inFile[want.Path] = true
	}
	others := 0
	for _, e := range current {
		if !e.Removed && !inFile[e.Path] {
			others++
		}
	}
	return others
}
