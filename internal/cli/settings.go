package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/banyanglade/banyanglade/internal/settings"
)

// Routes of the settings.
const (
	settingsRoute = "/v1/settings"
	historyRoute  = "/v1/settings/history"
	appliedRoute  = "/v1/settings/applied"
)

// SettingsGet prints the settings at and below a path.
type SettingsGet struct {
	ClientOptions
	Path string `arg:"positional" help:"path such as teams/lakeshore or services/filing-desk; all if not given"`
}

func (c *SettingsGet) execute(ctx context.Context, p *Program) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	resp, err := client.get(ctx, settingsRoute, pathQuery(c.Path))
	if err != nil {
		return err
	}
	if c.JSON {
		return p.printJSON(resp.body)
	}
	var list settings.Listing
	if err := resp.decode(&list); err != nil {
		return err
	}
	var rows [][]string
	for _, e := range list.Entries {
		rows = append(rows, []string{e.Path, formatValue(e.Value, e.Removed), fmt.Sprint(e.Version), e.Author, formatTime(e.Time)})
	}
	return p.printTable([]string{"PATH", "VALUE", "VERSION", "AUTHOR", "TIME"}, rows)
}

// SettingsHistory prints the last changes at and below a path.
type SettingsHistory struct {
	ClientOptions
	Path string `arg:"positional" help:"path such as teams/lakeshore/priority; all if not given"`
}

func (c *SettingsHistory) execute(ctx context.Context, p *Program) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	resp, err := client.get(ctx, historyRoute, pathQuery(c.Path))
	if err != nil {
		return err
	}
	if c.JSON {
		return p.printJSON(resp.body)
	}
	var list settings.HistoryListing
	if err := resp.decode(&list); err != nil {
		return err
	}
	var rows [][]string
	for _, h := range list.Changes {
		rows = append(rows, []string{fmt.Sprint(h.Version), h.Path, formatValue(h.Value, h.Removed), h.Author, formatTime(h.Time)})
	}
	return p.printTable([]string{"VERSION", "PATH", "VALUE", "AUTHOR", "TIME"}, rows)
}

// SettingsSet changes or removes one setting.
type SettingsSet struct {
	ClientOptions
	Path     string  `arg:"positional,required" help:"path such as teams/lakeshore/clearance/priority"`
	Value    *string `arg:"positional" help:"new value: JSON, or a plain text such as 30s"`
	Remove   bool    `arg:"--remove" help:"remove the value, so that the one above it holds"`
	Base     *uint64 `arg:"--base" placeholder:"VERSION" help:"version that the change replaces; the present one if not given. The change loses if another came first"`
	ChangeID string  `arg:"--change-id" placeholder:"ID" help:"id of the change, to repeat one whose outcome is unknown; it applies once"`
}

func (c *SettingsSet) execute(ctx context.Context, p *Program) error {
	if (c.Value == nil) != c.Remove {
		return errors.Mark(errors.New("give either a value or --remove"), errUsage)
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	change := settingsChange{Path: c.Path, ChangeID: c.ChangeID}
	if change.ChangeID == "" {
		change.ChangeID = ulid.Make().String()
	}
	if !c.Remove {
		change.Value = settingValue(*c.Value)
	}
	if c.Base != nil {
		change.Base = *c.Base
	} else if change.Base, err = client.currentVersion(ctx, c.Path); err != nil {
		return err
	}
	return p.publishChanges(ctx, client, c.JSON, []settingsChange{change})
}

// settingValue returns valid JSON unchanged and any other text as a JSON string.
func settingValue(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	quoted, _ := json.Marshal(text)
	return quoted
}

// settingsChange is one change in the body of PUT /v1/settings.
type settingsChange struct {
	Path     string          `json:"path"`
	Base     uint64          `json:"base"`
	Value    json.RawMessage `json:"value"`
	ChangeID string          `json:"change_id"`
}

// settingsAccepted is the response of PUT /v1/settings.
type settingsAccepted struct {
	Status  string `json:"status"`
	Version uint64 `json:"version"`
	Offset  uint64 `json:"offset"`
}

// publishChanges publishes the changes atomically and prints the outcome.
func (p *Program) publishChanges(ctx context.Context, client *client, asJSON bool, changes []settingsChange) error {
	body := struct {
		Changes []settingsChange `json:"changes"`
	}{changes}
	resp, err := client.do(ctx, http.MethodPut, settingsRoute, nil, body)
	if err != nil {
		if mayHaveTakenEffect(err) {
			return errors.Wrapf(err, "unknown whether change %s came into force (a repeat is safe)", changes[0].ChangeID)
		}
		return err
	}
	if asJSON {
		return p.printJSON(resp.body)
	}
	var accepted settingsAccepted
	if err := resp.decode(&accepted); err != nil {
		return err
	}
	_, err = fmt.Fprintf(p.Out, "%s: version %d of %d path(s)\n", sanitizeLine(accepted.Status), accepted.Version, len(changes))
	return err
}

// currentVersion returns the current version of a path, 0 if the path never had a value.
func (c *client) currentVersion(ctx context.Context, path string) (uint64, error) {
	list, err := c.listSettings(ctx, path)
	if err != nil {
		return 0, err
	}
	for _, e := range list.Entries {
		if e.Path == path {
			return e.Version, nil
		}
	}
	return 0, nil
}

// listSettings returns the settings at and below a path, empty if there are none.
func (c *client) listSettings(ctx context.Context, path string) (settings.Listing, error) {
	var list settings.Listing
	resp, err := c.get(ctx, settingsRoute, pathQuery(path))
	var problem *ProblemError
	if errors.As(err, &problem) && problem.Status == http.StatusNotFound {
		return list, nil
	}
	if err != nil {
		return list, err
	}
	return list, resp.decode(&list)
}

// SettingsApplied prints the offset up to which each instance has applied the
// settings.
type SettingsApplied struct{ ClientOptions }

func (c *SettingsApplied) execute(ctx context.Context, p *Program) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	resp, err := client.get(ctx, appliedRoute, nil)
	if err != nil {
		return err
	}
	if c.JSON {
		return p.printJSON(resp.body)
	}
	var reply struct {
		Applied map[string]uint64 `json:"applied"`
		Missing []string          `json:"missing"`
	}
	if err := resp.decode(&reply); err != nil {
		return err
	}
	return p.printTable([]string{"INSTANCE", "APPLIED", "STATE"}, appliedRows(reply.Applied, reply.Missing))
}

// appliedRows returns a row for each instance with its distance from the newest
// offset.
func appliedRows(applied map[string]uint64, missing []string) [][]string {
	var newest uint64
	var rows [][]string
	for _, next := range applied {
		newest = max(newest, next)
	}
	for instance, next := range applied {
		state := "newest"
		if next < newest {
			state = fmt.Sprintf("%d behind", newest-next)
		}
		rows = append(rows, []string{instance, fmt.Sprint(next), state})
	}
	for _, instance := range missing {
		rows = append(rows, []string{instance, "-", "no answer"})
	}
	slices.SortFunc(rows, slices.Compare[[]string])
	return rows
}

func pathQuery(path string) url.Values {
	if path == "" {
		return nil
	}
	return url.Values{"path": {path}}
}

func formatValue(value json.RawMessage, removed bool) string {
	if removed {
		return "(removed)"
	}
	return string(value)
}
