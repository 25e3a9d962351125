package httpapi

import (
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const operatorsHeading = "\n## Routes for operators"

// shellExamples joins the shell examples of a part of docs/API.md to one script.
func shellExamples(text string) string {
	var script strings.Builder
	for _, block := range regexp.MustCompile("(?s)```sh\n(.*?)```").FindAllStringSubmatch(text, -1) {
		script.WriteString(block[1])
	}
	return script.String()
}

func TestAPIDocExamplesRun(t *testing.T) {
	text, err := os.ReadFile("../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	callers, operators, found := strings.Cut(string(text), operatorsHeading)
	if !found {
		t.Fatalf("heading %q not found", operatorsHeading)
	}
	f := newFixture(t, nil)
	f.core.set(func(c *fakeCore) { c.reply = replyToAll })
	for key, part := range map[string]string{callerKey: callers, rootKey: operators} {
		command := exec.Command("bash", "-euo", "pipefail", "-c", shellExamples(part))
		command.Env = append(os.Environ(), "SERVER="+f.url, "KEY="+key)
		if output, err := command.CombinedOutput(); err != nil {
			t.Errorf("%v: %s", err, output)
		}
	}
}

// replyToAll replies to every kind of event with success.
func replyToAll(event structs.Event) []structs.Command {
	done := structs.Outcome{Kind: structs.OutcomeAnswered, Status: http.StatusOK, Body: []byte("filed\n"), Text: "yes", Finish: "stop"}
	switch e := event.(type) {
	case structs.CallerSubmit:
		return []structs.Command{structs.ReplyOutcome{Request: e.Request, Outcome: done}}
	case structs.CallerProgram:
		return []structs.Command{structs.ReplyProgram{Request: e.Request, Outcome: done, Info: structs.ProgramInfo{ID: e.Program}}}
	case structs.CallerPrograms:
		return []structs.Command{structs.ReplyPrograms{Request: e.Request}}
	case structs.SettingsPropose:
		return []structs.Command{structs.ReplySettings{Request: e.Request, Result: structs.SettingsResult{Status: structs.SettingsAccepted}}}
	case structs.SettingsApplied:
		return []structs.Command{structs.ReplyApplied{Request: e.Request}}
	}
	return nil
}

// TestAPIDocListsEveryHeaderAndReason checks docs/API.md against the code.
func TestAPIDocListsEveryHeaderAndReason(t *testing.T) {
	text, err := os.ReadFile("../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	for name := range requestHeaders {
		if !strings.Contains(string(text), "`"+name+"`") {
			t.Errorf("header %s is not documented", name)
		}
	}
	for reason, kind := range problemKinds {
		row := regexp.MustCompile(`(?m)^\| ` + strconv.Itoa(kind.status) + ` \|[^|]*` + "`" + string(reason) + "`")
		if !row.MatchString(string(text)) {
			t.Errorf("reason %s with status %d is not documented", reason, kind.status)
		}
	}
}
