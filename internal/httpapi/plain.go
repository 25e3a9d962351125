package httpapi

import (
	"net/url"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	servicesRoute        = "/v1/services/"
	maxPathLength        = 8 << 10
	maxContentTypeLength = 255
	minFinalStatus       = 200
	maxFinalStatus       = 599
	statusNotFinalDetail = "the target answered with a status that is not final"
)

// plain serves a request to a tool or plain service.
func (s *Server) plain(c *gin.Context) {
	body, release, problem := s.readBody(c)
	defer release()
	if problem != nil {
		s.fail(c, problem)
		return
	}
	call, deadline, problem := s.newPlainCall(c, body)
	if problem != nil {
		s.fail(c, problem)
		return
	}
	event := structs.CallerSubmit{Request: infoOf(c).id, Call: call, Deadline: deadline}
	reply, ok := postAndWait[structs.ReplyOutcome](s, c, event, deadline)
	if !ok {
		return
	}
	s.writeOutcome(c, reply.Outcome)
}

func (s *Server) writeOutcome(c *gin.Context, outcome structs.Outcome) {
	if outcome.Kind != structs.OutcomeAnswered {
		s.fail(c, problemOf(outcome))
		return
	}
	if outcome.Status < minFinalStatus || outcome.Status > maxFinalStatus {
		s.fail(c, newProblem(structs.ReasonTargetFailed, outcomeUnknown, statusNotFinalDetail))
		return
	}
	s.recordAnswer(c, outcome)
	s.writeBody(c, outcome.Status, outcome.ContentType, outcome.Body)
}

// newPlainCall returns the call of a request to a tool or plain service and its
// deadline. The only header forwarded to the target is the content type.
func (s *Server) newPlainCall(c *gin.Context, body []byte) (*structs.Call, time.Time, *Problem) {
	h, problem := parseCallHeaders(c.Request.Header)
	if problem != nil {
		return nil, time.Time{}, problem
	}
	name, path, problem := servicePath(c.Request.URL)
	if problem != nil {
		return nil, time.Time{}, problem
	}
	service, problem := s.plainService(h.service, name)
	if problem != nil {
		return nil, time.Time{}, problem
	}
	contentType := c.Request.Header.Get("Content-Type")
	if len(contentType) > maxContentTypeLength || !printable(contentType) {
		return nil, time.Time{}, refusal(ReasonUnsupportedMedia, "the content type is malformed")
	}
	call, deadline, problem := s.newCall(c, h, service)
	if problem != nil {
		return nil, time.Time{}, problem
	}
	call.Kind = structs.CallPlain
	call.Method, call.Path, call.ContentType, call.Body = c.Request.Method, path, contentType, body
	call.Digest = requestDigest(call.Service, call.Method, path, contentType, body)
	return call, deadline, nil
}

// plainService returns the service of a plain request. Model engines are
// rejected, since their other routes are internal to banyanglade.
func (s *Server) plainService(header, name structs.ServiceName) (structs.Service, *Problem) {
	if header != "" && header != name {
		return structs.Service{}, refusal(structs.ReasonInvalid, "the header %s and the path differ", HeaderService)
	}
	service, ok := s.core.Settings().Service(name)
	if !ok {
		return structs.Service{}, refusal(structs.ReasonUnknownService, "there is no service %q", name)
	}
	if service.Kind == structs.ServiceEngine {
		return structs.Service{}, refusal(structs.ReasonInvalid, "service %q serves models only", name)
	}
	return service, nil
}

// servicePath splits a request's URL into the service and the path for the
// target, which retains the caller's escaping and the query string.
func servicePath(address *url.URL) (structs.ServiceName, string, *Problem) {
	rest, found := strings.CutPrefix(address.EscapedPath(), servicesRoute)
	name, path, split := strings.Cut(rest, "/")
	if !found || !split || !validName(name, maxServiceLength) {
		return "", "", refusal(structs.ReasonInvalid, "expected the path %s{service}/{path}", servicesRoute)
	}
	path = "/" + path
	if address.RawQuery != "" {
		path += "?" + address.RawQuery
	}
	if len(path) > maxPathLength || !printable(path) || hasDotSegment(address.Path) {
		return "", "", refusal(structs.ReasonInvalid, "the path is too long, has a . or .. segment, or control characters")
	}
	if strings.HasPrefix(path, "//") {
		return "", "", refusal(structs.ReasonInvalid, "the path after the service starts with two slashes")
	}
	return structs.ServiceName(name), path, nil
}

// hasDotSegment reports whether a decoded path has a "." or ".." segment, where
// backslashes count as slashes, with which it could escape its prefix.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(strings.ReplaceAll(path, `\`, "/"), "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
