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

// examples gives the shell examples of a part of docs/API.md as one script.
func examples(text string) string {
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
		t.Fatalf("no heading %q", operatorsHeading)
	}
	f := newFixture(t, nil)
	f.core.set(func(c *fakeCore) { c.answer = answerAll })
	for key, part := range map[string]string{callerKey: callers, rootKey: operators} {
		command := exec.Command("bash", "-euo", "pipefail", "-c", examples(part))
		command.Env = append(os.Environ(), "SERVER="+f.url, "KEY="+key)
		if output, err := command.CombinedOutput(); err != nil {
			t.Errorf("%v: %s", err, output)
		}
	}
}

// answerAll answers every kind of event as done.
func answerAll(event structs.Event) []structs.Command {
	done := structs.Outcome{Kind: structs.OutcomeAnswered, Status: http.StatusOK, Body: []byte("filed\n"), Text: "yes", Finish: "stop"}
	switch e := event.(type) {
	case structs.CallerSubmit:
		return []structs.Command{structs.ReplyEnd{Request: e.Request, Outcome: done}}
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

// TestAPIDocListsEveryHeaderAndReason checks that the document keeps up with
// the code.
func TestAPIDocListsEveryHeaderAndReason(t *testing.T) {
	text, err := os.ReadFile("../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	for name := range requestHeaders {
		if !strings.Contains(string(text), "`"+name+"`") {
			t.Errorf("header %s is not described", name)
		}
	}
	for reason, kind := range problemKinds {
		row := regexp.MustCompile(`(?m)^\| ` + strconv.Itoa(kind.status) + ` \|[^|]*` + "`" + string(reason) + "`")
		if !row.MatchString(string(text)) {
			t.Errorf("reason %s with status %d is not described", reason, kind.status)
		}
	}
}
