// Package call holds what an instance knows of one request of a caller and of
// a target's answer to it, in the project's own terms.
package call

import (
	"net/http"
	"time"

	"github.com/banyanglade/banyanglade/internal/org"
)

// Request is a caller's request as the platform's adapter decodes it.
type Request struct {
	// ID names one attempt of the caller.
	ID string
	// Program and Session are empty for requests outside programs.
	Program string
	Session string
	// Key is the digest of the key that the request carries, zero if it does
	// not carry exactly one that is well formed.
	Key org.Digest
	// TimeLeft is how long the caller waits, 0 if it did not say.
	TimeLeft time.Duration
	// ProgramTimeLeft is the time until the program should be finished, 0 if
	// unknown.
	ProgramTimeLeft time.Duration
	// ProgramExpired tells that the program's time is over.
	ProgramExpired bool
	// AffinityKey names the object that the request is about.
	AffinityKey string
	// Turn is set for a turn of a program.
	Turn *Turn
	// PreviousTurn is the id of the request whose turn this one continues,
	// empty at the start of a conversation.
	PreviousTurn string
	// LastEvent is the id of the last event that the caller has of a stream
	// that it resumes, empty if it starts one.
	LastEvent string
}

// Turn is what a program's turn says of its tokens.
type Turn struct {
	// Budget is the number of tokens that all turns of the program may
	// generate.
	Budget int
	// MaxTokens is the most that this turn generates.
	MaxTokens int
	// PromptTokens is the length of the prompt.
	PromptTokens int
}

// SendOptions is what an instance adds to a request that it passes on.
type SendOptions struct {
	// Target is the id of the target that must run it; any other refuses.
	Target string
	// TimeLeft is the time until the work is of no use any more.
	TimeLeft time.Duration
	// Organisation holds the request's key, empty if it has none.
	Organisation string
	// ResumeAfter is the id of the last event received so far, empty to keep
	// what the caller sent.
	ResumeAfter string
}

// Response is what the head of a target's answer says besides its status.
type Response struct {
	// RequestID is the request that it answers, empty if it does not say.
	RequestID string
	// Signed tells that it is the work of a target.
	Signed bool
	// NotRun tells that the target states that it did not run the request.
	NotRun bool
	// Load is set if the target reported its load.
	Load *Load
	// KeepAlive is how long the target keeps the connection idle, 0 if it did
	// not say.
	KeepAlive time.Duration
}

// Load is the state of a target as it reports it.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at the target now, in percent of the usual; 0
	// if it does not say.
	Pace int
}

// Codec translates between HTTP headers and the types of this package. The
// platform's adapter implements it.
type Codec interface {
	// DecodeRequest decodes the header of a caller's request. The error says which
	// field is malformed.
	DecodeRequest(header http.Header) (Request, error)
	// TargetHeader makes the header of a request to a target from the caller's.
	TargetHeader(header http.Header, send SendOptions) http.Header
	// DecodeResponse decodes the head of a target's answer.
	DecodeResponse(status int, header http.Header) Response
}
