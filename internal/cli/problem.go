package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// ProblemError is an error response of an instance (RFC 9457 problem document).
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

// newProblemError decodes an error response. If the body is not a problem document,
// the start of it becomes the detail.
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

// Error formats the problem on one line.
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
		fmt.Fprintf(&b, "; retry after %d ms", e.RetryAfterMS)
	}
	if e.Instance != "" {
		fmt.Fprintf(&b, " (request %s)", sanitizeLine(e.Instance))
	}
	return b.String()
}

// sanitizeLine replaces control characters, which could otherwise send escape
// sequences of a server to the terminal.
func sanitizeLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, text)
}
