package proofs

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/banyanglade/banyanglade/internal/testkit"
)

// operatorLimit bounds an operator's request.
const operatorLimit = 15 * time.Second

// settingView is one entry of the answer of GET /v1/settings.
type settingView struct {
	Path    string          `json:"path"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"version"`
}

// propose publishes one change at an instance and records what was heard. The
// value is JSON.
func (r *Rig) propose(ctx context.Context, at *testkit.Process, path string, base uint64, value string) Change {
	limited, cancel := context.WithTimeout(ctx, operatorLimit)
	defer cancel()
	change := Change{Instance: at.ID, Path: path, Base: base, Value: value, ChangeID: ulid.Make().String()}
	answer, err := operatorAt(at).Publish(limited, testkit.SettingsChange{
		Path: path, Base: base, Value: json.RawMessage(value), ChangeID: change.ChangeID,
	})
	if err == nil {
		change.hear(answer)
	}
	r.History.addChange(change)
	return change
}

// hear takes the answer of a proposal.
func (c *Change) hear(answer *testkit.Response) {
	if answer.Status == http.StatusOK {
		var accepted struct {
			Version uint64 `json:"version"`
		}
		c.Accepted = json.Unmarshal(answer.Body, &accepted) == nil
		c.Version = accepted.Version
		return
	}
	c.Lost = answer.Problem != nil && strings.HasSuffix(answer.Problem.Type, "settings-lost")
}

// setting reads a path at an instance, false if it has none or does not answer.
func (r *Rig) setting(ctx context.Context, at *testkit.Process, path string) (Setting, bool) {
	limited, cancel := context.WithTimeout(ctx, operatorLimit)
	defer cancel()
	answer, err := operatorAt(at).Do(limited, http.MethodGet, "/v1/settings?path="+url.QueryEscape(path), nil, testkit.Call{})
	if err != nil || answer.Status != http.StatusOK {
		return Setting{}, false
	}
	found, ok := findSetting(answer.Body, path)
	if ok {
		r.History.addReading(Reading{Instance: at.ID, Path: path, Version: found.Version, At: time.Now()})
	}
	return found, ok
}

// findSetting finds a path in the answer, which holds it and what lies below.
func findSetting(body []byte, path string) (Setting, bool) {
	var list struct {
		Entries []settingView `json:"entries"`
	}
	if json.Unmarshal(body, &list) != nil {
		return Setting{}, false
	}
	for _, s := range list.Entries {
		if s.Path == path {
			return Setting{Value: string(s.Value), Version: s.Version}, true
		}
	}
	return Setting{}, false
}

// inForce reads the changed paths at every instance.
func (r *Rig) inForce(ctx context.Context, changes []Change) map[string]map[string]Setting {
	result := make(map[string]map[string]Setting)
	if len(changes) == 0 {
		return result
	}
	for _, p := range r.others(nil) {
		result[p.ID] = make(map[string]Setting)
		for _, c := range changes {
			if _, known := result[p.ID][c.Path]; known {
				continue
			}
			// A path that the instance does not have reads as version 0.
			found, _ := r.setting(ctx, p, c.Path)
			result[p.ID][c.Path] = found
		}
	}
	return result
}

// untilInForce waits until every instance has a version of a path.
func (r *Rig) untilInForce(ctx context.Context, path string, version uint64) error {
	for _, p := range r.others(nil) {
		err := r.Until(ctx, "the change at "+p.ID, func() bool {
			found, ok := r.setting(ctx, p, path)
			return ok && found.Version >= version
		})
		if err != nil {
			return err
		}
	}
	return nil
}
