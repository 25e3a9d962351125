package httpapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	bearerPrefix    = "Bearer "
	maxBearerLength = 1024
	rootName        = "root"
)

// authenticate sets the principal of a request. While the instance starts, its
// keys are not loaded yet, so an unknown key gets a 503 rather than a 401.
func (s *Server) authenticate(c *gin.Context) {
	principal, ok := s.principalOf(c.GetHeader("Authorization"))
	if ok {
		infoOf(c).principal = principal
	}
	switch {
	case !principal.Root() && s.core.Health().State == HealthStarting:
		s.fail(c, s.startingProblem())
	case !ok:
		s.fail(c, refusal(structs.ReasonUnauthorized, "expected the header Authorization: Bearer and a known key"))
	default:
		c.Next()
	}
}

// requireStarted rejects calls while the services are not loaded yet.
func (s *Server) requireStarted(c *gin.Context) {
	if s.core.Health().State == HealthStarting {
		s.fail(c, s.startingProblem())
		return
	}
	c.Next()
}

func (s *Server) startingProblem() *Problem {
	detail := s.core.Health().Detail
	return refusal(structs.ReasonStarting, "%s", detail).retryAfter(localRetryAfter)
}

func (s *Server) principalOf(header string) (Principal, bool) {
	// Authentication schemes are case-insensitive.
	if len(header) <= len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return Principal{}, false
	}
	key := header[len(bearerPrefix):]
	if len(key) > maxBearerLength {
		return Principal{}, false
	}
	if s.isRootKey(key) {
		return Principal{Name: rootName, Operator: true}, true
	}
	principal, ok := s.core.Authenticate(key)
	if !ok || principal.Team == "" && !principal.Operator {
		return Principal{}, false
	}
	return principal, true
}

func (s *Server) isRootKey(key string) bool {
	if s.config.RootKeyHash == "" {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	have := hex.EncodeToString(sum[:])
	want := strings.ToLower(s.config.RootKeyHash)
	return subtle.ConstantTimeCompare([]byte(have), []byte(want)) == 1
}

func (s *Server) requireOperator(c *gin.Context) {
	if !infoOf(c).principal.Operator {
		s.fail(c, refusal(structs.ReasonForbidden, "the route is for operators"))
		return
	}
	c.Next()
}

func (s *Server) requireRoot(c *gin.Context) {
	if !infoOf(c).principal.Root() {
		s.fail(c, refusal(structs.ReasonForbidden, "the route is for operators of the whole tree"))
		return
	}
	c.Next()
}

// teamFor returns the team that a principal acts for: its own, or requested
// if that is the same or below.
func teamFor(principal Principal, requested structs.Team) (structs.Team, *Problem) {
	if requested == "" {
		return principal.Team, nil
	}
	if !validTreePath(string(requested)) {
		return "", refusal(structs.ReasonInvalid, "expected a team path such as lakeshore/clearance")
	}
	if !principal.Team.Contains(requested) {
		return "", refusal(structs.ReasonForbidden, "the key does not reach this team")
	}
	return requested, nil
}

// validTreePath reports whether path is a valid path of the settings tree, in
// which no segment is empty or relative.
func validTreePath(path string) bool {
	if !validName(path, maxTeamLength) {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
	}
	return true
}
