package httpapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Reasons specific to the HTTP adapter.
const (
	ReasonNotFound         structs.Reason = "not-found"
	ReasonMethodNotAllowed structs.Reason = "method-not-allowed"
	ReasonUnsupportedMedia structs.Reason = "unsupported-media-type"
	ReasonTimeout          structs.Reason = "request-timeout"
	ReasonInternal         structs.Reason = "internal"
	ReasonSettingsLost     structs.Reason = "settings-lost"
	ReasonSettingsUnknown  structs.Reason = "settings-unknown"
)

const (
	problemContentType = "application/problem+json"
	problemTypePrefix  = "urn:banyanglade:problem:"
)

// Outcomes in problem documents and in the Banyanglade-Outcome header.
const (
	outcomeAnswered = "answered"
	outcomeReplayed = "replayed"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
)

// Problem is the error document that callers receive: an RFC 9457 problem with
// extension members.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Instance is the request's identifier.
	Instance string `json:"instance,omitempty"`
	// Outcome is "not-run" if the request did not run and will not, or
	// "unknown" if it may have run.
	Outcome string `json:"outcome"`
	// RetryAfterMS is the delay before a retry in milliseconds; absent if a
	// retry does not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Path, Expected, Version, Offset and Winner describe a rejected settings
	// change.
	Path     string `json:"path,omitempty"`
	Expected string `json:"expected,omitempty"`
	Version  uint64 `json:"version,omitempty"`
	Offset   uint64 `json:"offset,omitempty"`
	Winner   string `json:"winner,omitempty"`
}

// problemKind is the status and title of the problems of one reason.
type problemKind struct {
	status int
	title  string
}

// problemKinds maps each reason to its status and title.
var problemKinds = map[structs.Reason]problemKind{
	structs.ReasonInvalid:          {http.StatusBadRequest, "The request is invalid"},
	structs.ReasonUnauthorized:     {http.StatusUnauthorized, "The key is missing or unknown"},
	structs.ReasonBudget:           {http.StatusPaymentRequired, "The budget is exhausted"},
	structs.ReasonTurns:            {http.StatusPaymentRequired, "The program has had all its turns"},
	structs.ReasonForbidden:        {http.StatusForbidden, "The key does not reach this"},
	structs.ReasonForeignProgram:   {http.StatusForbidden, "The program belongs to another team"},
	structs.ReasonUnknownProgram:   {http.StatusNotFound, "The program is unknown"},
	structs.ReasonUnknownService:   {http.StatusNotFound, "The service is unknown"},
	ReasonNotFound:                 {http.StatusNotFound, "There is no such resource"},
	ReasonMethodNotAllowed:         {http.StatusMethodNotAllowed, "The method is not allowed here"},
	ReasonTimeout:                  {http.StatusRequestTimeout, "The request body came too slowly"},
	structs.ReasonKeyReused:        {http.StatusConflict, "The idempotency key was used for another request"},
	structs.ReasonHistoryFork:      {http.StatusConflict, "The messages leave the known history"},
	structs.ReasonOrderGap:         {http.StatusConflict, "An earlier call of the lane is missing"},
	structs.ReasonStaleNumber:      {http.StatusConflict, "The call's number has passed"},
	structs.ReasonLoop:             {http.StatusConflict, "The program repeats itself"},
	structs.ReasonCancelled:        {http.StatusConflict, "The call was cancelled"},
	ReasonSettingsLost:             {http.StatusConflict, "Another change came first"},
	structs.ReasonProgramClosed:    {http.StatusGone, "The program is closed"},
	structs.ReasonTooOld:           {http.StatusGone, "The identifier is older than the idempotency window"},
	structs.ReasonTooLarge:         {http.StatusRequestEntityTooLarge, "The request is too large"},
	ReasonUnsupportedMedia:         {http.StatusUnsupportedMediaType, "The content type is not supported"},
	structs.ReasonOverloaded:       {http.StatusTooManyRequests, "Too much work is waiting"},
	ReasonInternal:                 {http.StatusInternalServerError, "The instance failed"},
	structs.ReasonTargetFailed:     {http.StatusBadGateway, "The target failed"},
	structs.ReasonOwnerLost:        {http.StatusBadGateway, "The instance that ran the call was lost"},
	structs.ReasonLogUnavailable:   {http.StatusServiceUnavailable, "The log is unavailable"},
	structs.ReasonOwnerUnavailable: {http.StatusServiceUnavailable, "The program's instance is unavailable"},
	structs.ReasonNoTarget:         {http.StatusServiceUnavailable, "The service has no target"},
	structs.ReasonDraining:         {http.StatusServiceUnavailable, "The instance is shutting down"},
	structs.ReasonStarting:         {http.StatusServiceUnavailable, "The instance is starting"},
	structs.ReasonDeadline:         {http.StatusGatewayTimeout, "The deadline cannot be met"},
	ReasonSettingsUnknown:          {http.StatusGatewayTimeout, "The change could not be read back in time"},
}

// refusal returns the problem of a request that did not run.
func refusal(reason structs.Reason, format string, args ...any) *Problem {
	return newProblem(reason, outcomeNotRun, fmt.Sprintf(format, args...))
}

func newProblem(reason structs.Reason, outcome, detail string) *Problem {
	kind, ok := problemKinds[reason]
	if !ok {
		kind = problemKinds[ReasonInternal]
	}
	return &Problem{
		Type: problemTypePrefix + string(reason), Title: kind.title, Status: kind.status,
		Detail: detail, Outcome: outcome,
	}
}

// retryAfter sets the delay before a retry.
func (p *Problem) retryAfter(delay time.Duration) *Problem {
	p.RetryAfterMS = delay.Milliseconds()
	return p
}

// withStatus overrides the status of the reason.
func (p *Problem) withStatus(status int) *Problem {
	p.Status = status
	return p
}

// problemOf returns the problem of an outcome that is not OutcomeAnswered.
func problemOf(outcome structs.Outcome) *Problem {
	outcomeName := outcomeUnknown
	if outcome.Kind == structs.OutcomeNotRun {
		outcomeName = outcomeNotRun
	}
	reason := outcome.Reason
	if reason == structs.ReasonNone {
		reason = ReasonInternal
	}
	return newProblem(reason, outcomeName, outcome.Detail).retryAfter(outcome.RetryAfter)
}

// write responds with the problem document.
func (p *Problem) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", problemContentType)
	header.Set(HeaderOutcome, p.Outcome)
	if p.RetryAfterMS > 0 {
		header.Set("Retry-After", retryAfterSeconds(p.RetryAfterMS))
	}
	if p.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.encode())
}

// encode returns the document as JSON. Encoding cannot fail, since all fields
// are strings and numbers.
func (p *Problem) encode() []byte {
	body, _ := json.Marshal(p)
	return body
}

// retryAfterSeconds converts to seconds, rounded up so that a caller does not
// retry too early.
func retryAfterSeconds(milliseconds int64) string {
	const second = 1000
	return strconv.FormatInt((milliseconds+second-1)/second, 10)
}
