package httpapi

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// Headers of requests and responses.
const (
	// HeaderProgram is the program of a call, in requests and responses.
	HeaderProgram = "Banyanglade-Program"
	// HeaderTeam selects the key's own team or one below it.
	HeaderTeam = "Banyanglade-Team"
	// HeaderService is the service of a chat completion, instead of the one
	// named by the model.
	HeaderService = "Banyanglade-Service"
	// HeaderLane is the lane of a call.
	HeaderLane = "Banyanglade-Lane"
	// HeaderCall is the number of a call in its lane, from 1.
	HeaderCall = "Banyanglade-Call"
	// HeaderNotRepeatable marks a call that must run at most once.
	HeaderNotRepeatable = "Banyanglade-Not-Repeatable"
	// HeaderFork allows a call's messages to diverge from the known history.
	HeaderFork = "Banyanglade-Fork"
	// HeaderFresh declares that no earlier request with the key can have run:
	// there was none, or each was rejected as not run.
	HeaderFresh = "Banyanglade-Fresh"
	// HeaderDeadline is the timeout of a call in milliseconds.
	HeaderDeadline = "Banyanglade-Deadline-Ms"
	// HeaderFee is the cost of a call in the team's currency units.
	HeaderFee = "Banyanglade-Fee"
	// HeaderOutcome is the outcome of a call: answered, replayed, not-run or
	// unknown.
	HeaderOutcome = "Banyanglade-Outcome"
	// HeaderRequest is the identifier of the request, as in the logs.
	HeaderRequest = "Banyanglade-Request"
	// HeaderIdempotencyKey is the standard idempotency header.
	HeaderIdempotencyKey = wire.HeaderIdempotencyKey
)

const (
	headerPrefix = "Banyanglade-"

	maxKeyLength     = 255
	maxLaneLength    = 128
	maxTeamLength    = 255
	maxServiceLength = 128
	maxFee           = 1 << 40
	maxDeadlineMS    = 24 * 60 * 60 * 1000
)

// requestHeaders are the Banyanglade headers allowed in requests. Others are
// rejected, so that a misspelled header is not ignored.
var requestHeaders = map[string]bool{
	HeaderProgram: true, HeaderTeam: true, HeaderService: true, HeaderLane: true,
	HeaderCall: true, HeaderNotRepeatable: true, HeaderFork: true,
	HeaderDeadline: true, HeaderFee: true, HeaderFresh: true,
}

// singleHeaders are other headers that must not be repeated.
var singleHeaders = []string{HeaderIdempotencyKey, "Authorization", "Content-Type"}

// callHeaders holds the parsed headers of a call.
type callHeaders struct {
	program       structs.ProgramID
	team          structs.Team
	service       structs.ServiceName
	lane          structs.Lane
	number        uint64
	key           string
	notRepeatable bool
	fork          bool
	fresh         bool
	fee           int64
	// timeout is the caller's timeout, 0 if unset.
	timeout time.Duration
}

// checkHeaders rejects unknown Banyanglade headers and repeated headers.
func checkHeaders(header http.Header) *Problem {
	for name, values := range header {
		if !strings.HasPrefix(name, headerPrefix) {
			continue
		}
		if !requestHeaders[name] {
			return refusal(structs.ReasonInvalid, "header %s is unknown", name)
		}
		if len(values) > 1 {
			return refusal(structs.ReasonInvalid, "header %s is given more than once", name)
		}
	}
	for _, name := range singleHeaders {
		if len(header.Values(name)) > 1 {
			return refusal(structs.ReasonInvalid, "header %s is given more than once", name)
		}
	}
	return nil
}

// parseCallHeaders parses and validates the headers of a call.
func parseCallHeaders(header http.Header) (callHeaders, *Problem) {
	p := headerParser{header: header}
	h := callHeaders{
		program:       p.program(),
		team:          structs.Team(p.name(HeaderTeam, maxTeamLength)),
		service:       structs.ServiceName(p.name(HeaderService, maxServiceLength)),
		lane:          structs.Lane(p.name(HeaderLane, maxLaneLength)),
		number:        uint64(p.number(HeaderCall, 1, 1<<53)),
		key:           p.key(),
		notRepeatable: p.flag(HeaderNotRepeatable),
		fork:          p.flag(HeaderFork),
		fresh:         p.flag(HeaderFresh),
		fee:           p.number(HeaderFee, 0, maxFee),
		timeout:       time.Duration(p.number(HeaderDeadline, 1, maxDeadlineMS)) * time.Millisecond,
	}
	if p.problem != nil {
		return callHeaders{}, p.problem
	}
	if h.program == "" && (h.lane != "" || h.number != 0 || h.fork) {
		return callHeaders{}, refusal(structs.ReasonInvalid,
			"%s, %s and %s need %s", HeaderLane, HeaderCall, HeaderFork, HeaderProgram)
	}
	return h, nil
}

// headerParser parses individual headers and records the first problem.
type headerParser struct {
	header  http.Header
	problem *Problem
}

func (p *headerParser) fail(name, expected string) {
	if p.problem == nil {
		p.problem = refusal(structs.ReasonInvalid, "header %s: expected %s", name, expected)
	}
}

func (p *headerParser) program() structs.ProgramID {
	id := structs.ProgramID(p.header.Get(HeaderProgram))
	if id != "" && !validProgramID(id) {
		p.fail(HeaderProgram, "a program id as this service gave it")
	}
	return id
}

func (p *headerParser) name(header string, limit int) string {
	value := p.header.Get(header)
	if value != "" && !validName(value, limit) {
		p.fail(header, "letters, digits and . _ - : / only, at most "+strconv.Itoa(limit))
	}
	return value
}

func (p *headerParser) key() string {
	value := p.header.Get(HeaderIdempotencyKey)
	if len(value) > maxKeyLength || !printable(value) {
		p.fail(HeaderIdempotencyKey, "printable ASCII, at most "+strconv.Itoa(maxKeyLength))
	}
	if strings.HasPrefix(value, journal.GeneratedKeyPrefix) {
		p.fail(HeaderIdempotencyKey, "a key that does not begin with "+journal.GeneratedKeyPrefix)
	}
	return value
}

func (p *headerParser) flag(header string) bool {
	switch p.header.Get(header) {
	case "", "false":
		return false
	case "true":
		return true
	}
	p.fail(header, "true or false")
	return false
}

func (p *headerParser) number(header string, minValue, maxValue int64) int64 {
	value := p.header.Get(header)
	if value == "" {
		return 0
	}
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < minValue || number > maxValue {
		p.fail(header, "a whole number from "+strconv.FormatInt(minValue, 10)+" to "+strconv.FormatInt(maxValue, 10))
		return 0
	}
	return number
}

// validName reports whether name is a valid name of a lane, team or service, of
// at most limit bytes.
func validName(name string, limit int) bool {
	if name == "" || len(name) > limit {
		return false
	}
	for i := range len(name) {
		if !nameCharacter(name[i]) {
			return false
		}
	}
	return true
}

func nameCharacter(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return strings.IndexByte("._-:/", c) >= 0
}

func printable(value string) bool {
	for i := range len(value) {
		if value[i] < ' ' || value[i] > '~' {
			return false
		}
	}
	return true
}

// validProgramID reports whether id has the form that structs.NewProgramID
// returns.
func validProgramID(id structs.ProgramID) bool {
	if !validName(string(id), maxLaneLength) || strings.ToLower(string(id)) != string(id) {
		return false
	}
	_, _, err := id.Parse()
	return err == nil
}
