package httpapi

import (
	"net/http"
	"strings"
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func TestAuthentication(t *testing.T) {
	f := newFixture(t, nil)
	f.replyWith(answered)
	for _, header := range []string{"", "Bearer ", "Bearer wrong", "Basic " + callerKey, callerKey,
		"Bearer nobody-key", "Bearer " + strings.Repeat("k", maxBearerLength+1)} {
		response, body := f.do(http.MethodPost, chatRoute, chatBody, "Authorization", header)
		checkProblem(t, response, body, structs.ReasonUnauthorized, http.StatusUnauthorized, outcomeNotRun)
		if response.Header.Get("WWW-Authenticate") == "" {
			t.Error("no WWW-Authenticate header")
		}
	}
	f.noEvents()
	response, _ := f.do(http.MethodPost, chatRoute, chatBody, "Authorization", "bearer "+callerKey)
	if response.StatusCode != http.StatusOK {
		t.Errorf("lower-case scheme: status %d", response.StatusCode)
	}
}

func TestTeamOfCall(t *testing.T) {
	f := newFixture(t, nil)
	f.replyWith(answered)
	cases := []struct {
		key, team string
		reason    structs.Reason
		status    int
	}{
		{callerKey, "", "", 200},
		{callerKey, "lakeshore/status", "", 200},
		{callerKey, "lakeshore2", structs.ReasonForbidden, 403},
		{callerKey, "partvedo", structs.ReasonForbidden, 403},
		{callerKey, "lakeshore/../partvedo", structs.ReasonInvalid, 400},
		{callerKey, "lakeshore//x", structs.ReasonInvalid, 400},
		{rootKey, "", structs.ReasonInvalid, 400},
		{rootKey, "partvedo", "", 200},
	}
	for _, c := range cases {
		response, body := f.do(http.MethodPost, chatRoute, chatBody, "Authorization", "Bearer "+c.key, HeaderTeam, c.team)
		if c.status != http.StatusOK {
			checkProblem(t, response, body, c.reason, c.status, outcomeNotRun)
			f.noEvents()
			continue
		}
		want := structs.Team(c.team)
		if want == "" {
			want = testTeam
		}
		if got := f.submitted().Call.Team; response.StatusCode != http.StatusOK || got != want {
			t.Errorf("%+v: status %d, team %q", c, response.StatusCode, got)
		}
	}
}

func TestOperatorRoutesNeedOperators(t *testing.T) {
	f := newFixture(t, nil)
	routes := []struct {
		method, path string
		root         bool
	}{
		{http.MethodGet, "/v1/programs", false},
		{http.MethodGet, "/v1/settings?path=teams/lakeshore", false},
		{http.MethodPut, "/v1/settings", false},
		{http.MethodGet, "/v1/settings/history?path=teams/lakeshore", false},
		{http.MethodGet, "/v1/settings/applied", false},
		{http.MethodGet, "/debug/state", true},
		{http.MethodPost, "/v1/drain", true},
	}
	for _, route := range routes {
		response, body := f.do(route.method, route.path, "")
		checkProblem(t, response, body, structs.ReasonForbidden, http.StatusForbidden, outcomeNotRun)
		response, body = f.do(route.method, route.path, "", "Authorization", "Bearer wrong")
		checkProblem(t, response, body, structs.ReasonUnauthorized, http.StatusUnauthorized, outcomeNotRun)
		if !route.root {
			continue
		}
		response, body = f.do(route.method, route.path, "", "Authorization", "Bearer "+operatorKey)
		checkProblem(t, response, body, structs.ReasonForbidden, http.StatusForbidden, outcomeNotRun)
	}
	f.noEvents()
}

func TestStartingInstanceDoesNotRejectUnknownKeys(t *testing.T) {
	f := newFixture(t, nil)
	f.core.set(func(c *fakeCore) { c.health = Health{State: HealthStarting, Detail: "reading the settings"} })
	for _, key := range []string{"not-known-yet", callerKey, rootKey} {
		response, body := f.do(http.MethodPost, chatRoute, chatBody, "Authorization", "Bearer "+key)
		problem := checkProblem(t, response, body, structs.ReasonStarting, http.StatusServiceUnavailable, outcomeNotRun)
		if problem.RetryAfterMS == 0 {
			t.Error("no Retry-After header")
		}
	}
	response, _ := f.do(http.MethodGet, "/debug/state", "", "Authorization", "Bearer "+rootKey)
	if response.StatusCode != http.StatusOK {
		t.Errorf("dump while starting: status %d", response.StatusCode)
	}
	f.noEvents()
}

func TestDrainingInstancePassesCallsToCore(t *testing.T) {
	f := newFixture(t, nil)
	f.core.set(func(c *fakeCore) { c.health = Health{State: HealthDraining} })
	f.replyWith(answered)
	response, _ := f.do(http.MethodPost, chatRoute, chatBody)
	ready, _ := f.do(http.MethodGet, "/readyz", "")
	if response.StatusCode != http.StatusOK || ready.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("call: status %d, readiness: status %d", response.StatusCode, ready.StatusCode)
	}
}

func TestLogsContainNoSecrets(t *testing.T) {
	f := newFixture(t, nil)
	f.replyWith(answered)
	secrets := []string{callerKey, "idempotency-secret", "body-secret", "query-secret", "wrong-secret"}
	body := strings.Replace(chatBody, "hello", "body-secret", 1)
	_, _ = f.do(http.MethodPost, chatRoute, body, HeaderIdempotencyKey, "idempotency-secret")
	_, _ = f.do(http.MethodPost, chatRoute, body+"{")
	_, _ = f.do(http.MethodPost, chatRoute, body, "Authorization", "Bearer wrong-secret")
	_, _ = f.do(http.MethodGet, "/v1/services/filing/x?token=query-secret", "")
	f.core.set(func(c *fakeCore) { c.reply = func(structs.Event) []structs.Command { panic("broken") } })
	_, _ = f.do(http.MethodPost, chatRoute, body)
	logs := f.logs.String()
	for _, secret := range secrets {
		if strings.Contains(logs, secret) {
			t.Errorf("secret %q found in the logs", secret)
		}
	}
	if got := strings.Count(logs, `"msg":"request"`); got != 5 {
		t.Errorf("got %d access log lines, want 5:\n%s", got, logs)
	}
}
