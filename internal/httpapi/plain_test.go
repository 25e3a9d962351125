package httpapi

import (
	"net/http"
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func TestPlainForwarded(t *testing.T) {
	f := newFixture(t, nil)
	f.replyWith(structs.Outcome{
		Kind: structs.OutcomeAnswered, Status: http.StatusTeapot, ContentType: "text/x-mark",
		Body: []byte("stamp"), Replayed: true,
	})
	response, body := f.do(http.MethodPut, "/v1/services/filing/a%2Fb/c?x=1&y=%20", "\x00\xff",
		"Content-Type", "image/tiff", "Cookie", "secret", "Connection", "X-Hop", "X-Hop", "1")
	if response.StatusCode != http.StatusTeapot || body != "stamp" || response.Header.Get("Content-Type") != "text/x-mark" {
		t.Fatalf("status %d, body %q", response.StatusCode, body)
	}
	if response.Header.Get(HeaderOutcome) != outcomeReplayed {
		t.Errorf("outcome %q", response.Header.Get(HeaderOutcome))
	}
	call := f.submitted().Call
	if call.Method != http.MethodPut || call.Path != "/a%2Fb/c?x=1&y=%20" || string(call.Body) != "\x00\xff" || call.ContentType != "image/tiff" {
		t.Errorf("call %+v", call)
	}
	if call.Kind != structs.CallPlain || call.Service != "filing" || call.NotRepeatable {
		t.Errorf("call %+v", call)
	}
}

func TestPlainNotRepeatableByService(t *testing.T) {
	f := newFixture(t, nil)
	f.replyWith(structs.Outcome{Kind: structs.OutcomeAnswered, Status: http.StatusNoContent})
	response, _ := f.do(http.MethodPost, "/v1/services/payments/fees", "{}", HeaderNotRepeatable, "false")
	if response.StatusCode != http.StatusNoContent || !f.submitted().Call.NotRepeatable {
		t.Errorf("status %d", response.StatusCode)
	}
}

func TestPlainMethods(t *testing.T) {
	f := newFixture(t, nil)
	f.replyWith(structs.Outcome{Kind: structs.OutcomeAnswered, Status: http.StatusOK, Body: []byte("x")})
	for _, method := range serviceMethods {
		response, _ := f.do(method, "/v1/services/filing/", "")
		if response.StatusCode != http.StatusOK || f.submitted().Call.Method != method {
			t.Errorf("%s: status %d", method, response.StatusCode)
		}
	}
	response, body := f.do(http.MethodTrace, "/v1/services/filing/", "")
	checkProblem(t, response, body, ReasonMethodNotAllowed, http.StatusMethodNotAllowed, outcomeNotRun)
}

func TestNonFinalStatusIsTargetFailure(t *testing.T) {
	f := newFixture(t, nil)
	for _, status := range []int{0, 101, 600} {
		f.replyWith(structs.Outcome{Kind: structs.OutcomeAnswered, Status: status})
		response, body := f.do(http.MethodGet, "/v1/services/filing/", "")
		checkProblem(t, response, body, structs.ReasonTargetFailed, http.StatusBadGateway, outcomeUnknown)
	}
}
