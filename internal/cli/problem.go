package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// ProblemError is a refusal by an instance, from a problem document of RFC 9457.
type ProblemError struct {
	Status   int    `json:"status"`
	Title    string `json:"title"`
	Detail   string `json:"detail"`
	Path     string `json:"path"`
	Expected string `json:"expected"`
	// Outcome is "unknown" if the request may have taken effect.
	Outcome      string `json:"outcome"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	Instance     string `json:"instance"`
}

// newProblemError reads an answer, also one that is no problem document.
func newProblemError(resp response) *ProblemError {
	problem := &ProblemError{}
	if json.Unmarshal(resp.body, problem) != nil || problem.Title == "" {
		const maxDetailBytes = 200
		text := strings.Join(strings.Fields(string(resp.body)), " ")
		problem = &ProblemError{Title: http.StatusText(resp.status), Detail: text[:min(len(text), maxDetailBytes)]}
	}
	problem.Status = resp.status
	return problem
}

// Error gives the whole problem in one line.
func (e *ProblemError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %s", e.Status, sanitizeLine(e.Title))
	if e.Path != "" {
		fmt.Fprintf(&b, ": %s", sanitizeLine(e.Path))
	}
	if e.Detail != "" {
		fmt.Fprintf(&b, ": %s", sanitizeLine(e.Detail))
	}
	if e.Expected != "" {
		fmt.Fprintf(&b, "; expected %s", sanitizeLine(e.Expected))
	}
	if e.Outcome == "unknown" {
		b.WriteString("; it may have taken effect")
	}
	if e.RetryAfterMS > 0 {
		fmt.Fprintf(&b, "; try again in %d ms", e.RetryAfterMS)
	}
	if e.Instance != "" {
		fmt.Fprintf(&b, " (request %s)", sanitizeLine(e.Instance))
	}
	return b.String()
}

// sanitizeLine replaces control characters, so that a server cannot move the cursor
// of a terminal.
func sanitizeLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, text)
}
