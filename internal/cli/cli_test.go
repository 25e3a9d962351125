package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/banyanglade/banyanglade/internal/settings"
)

// fakeServer returns the responses that a test sets and records the last request.
type fakeServer struct {
	*httptest.Server
	responses map[string]fakeResponse
	last      struct {
		method, uri, key string
		body             []byte
	}
}

type fakeResponse struct {
	status int
	body   any
}

func newFakeServer(t *testing.T) *fakeServer {
	s := &fakeServer{responses: make(map[string]fakeResponse)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.last.method, s.last.uri, s.last.key = r.Method, r.URL.RequestURI(), r.Header.Get("Authorization")
		s.last.body, _ = io.ReadAll(r.Body)
		response, ok := s.responses[r.Method+" "+r.URL.Path]
		if !ok {
			response = fakeResponse{http.StatusNotFound, map[string]any{"title": "There is no such resource"}}
		}
		w.WriteHeader(response.status)
		_ = json.NewEncoder(w).Encode(response.body)
	}))
	t.Cleanup(s.Close)
	t.Setenv("BANYANGLADE_SERVER", s.URL)
	t.Setenv("BANYANGLADE_KEY", "op-key")
	return s
}

// invoke runs a command line and returns the exit code and both outputs.
func invoke(arguments ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	p := Program{Version: "test", Out: &o, Err: &e}
	return p.Main(context.Background(), arguments), o.String(), e.String()
}

func mustContain(t *testing.T, text string, substrings ...string) {
	t.Helper()
	for _, want := range substrings {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in:\n%s", want, text)
		}
	}
}

func TestUsageErrorsExitWithTwo(t *testing.T) {
	t.Setenv("BANYANGLADE_SERVER", "")
	for _, line := range []string{"", "settings", "fly", "settings get --server ftp://x", "status --server 10.0.0.1:80",
		"settings set a/b", "settings set a/b 1 --remove --server http://x", "programs show", "run --shards many", "run --id A"} {
		if code, _, errOut := invoke(strings.Fields(line)...); code != exitUsage || !strings.Contains(errOut, "error: ") {
			t.Errorf("%q: exit %d: %s", line, code, errOut)
		}
	}
}

func TestHelpAndVersion(t *testing.T) {
	code, out, _ := invoke("settings", "set", "--help")
	if code != exitOK {
		t.Errorf("exit %d", code)
	}
	mustContain(t, out, "--base VERSION", "BANYANGLADE_SERVER")
	if _, out, _ := invoke("version"); out != "banyanglade test\n" {
		t.Errorf("got %q", out)
	}
}

func TestSettingsGetTableAndJSON(t *testing.T) {
	s := newFakeServer(t)
	s.responses["GET /v1/settings"] = fakeResponse{200, settings.Listing{Next: 4, Entries: []settings.Entry{
		{Path: "teams/a/priority", Value: json.RawMessage("3"), Version: 4, Author: "ada\x1b[2J"},
		{Path: "teams/a/weight", Version: 2, Removed: true},
	}}}
	code, out, _ := invoke("settings", "get", "teams/a")
	mustContain(t, out, "PATH", "teams/a/priority  3          4        ada [2J", "(removed)")
	if code != exitOK || s.last.uri != "/v1/settings?path=teams%2Fa" || s.last.key != "Bearer op-key" {
		t.Errorf("exit %d, request %+v", code, s.last)
	}
	_, out, _ = invoke("settings", "get", "--json")
	var list settings.Listing
	if err := json.Unmarshal([]byte(out), &list); err != nil || len(list.Entries) != 2 {
		t.Errorf("decode: %v: %s", err, out)
	}
}

func TestSettingsSetUsesCurrentVersionAsBase(t *testing.T) {
	s := newFakeServer(t)
	s.responses["GET /v1/settings"] = fakeResponse{200, settings.Listing{Entries: []settings.Entry{{Path: "teams/a/deadline", Version: 7}}}}
	s.responses["PUT /v1/settings"] = fakeResponse{200, map[string]any{"status": "accepted", "version": 9}}
	code, out, errOut := invoke("settings", "set", "teams/a/deadline", "30s", "--change-id", "c1")
	if code != exitOK || !strings.Contains(out, "accepted: version 9") {
		t.Fatalf("exit %d: %s%s", code, out, errOut)
	}
	if want := `{"changes":[{"path":"teams/a/deadline","base":7,"value":"30s","change_id":"c1"}]}`; string(s.last.body) != want {
		t.Errorf("sent %s", s.last.body)
	}
	_, _, _ = invoke("settings", "set", "teams/a/deadline", "--remove", "--base", "3", "--change-id", "c2")
	if want := `{"changes":[{"path":"teams/a/deadline","base":3,"value":null,"change_id":"c2"}]}`; string(s.last.body) != want {
		t.Errorf("sent %s", s.last.body)
	}
}

func TestProblemIsOneLineAndExitOne(t *testing.T) {
	s := newFakeServer(t)
	s.responses["PUT /v1/settings"] = fakeResponse{409, map[string]any{
		"title": "Another change came first", "detail": "lost to version 3 by \"bob\"\n", "path": "teams/a/priority",
		"expected": "base 3", "outcome": "not-run", "instance": "r-1",
	}}
	code, out, errOut := invoke("settings", "set", "teams/a/priority", "1", "--base", "2")
	want := "error: 409 Another change came first: teams/a/priority: lost to version 3 by \"bob\" ; expected base 3 (request r-1)\n"
	if code != exitFailed || out != "" || errOut != want {
		t.Errorf("exit %d, out %q, err %q", code, out, errOut)
	}
	s.responses["PUT /v1/settings"] = fakeResponse{504, map[string]any{"title": "Not read back", "outcome": "unknown"}}
	_, _, errOut = invoke("settings", "set", "teams/a/priority", "1", "--base", "2", "--change-id", "c1")
	mustContain(t, errOut, "unknown whether change c1 came into force")
	s.responses["GET /v1/programs/x"] = fakeResponse{502, "<html>\nbad gateway"}
	_, _, errOut = invoke("programs", "show", "x")
	mustContain(t, errOut, "error: 502 Bad Gateway", "bad gateway")
}

func TestUnreachableServerFails(t *testing.T) {
	s := newFakeServer(t)
	s.Close()
	code, _, errOut := invoke("dump")
	if code != exitFailed || strings.Count(errOut, "\n") != 1 || strings.Contains(errOut, "op-key") {
		t.Errorf("exit %d: %s", code, errOut)
	}
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestSettingsCheckIsOfflineAndReportsLines(t *testing.T) {
	name := writeFile(t, "teams:\n  a:\n    priority: 1\n    wait: 3\n")
	code, _, errOut := invoke("settings", "check", name)
	mustContain(t, errOut, name+": line 4: teams/a/wait: unknown key")
	if code != exitFailed {
		t.Errorf("exit %d", code)
	}
	code, out, _ := invoke("settings", "check", "../../examples/lakeshore/settings.yaml")
	if code != exitOK || !strings.Contains(out, "no errors") {
		t.Errorf("exit %d: %s", code, out)
	}
}

func TestPublishSendsOnlyWhatDiffers(t *testing.T) {
	s := newFakeServer(t)
	hash := settings.KeyHash("secret")
	name := writeFile(t, fmt.Sprintf("teams:\n  a:\n    priority: 1\n    weight: 2\n    credentials:\n      ada: {role: caller, sha256: %s}\n", hash))
	value := fmt.Sprintf(`{"role":"caller","sha256":"%s"}`, hash)
	s.responses["GET /v1/settings"] = fakeResponse{200, settings.Listing{Entries: []settings.Entry{
		{Path: "teams/a/credentials/ada", Version: 2, Digest: settings.ValueDigest([]byte(value))},
		{Path: "teams/a/priority", Version: 3, Value: json.RawMessage("5"), Digest: settings.ValueDigest([]byte("5"))},
		{Path: "teams/a/retries", Version: 4, Value: json.RawMessage("1")},
	}}}
	s.responses["PUT /v1/settings"] = fakeResponse{200, map[string]any{"status": "accepted", "version": 9}}
	code, out, _ := invoke("settings", "publish", "--dry-run", name)
	mustContain(t, out, "change  teams/a/priority  1", "add     teams/a/weight    2",
		"2 to change, 1 up to date, 1 in the tree but not in the file")
	if code != exitOK || s.last.method != http.MethodGet || s.last.uri != "/v1/settings?path=teams%2Fa" {
		t.Errorf("exit %d, request %+v", code, s.last)
	}
	code, out, _ = invoke("settings", "publish", name)
	mustContain(t, out, "accepted: version 9 of 2 path(s)")
	mustContain(t, string(s.last.body), `"path":"teams/a/priority","base":3,"value":1`, `"path":"teams/a/weight","base":0`)
	if code != exitOK || strings.Contains(out, hash) || bytes.Contains(s.last.body, []byte(hash)) {
		t.Errorf("exit %d: %s, sent %s", code, out, s.last.body)
	}
}

func TestAppliedReportsInstancesBehind(t *testing.T) {
	s := newFakeServer(t)
	s.responses["GET /v1/settings/applied"] = fakeResponse{200, map[string]any{
		"applied": map[string]int{"a": 5, "b": 3}, "missing": []string{"c"}}}
	_, out, _ := invoke("settings", "applied")
	mustContain(t, out, "a         5        newest", "b         3        2 behind", "c         -        no answer")
}

func TestProgramsListShowCancel(t *testing.T) {
	s := newFakeServer(t)
	program := map[string]any{"id": "p1", "team": "a", "state": "active", "tokens_spent": 5, "tokens_held": 2, "token_limit": 10}
	s.responses["GET /v1/programs"] = fakeResponse{200, map[string]any{"programs": []any{program}, "missing": []string{"i9"}}}
	s.responses["DELETE /v1/programs/p1"] = fakeResponse{200, program}
	_, out, errOut := invoke("programs", "list", "--team", "a", "--limit", "7")
	mustContain(t, out, "p1", "5+2 held of 10")
	mustContain(t, errOut, "no answer from i9")
	if s.last.uri != "/v1/programs?limit=7&team=a" {
		t.Errorf("requested %s", s.last.uri)
	}
	if code, out, _ := invoke("programs", "cancel", "p1"); code != exitOK || !strings.Contains(out, "active") || s.last.method != http.MethodDelete {
		t.Errorf("exit %d: %s", code, out)
	}
}

func TestStatusExitCodeFollowsReadiness(t *testing.T) {
	s := newFakeServer(t)
	s.responses["GET /healthz"] = fakeResponse{200, map[string]any{"state": "starting"}}
	s.responses["GET /readyz"] = fakeResponse{503, map[string]any{"state": "starting", "detail": "catching up"}}
	code, out, _ := invoke("status")
	mustContain(t, out, "503", "catching up")
	if code != exitFailed {
		t.Errorf("exit %d", code)
	}
	s.responses["GET /readyz"] = fakeResponse{200, map[string]any{"state": "ready"}}
	if code, _, _ := invoke("status"); code != exitOK {
		t.Errorf("exit %d", code)
	}
}
