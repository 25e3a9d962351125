package httpapi

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// replyToPrograms makes the core confirm every operation on programs.
func replyToPrograms(f *fixture) {
	f.core.set(func(c *fakeCore) {
		c.reply = func(event structs.Event) []structs.Command {
			switch e := event.(type) {
			case structs.CallerProgram:
				return []structs.Command{structs.ReplyProgram{
					Request: e.Request, Outcome: structs.Outcome{Kind: structs.OutcomeAnswered},
					Info: structs.ProgramInfo{ID: e.Program, Team: e.Team, State: structs.ProgramActive},
				}}
			case structs.CallerPrograms:
				return []structs.Command{structs.ReplyPrograms{
					Request: e.Request, Programs: []structs.ProgramInfo{{ID: "p"}}, Missing: []structs.InstanceID{"erie-1"},
				}}
			}
			return nil
		}
	})
}

func TestProgramOpenShowClose(t *testing.T) {
	f := newFixture(t, nil)
	replyToPrograms(f)
	response, body := f.do(http.MethodPost, "/v1/programs", `{"team":"lakeshore/clearance"}`)
	var view programView
	if err := json.Unmarshal([]byte(body), &view); err != nil || response.StatusCode != http.StatusCreated {
		t.Fatalf("status %d: %s", response.StatusCode, body)
	}
	opened := nextEvent[structs.CallerProgram](f)
	if opened.Op != structs.ProgramOpen || opened.Program != view.ID || opened.Team != "lakeshore/clearance" {
		t.Errorf("event %+v", opened)
	}
	if region, _, err := view.ID.Parse(); err != nil || region != testRegion {
		t.Errorf("id %q: %v", view.ID, err)
	}
	if response.Header.Get(HeaderProgram) != string(view.ID) || response.Header.Get("Location") != programsRoute+string(view.ID) {
		t.Errorf("headers %v", response.Header)
	}
	ops := []struct {
		method, key string
		op          structs.ProgramOp
	}{
		{http.MethodGet, callerKey, structs.ProgramShow},
		{http.MethodDelete, callerKey, structs.ProgramClose},
		{http.MethodDelete, operatorKey, structs.ProgramCancel},
	}
	for _, want := range ops {
		response, body := f.do(want.method, programsRoute+string(view.ID), "", "Authorization", "Bearer "+want.key)
		event := nextEvent[structs.CallerProgram](f)
		if response.StatusCode != http.StatusOK || event.Op != want.op || event.Program != view.ID || event.Team != testTeam {
			t.Errorf("status %d, event %+v: %s", response.StatusCode, event, body)
		}
	}
}

func TestProgramRefusals(t *testing.T) {
	f := newFixture(t, nil)
	replyToPrograms(f)
	cases := []struct {
		method, path, body string
		reason             structs.Reason
		status             int
	}{
		{http.MethodPost, "/v1/programs", `{"team":"partvedo"}`, structs.ReasonForbidden, 403},
		{http.MethodPost, "/v1/programs", `{"team":"lakeshore/../partvedo"}`, structs.ReasonInvalid, 400},
		{http.MethodPost, "/v1/programs", `{"colour":1}`, structs.ReasonInvalid, 400},
		{http.MethodPost, "/v1/programs", `{} {}`, structs.ReasonInvalid, 400},
		{http.MethodGet, programsRoute + "nothing", "", structs.ReasonUnknownProgram, 404},
		{http.MethodGet, programsRoute + "great-lakes-01ARZ3NDEKTSV4RRFFQ69G5FAV", "", structs.ReasonUnknownProgram, 404},
		{http.MethodGet, "/v1/programs", "", structs.ReasonForbidden, 403},
	}
	for _, c := range cases {
		response, body := f.do(c.method, c.path, c.body)
		checkProblem(t, response, body, c.reason, c.status, outcomeNotRun)
	}
	f.noEvents()
}

func TestKeyedOpenNamesSameProgramOnAllInstances(t *testing.T) {
	first, second := newFixture(t, nil), newFixture(t, func(c *Config) { c.Instance = "erie-1" })
	key := ulid.Make().String()
	var ids []structs.ProgramID
	for _, f := range []*fixture{first, second, second} {
		replyToPrograms(f)
		_, _ = f.do(http.MethodPost, "/v1/programs", "", HeaderIdempotencyKey, key)
		ids = append(ids, nextEvent[structs.CallerProgram](f).Program)
	}
	if ids[0] != ids[1] || ids[1] != ids[2] {
		t.Errorf("ids %q", ids)
	}
}

func TestProgramsList(t *testing.T) {
	f := newFixture(t, nil)
	replyToPrograms(f)
	response, body := f.do(http.MethodGet, "/v1/programs?team=lakeshore/clearance&limit=5", "", "Authorization", "Bearer "+operatorKey)
	event := nextEvent[structs.CallerPrograms](f)
	if response.StatusCode != http.StatusOK || event.Team != "lakeshore/clearance" || event.Limit != 5 {
		t.Fatalf("status %d, event %+v", response.StatusCode, event)
	}
	var list programList
	if err := json.Unmarshal([]byte(body), &list); err != nil || len(list.Programs) != 1 || list.Missing[0] != "erie-1" {
		t.Errorf("list %s", body)
	}
	for _, query := range []string{"?limit=0", "?limit=x", "?limit=10001", "?team=a//b"} {
		response, body := f.do(http.MethodGet, "/v1/programs"+query, "", "Authorization", "Bearer "+operatorKey)
		checkProblem(t, response, body, structs.ReasonInvalid, http.StatusBadRequest, outcomeNotRun)
	}
}

func TestKeyedProgramID(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 31, 0, 0, time.UTC)
	const period = 30 * time.Minute
	derive := func(team structs.Team, key string, at time.Time, exact bool) (structs.ProgramID, *Problem) {
		return keyedProgramID(testRegion, team, purposeSingle, key, at, period, exact)
	}
	dated := ulid.MustNew(ulid.Timestamp(now), ulid.DefaultEntropy()).String()
	uuid := "019cf2a5-1e00-7abc-8def-0123456789ab"
	for _, key := range []string{dated, uuid} {
		one, problem := derive(testTeam, key, now.Add(time.Hour*24*30), true)
		if problem != nil {
			t.Fatal(problem.Detail)
		}
		two, _ := derive(testTeam, key, now.Add(time.Hour*24*60), true)
		other, _ := derive("partvedo", key, now.Add(time.Hour*24*30), true)
		if one != two || one == other {
			t.Errorf("%s: %s, %s, other team %s", key, one, two, other)
		}
	}
	if _, problem := derive(testTeam, "any-key", now, true); problem == nil {
		t.Error("undated key accepted where a dated one is required")
	}
	if _, problem := derive(testTeam, dated, now.Add(-maxKeyClockSkew-time.Second), true); problem == nil {
		t.Error("key with a time in the future accepted")
	}
	one, _ := derive(testTeam, "any-key", now, false)
	same, _ := derive(testTeam, "any-key", now.Add(28*time.Minute), false)
	next, _ := derive(testTeam, "any-key", now.Add(29*time.Minute), false)
	if one != same || one == next {
		t.Errorf("undated: %s, %s, next period %s", one, same, next)
	}
}
