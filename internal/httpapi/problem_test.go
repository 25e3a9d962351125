package httpapi

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func checkProblem(t *testing.T, response *http.Response, body string, wantReason structs.Reason, wantStatus int, wantOutcome string) Problem {
	t.Helper()
	var problem Problem
	if err := json.Unmarshal([]byte(body), &problem); err != nil {
		t.Fatalf("%q: %v", body, err)
	}
	if response.Header.Get("Content-Type") != problemContentType || response.StatusCode != wantStatus || problem.Status != wantStatus {
		t.Errorf("status %d, want %d: %s", response.StatusCode, wantStatus, body)
	}
	if problem.Type != problemTypePrefix+string(wantReason) || problem.Outcome != wantOutcome || response.Header.Get(HeaderOutcome) != wantOutcome {
		t.Errorf("want reason %s and outcome %s: %s", wantReason, wantOutcome, body)
	}
	if problem.Title == "" || problem.Instance == "" || problem.Instance != response.Header.Get(HeaderRequest) {
		t.Errorf("title or instance missing: %s", body)
	}
	return problem
}

// reasonStatuses duplicates the statuses of problemKinds, so that a change of the
// public API fails the test.
var reasonStatuses = map[structs.Reason]int{
	structs.ReasonInvalid: 400, structs.ReasonUnauthorized: 401, structs.ReasonBudget: 402,
	structs.ReasonTurns: 402, structs.ReasonForbidden: 403, structs.ReasonForeignProgram: 403,
	structs.ReasonUnknownProgram: 404, structs.ReasonUnknownService: 404,
	structs.ReasonKeyReused: 409, structs.ReasonHistoryFork: 409, structs.ReasonOrderGap: 409,
	structs.ReasonStaleNumber: 409, structs.ReasonLoop: 409, structs.ReasonCancelled: 409,
	structs.ReasonProgramClosed: 410, structs.ReasonTooOld: 410, structs.ReasonTooLarge: 413,
	structs.ReasonOverloaded: 429, structs.ReasonTargetFailed: 502, structs.ReasonOwnerLost: 502,
	structs.ReasonLogUnavailable: 503, structs.ReasonOwnerUnavailable: 503,
	structs.ReasonNoTarget: 503, structs.ReasonDraining: 503, structs.ReasonStarting: 503,
	structs.ReasonDeadline: 504, structs.ReasonNone: 500, "a-reason-of-a-later-version": 500,
}

func TestProblemOfEveryReason(t *testing.T) {
	f := newFixture(t, nil)
	for reason, status := range reasonStatuses {
		for kind, outcome := range map[structs.OutcomeKind]string{
			structs.OutcomeNotRun: outcomeNotRun, structs.OutcomeUnknown: outcomeUnknown, 0: outcomeUnknown,
		} {
			f.replyWith(structs.Outcome{Kind: kind, Reason: reason, Detail: "why", RetryAfter: 1001 * time.Millisecond})
			response, body := f.do(http.MethodPost, chatRoute, chatBody)
			want := reason
			if reason == structs.ReasonNone {
				want = ReasonInternal
			}
			problem := checkProblem(t, response, body, want, status, outcome)
			if problem.RetryAfterMS != 1001 || response.Header.Get("Retry-After") != "2" || problem.Detail != "why" {
				t.Errorf("%s: Retry-After %q: %s", reason, response.Header.Get("Retry-After"), body)
			}
			if response.Header.Get(HeaderProgram) != string(f.submitted().Call.Program) {
				t.Errorf("%s: wrong program header", reason)
			}
		}
	}
}

func TestNoRetryAfterForExhaustedBudget(t *testing.T) {
	f := newFixture(t, nil)
	f.replyWith(structs.Outcome{Kind: structs.OutcomeNotRun, Reason: structs.ReasonBudget})
	response, _ := f.do(http.MethodPost, chatRoute, chatBody)
	if got := response.Header.Values("Retry-After"); len(got) != 0 {
		t.Errorf("Retry-After %q", got)
	}
}
