package httpapi

import (
	"net/http"
	"reflect"
	"strings"
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// replyToSettings makes the core reply to each proposal with result.
func replyToSettings(f *fixture, result structs.SettingsResult) {
	f.core.set(func(c *fakeCore) {
		c.reply = func(event structs.Event) []structs.Command {
			switch e := event.(type) {
			case structs.SettingsPropose:
				return []structs.Command{structs.ReplySettings{Request: e.Request, Result: result}}
			case structs.SettingsApplied:
				return []structs.Command{structs.ReplyApplied{
					Request: e.Request, Applied: map[structs.InstanceID]uint64{"erie-1": 9},
				}}
			}
			return nil
		}
	})
}

func doAsOperator(f *fixture, method, path, body string) (*http.Response, string) {
	f.t.Helper()
	return f.do(method, path, body, "Authorization", "Bearer "+operatorKey)
}

func TestSettingsAccepted(t *testing.T) {
	f := newFixture(t, nil)
	replyToSettings(f, structs.SettingsResult{Status: structs.SettingsAccepted, Version: 4, Offset: 17})
	response, body := doAsOperator(f, http.MethodPut, "/v1/settings", `{"changes":[
		{"path":"teams/lakeshore/clearance/priority","base":3,"value":1,"change_id":"c1"},
		{"path":"teams/lakeshore/weight","value":null}]}`)
	if response.StatusCode != http.StatusOK || !strings.Contains(body, `"version":4,"offset":17`) {
		t.Fatalf("status %d: %s", response.StatusCode, body)
	}
	changes := nextEvent[structs.SettingsPropose](f).Changes
	want := structs.SettingChange{
		Path: "teams/lakeshore/clearance/priority", Base: 3, Value: []byte("1"),
		ChangeID: "c1", Author: "lakeshore operator",
	}
	if len(changes) != 2 || !reflect.DeepEqual(changes[0], want) {
		t.Errorf("changes %+v", changes)
	}
	if changes[1].Value != nil || changes[1].ChangeID == "" || !strings.Contains(body, changes[1].ChangeID) {
		t.Errorf("removal %+v: %s", changes[1], body)
	}
}

func TestSettingsNotAccepted(t *testing.T) {
	f := newFixture(t, nil)
	cases := []struct {
		status  structs.SettingsStatus
		reason  structs.Reason
		code    int
		outcome string
	}{
		{structs.SettingsLost, ReasonSettingsLost, 409, outcomeNotRun},
		{structs.SettingsInvalid, structs.ReasonInvalid, 400, outcomeNotRun},
		{structs.SettingsNotPublished, structs.ReasonLogUnavailable, 503, outcomeNotRun},
		{structs.SettingsUnknown, ReasonSettingsUnknown, 504, outcomeUnknown},
		{"", ReasonSettingsUnknown, 504, outcomeUnknown},
	}
	for _, c := range cases {
		replyToSettings(f, structs.SettingsResult{
			Status: c.status, Path: "teams/lakeshore/weight", Expected: "a number", Version: 8, Winner: "bela",
		})
		response, body := doAsOperator(f, http.MethodPut, "/v1/settings",
			`{"changes":[{"path":"teams/lakeshore/weight","value":-1}]}`)
		problem := checkProblem(t, response, body, c.reason, c.code, c.outcome)
		if problem.Path != "teams/lakeshore/weight" || problem.Expected != "a number" || problem.Version != 8 || problem.Winner != "bela" {
			t.Errorf("problem %s", body)
		}
	}
}

func TestSettingsAuthorization(t *testing.T) {
	f := newFixture(t, nil)
	forbidden := []string{"teams/partvedo/weight", "teams/lakeshore2/weight", "services/filing/kind", "teams", "lakeshore"}
	malformed := []string{"teams/lakeshore/../partvedo/weight", "teams/lakeshore//weight", "/teams/lakeshore", "teams/lakeshore/a%20b", strings.Repeat("a", 600)}
	for _, path := range append(append([]string{""}, forbidden...), malformed...) {
		reason, status := structs.ReasonForbidden, http.StatusForbidden
		for _, bad := range malformed {
			if path == bad {
				reason, status = structs.ReasonInvalid, http.StatusBadRequest
			}
		}
		for _, route := range []string{"/v1/settings?path=", "/v1/settings/history?path="} {
			response, body := doAsOperator(f, http.MethodGet, route+path, "")
			checkProblem(t, response, body, reason, status, outcomeNotRun)
		}
	}
	for _, path := range forbidden {
		response, body := doAsOperator(f, http.MethodPut, "/v1/settings",
			`{"changes":[{"path":"teams/lakeshore/weight","value":1},{"path":"`+path+`","value":1}]}`)
		checkProblem(t, response, body, structs.ReasonForbidden, http.StatusForbidden, outcomeNotRun)
	}
	f.noEvents()
	for _, path := range []string{"teams/lakeshore", "teams/lakeshore/clearance/priority"} {
		response, body := doAsOperator(f, http.MethodGet, "/v1/settings?path="+path, "")
		if response.StatusCode != http.StatusOK || !strings.Contains(body, path) {
			t.Errorf("%s: %d %s", path, response.StatusCode, body)
		}
	}
	response, body := doAsOperator(f, http.MethodGet, "/v1/settings?path=teams/lakeshore/absent", "")
	checkProblem(t, response, body, ReasonNotFound, http.StatusNotFound, outcomeNotRun)
	response, _ = f.do(http.MethodGet, "/v1/settings", "", "Authorization", "Bearer "+rootKey)
	if response.StatusCode != http.StatusOK {
		t.Errorf("whole tree for root: status %d", response.StatusCode)
	}
}

func TestMalformedChanges(t *testing.T) {
	f := newFixture(t, nil)
	for _, body := range []string{
		"", "{}", "[]", `{"changes":[]}`, `{"changes":[{}]}`, `{"changes":[{"path":"teams/lakeshore/weight","colour":1}]}`,
		`{"changes":[{"path":"teams/lakeshore/weight","base":-1}]}`,
		`{"changes":[{"path":"teams/lakeshore/weight","change_id":"a\nb"}]}`,
		`{"changes":[` + strings.Repeat(`{"path":"teams/lakeshore/w"},`, maxChanges) + `{"path":"teams/lakeshore/w"}]}`,
		`{"changes":[{"path":"teams/lakeshore/weight","value":1}]} {}`,
	} {
		response, text := doAsOperator(f, http.MethodPut, "/v1/settings", body)
		checkProblem(t, response, text, structs.ReasonInvalid, http.StatusBadRequest, outcomeNotRun)
	}
	f.noEvents()
}

func TestSettingsAppliedAndDrain(t *testing.T) {
	f := newFixture(t, nil)
	replyToSettings(f, structs.SettingsResult{})
	response, body := doAsOperator(f, http.MethodGet, "/v1/settings/applied", "")
	if response.StatusCode != http.StatusOK || body != `{"applied":{"erie-1":9},"missing":[]}` {
		t.Errorf("status %d: %s", response.StatusCode, body)
	}
	response, _ = f.do(http.MethodPost, "/v1/drain", "", "Authorization", "Bearer "+rootKey)
	if response.StatusCode != http.StatusAccepted || f.core.drains != 1 {
		t.Errorf("drain: status %d, %d drains", response.StatusCode, f.core.drains)
	}
}
