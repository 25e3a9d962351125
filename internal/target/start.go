package target

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// ErrResponseTooLarge is returned for a response above Config.MaxResponseBytes.
var ErrResponseTooLarge = errors.New("answer of the target is too large")

// StartRun sends a call to a target, at most once, and delivers the result as
// RunEnded.
func (r *Runner) StartRun(command structs.StartRun) {
	g := newGate(command.NotAfter, r.cfg.Now)
	r.begin(command.Run, command.Target.ID, command.Timeout, g, func(run *activeRun) result {
		return r.runCall(run, command)
	})
}

func (r *Runner) runCall(run *activeRun, command structs.StartRun) result {
	request, err := newRunRequest(withGate(run.ctx, run.gate), command)
	if err != nil {
		return run.failed(err)
	}
	client := r.clients.repeatable
	if command.Call.NotRepeatable {
		client = r.clients.single
	}
	response, err := client.Do(request)
	if err != nil {
		return run.failed(err)
	}
	defer closeBody(response.Body)
	if command.Call.Kind == structs.CallChat {
		return r.readChat(run, response)
	}
	return r.readResponse(run, response)
}

// readResponse reads a response that is not a stream.
func (r *Runner) readResponse(run *activeRun, response *http.Response) result {
	body, err := readBounded(response.Body, r.cfg.MaxResponseBytes)
	if errors.Is(err, ErrResponseTooLarge) {
		return result{
			failure: structs.RunBroken, detail: err.Error(),
			outcome: structs.Outcome{Reason: structs.ReasonTooLarge},
		}
	}
	if err != nil {
		return run.failed(err)
	}
	if reportsNotRun(response, body) {
		return result{failure: structs.RunNotSent, detail: "the target says that it did not run the request"}
	}
	return result{outcome: responseOutcome(response.StatusCode, response.Header.Get("Content-Type"), body)}
}

func responseOutcome(status int, contentType string, body []byte) structs.Outcome {
	return structs.Outcome{
		Kind: structs.OutcomeAnswered, Status: status, ContentType: contentType, Body: body,
	}
}

// reportsNotRun reports whether a service refused a request before running it, which
// requires a problem document with that outcome.
func reportsNotRun(response *http.Response, body []byte) bool {
	if !isRefusalStatus(response.StatusCode) {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || mediaType != "application/problem+json" {
		return false
	}
	var problem struct {
		Outcome string `json:"outcome"`
	}
	return json.Unmarshal(body, &problem) == nil && problem.Outcome == "not-run"
}

// isRefusalStatus reports whether a status indicates overload or unavailability.
func isRefusalStatus(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// readBounded reads a body. It returns ErrResponseTooLarge if that exceeds limit.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, ErrResponseTooLarge
	}
	return data, nil
}
