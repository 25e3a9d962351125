// Package call defines callers' requests and targets' responses independently of
// the headers that encode them.
package call

import (
	"net/http"
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
)

// Request is a caller's request as decoded by the platform's adapter.
type Request struct {
	// ID identifies one attempt of the caller.
	ID string
	// Program and Session are empty for requests outside programs.
	Program string
	Session string
	// Key is the digest of the request's key, zero unless the request has
	// exactly one well-formed key.
	Key org.Digest
	// TimeLeft is how long the caller waits, 0 if unset.
	TimeLeft time.Duration
	// ProgramTimeLeft is the time until the program's deadline, 0 if unset.
	ProgramTimeLeft time.Duration
	// ProgramExpired reports whether the program's deadline has passed.
	ProgramExpired bool
	// AffinityKey identifies the object that the request refers to.
	AffinityKey string
	// Turn is set for a turn of a program.
	Turn *Turn
	// PreviousTurn is the ID of the request whose turn this one continues,
	// empty at the start of a conversation.
	PreviousTurn string
	// LastEvent is the ID of the last event that the caller received of the
	// stream that it resumes, empty for a new stream.
	LastEvent string
	// Resumes is the ID of the request that brought the first event of the
	// stream that this one resumes, empty for a new stream.
	Resumes string
}

// Turn holds the token counts of a program's turn.
type Turn struct {
	// Budget is the maximum number of tokens that all turns of the program
	// together may generate.
	Budget int
	// MaxTokens is the maximum number of tokens that this turn generates.
	MaxTokens int
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
}

// SendOptions holds what an instance adds to a request sent to a target.
type SendOptions struct {
	// Target is the ID of the target that must run the request. Other targets
	// refuse it.
	Target string
	// TimeLeft is the time until the response is no longer needed.
	TimeLeft time.Duration
	// Organisation is the organisation of the request's key, empty without a
	// key.
	Organisation string
	// ResumeAfter is the ID of the last event received so far, empty to leave
	// the caller's value in place.
	ResumeAfter string
}

// Response holds what the header of a target's response states besides the
// status.
type Response struct {
	// RequestID is the ID of the request that was answered, empty if unset.
	RequestID string
	// Ambiguous reports whether the response names several requests or signatures, so
	// that it is not known to which request it belongs.
	Ambiguous bool
	// Signed reports whether the response carries a target's signature, which
	// distinguishes it from the response of an intermediary.
	Signed bool
	// NotRun reports whether the target states that it did not run the request.
	NotRun bool
	// Load is set if the target reported its load.
	Load *Load
	// KeepAlive is how long the target keeps an idle connection open, 0 if
	// unset.
	KeepAlive time.Duration
}

// Load is the load that a target reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is the current run time of work at the target in percent of the
	// typical run time, 0 if unset.
	Pace int
}

// Codec translates between HTTP headers and the types of this package. The
// platform's adapter implements it.
type Codec interface {
	// DecodeRequest decodes the header of a caller's request. The error names the
	// malformed field.
	DecodeRequest(header http.Header) (Request, error)
	// TargetHeader returns the header of a request to a target, based on the
	// caller's header.
	TargetHeader(header http.Header, options SendOptions) http.Header
	// DecodeResponse decodes the header of a target's response.
	DecodeResponse(status int, header http.Header) Response
}
