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

// operatorTimeout bounds a request of an operator.
const operatorTimeout = 15 * time.Second

// settingView is one entry of the response of GET /v1/settings.
type settingView struct {
	Path    string          `json:"path"`
	Value   json.RawMessage `json:"value"`
	Version uint64          `json:"version"`
}

// propose publishes a change at an instance, and records and returns it with its
// outcome. The value is JSON.
func (r *Rig) propose(ctx context.Context, at *testkit.Process, path string, base uint64, value string) Change {
	limited, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	change := Change{Instance: at.ID, Path: path, Base: base, Value: value, ChangeID: ulid.Make().String()}
	response, err := operatorAt(at).Publish(limited, testkit.SettingsChange{
		Path: path, Base: base, Value: json.RawMessage(value), ChangeID: change.ChangeID,
	})
	if err == nil {
		change.setOutcome(response)
	}
	r.History.addChange(change)
	return change
}

// setOutcome sets the outcome from the response to the proposal.
func (c *Change) setOutcome(response *testkit.Response) {
	if response.Status == http.StatusOK {
		var accepted struct {
			Version uint64 `json:"version"`
		}
		c.Accepted = json.Unmarshal(response.Body, &accepted) == nil
		c.Version = accepted.Version
		return
	}
	c.Lost = response.Problem != nil && strings.HasSuffix(response.Problem.Type, "settings-lost")
}

// setting reads a setting at an instance. It returns false if the setting is unset
// or the instance does not respond.
func (r *Rig) setting(ctx context.Context, at *testkit.Process, path string) (Setting, bool) {
	limited, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	response, err := operatorAt(at).Do(limited, http.MethodGet, "/v1/settings?path="+url.QueryEscape(path), nil, testkit.Call{})
	if err != nil || response.Status != http.StatusOK {
		return Setting{}, false
	}
	found, ok := findSetting(response.Body, path)
	if ok {
		r.History.addReading(Reading{Instance: at.ID, Path: path, Version: found.Version, At: time.Now()})
	}
	return found, ok
}

// findSetting finds a path in the response, which also lists the paths below it.
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

// inForce reads the changed paths at each instance.
func (r *Rig) inForce(ctx context.Context, changes []Change) map[string]map[string]Setting {
	result := make(map[string]map[string]Setting)
	if len(changes) == 0 {
		return result
	}
	for _, p := range r.instancesExcept(nil) {
		result[p.ID] = make(map[string]Setting)
		for _, c := range changes {
			if _, known := result[p.ID][c.Path]; known {
				continue
			}
			// A path that is unset at the instance is recorded as version 0.
			found, _ := r.setting(ctx, p, c.Path)
			result[p.ID][c.Path] = found
		}
	}
	return result
}

// waitInForce waits until every instance has at least the given version of a path.
func (r *Rig) waitInForce(ctx context.Context, path string, version uint64) error {
	for _, p := range r.instancesExcept(nil) {
		err := r.WaitUntil(ctx, "the change at "+p.ID, func() bool {
			found, ok := r.setting(ctx, p, path)
			return ok && found.Version >= version
		})
		if err != nil {
			return err
		}
	}
	return nil
}
