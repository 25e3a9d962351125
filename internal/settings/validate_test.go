package settings

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func TestValidateReportsPathValueAndExpected(t *testing.T) {
	hash := strings.Repeat("a", 64)
	cases := []struct{ path, value, want string }{
		{"teams/a/priority", `-1`, "whole number from 0 to 100"},
		{"teams/a/priority", `"1"`, "whole number"},
		{"teams/a/priority", `1.5`, "whole number"},
		{"teams/a/priority", `1 2`, "not a JSON value"},
		{"teams/a/weight", `0`, "a number from 0.01"},
		{"teams/a/deadline", `30`, `such as "30s"`},
		{"teams/a/dead_line", `"30s"`, `did you mean "deadline"?`},
		{"services/s/rules/order", `"fifo"`, `one of "fcfs", "las"`},
		{"services/s/rules/odrer", `"las"`, `did you mean "rules/order"?`},
		{"services/s/orders/model", `""`, "a printable text of 1 to 200 bytes"},
		{"services/s/orders/model", `"a\u0007b"`, "a printable text"},
		{"services/s/orders/parallel", `0`, "a whole number from 1"},
		{"services/s/orders/modle", `"m"`, `did you mean "orders/model"?`},
		{"services/s/ask_by_key", `1`, "true or false"},
		{"services/s", `1`, "services/<name>/<key>"},
		{"Teams/a/priority", `1`, "segment"},
		{"teams/a//priority", `1`, "segment"},
		{"pools/a", `1`, "starts with"},
		{"teams/priority/weight", `1`, "cannot name a team"},
		{"teams/credentials/root", `{"role":"operator","sha256":"` + hash + `"}`, "root has no credentials"},
		{"teams/a/credentials/x", `{"role":"admin","sha256":"` + hash + `"}`, `"caller" or "operator"`},
		{"teams/a/credentials/x", `{"role":"caller","sha256":"secret"}`, "64 hex digits"},
		{"teams/a/priority", `"` + strings.Repeat("9", MaxValueBytes) + `"`, "value longer"},
		{"teams/" + strings.Repeat("a/", 9) + "priority", `1`, "at most 8 segments"},
	}
	for _, c := range cases {
		found := Validate([]structs.SettingChange{{Path: c.path, Value: []byte(c.value), ChangeID: "id"}})
		if len(found) != 1 || !strings.Contains(found[0].Error(), c.want) {
			t.Errorf("%s = %s: got %v, want %q", c.path, truncate(c.value), found, c.want)
			continue
		}
		if strings.Contains(found[0].Error(), "secret") || strings.Contains(found[0].Error(), hash) {
			t.Errorf("%s: message shows the credential: %v", c.path, found[0])
		}
	}
}

func TestValidateNeedsChangeIDAndDistinctPaths(t *testing.T) {
	one := structs.SettingChange{Path: "teams/a/priority", Value: []byte("1"), ChangeID: "id"}
	if found := Validate([]structs.SettingChange{one, one}); len(found) != 1 {
		t.Errorf("a path changed twice: %v", found)
	}
	one.ChangeID = ""
	if found := Validate([]structs.SettingChange{one}); len(found) != 1 {
		t.Errorf("no change id: %v", found)
	}
	if found := Validate(nil); len(found) != 1 {
		t.Errorf("no changes: %v", found)
	}
}

func TestValidateKeepsAKindForEachService(t *testing.T) {
	tree := NewTree()
	slots := structs.SettingChange{Path: "services/s/slots", Value: []byte("4"), ChangeID: "id"}
	kind := structs.SettingChange{Path: "services/s/kind", Value: []byte(`"tool"`), ChangeID: "id"}
	if found := tree.Validate([]structs.SettingChange{slots}); len(found) != 1 {
		t.Errorf("service without a kind: %v", found)
	}
	if found := tree.Validate([]structs.SettingChange{slots, kind}); len(found) != 0 {
		t.Errorf("service with a kind: %v", found)
	}
}

// Every field of the shared structs must be settable.
func TestSchemaCoversEveryField(t *testing.T) {
	if got, want := len(policyFields.fields), 16; got != want {
		t.Errorf("%d policy keys, want %d", got, want)
	}
	cover := func(v any, skip int) int {
		data, _ := json.Marshal(v)
		var fields map[string]any
		_ = json.Unmarshal(data, &fields)
		return len(fields) - skip
	}
	if got, want := len(policyFields.fields), cover(structs.Policy{}, 0); got != want {
		t.Errorf("%d policy keys for %d fields", got, want)
	}
	service := cover(structs.Service{}, 3) + cover(structs.Rules{}, 0) + cover(structs.Orders{}, 0)
	if got, want := len(serviceFields.fields), service; got != want {
		t.Errorf("%d service keys for %d fields", got, want)
	}
}

func TestMayChangeOnlyTheOwnSubtree(t *testing.T) {
	cases := []struct {
		team structs.Team
		path string
		want bool
	}{
		{"lakeshore", "teams/lakeshore/priority", true},
		{"lakeshore", "teams/lakeshore/filing/priority", true},
		{"lakeshore", "teams/lakeshore/filing/credentials/x", true},
		{"lakeshore/filing", "teams/lakeshore/priority", false},
		{"lakeshore", "teams/lakeshoremore/priority", false},
		{"lakeshore", "teams/priority", false},
		{"lakeshore", "services/filing-desk/slots", false},
		{"", "services/filing-desk/slots", true},
		{"", "teams/priority", true},
	}
	for _, c := range cases {
		if got := MayChange(c.team, c.path); got != c.want {
			t.Errorf("MayChange(%q, %q) = %v", c.team, c.path, got)
		}
	}
}

func TestAuthenticateAndNoSecretShown(t *testing.T) {
	hash := KeyHash("s3cret-key")
	value := fmt.Sprintf(`{"role":"operator","sha256":"%s"}`, hash)
	tree := treeOf(t, map[string]string{"teams/lakeshore/credentials/ada": value})
	credential, ok := tree.Authenticate("s3cret-key")
	if !ok || credential != (Credential{Name: "ada", Team: "lakeshore", Role: RoleOperator}) {
		t.Fatalf("got %+v, %v", credential, ok)
	}
	if _, ok := tree.Authenticate("other"); ok {
		t.Fatal("wrong key accepted")
	}
	shown := fmt.Sprintf("%s %s", entries(tree)[0].Value, history(tree, "teams/lakeshore/credentials/ada")[0].Value)
	if strings.Contains(shown, hash) || !strings.Contains(shown, hash[:8]+"...") {
		t.Fatalf("listing: %s", shown)
	}
}
