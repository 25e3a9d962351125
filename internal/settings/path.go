package settings

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// Areas and reserved segments of the tree.
const (
	servicesArea       = "services"
	teamsArea          = "teams"
	rulesSegment       = "rules"
	ordersSegment      = "orders"
	credentialsSegment = "credentials"
)

// ErrPath is returned for a malformed path.
var ErrPath = errors.New("malformed settings path")

// location is a parsed path. It has one of three forms: a key of a service (Service,
// Key), a key of a team (Team, Key) or a credential of a team (Team, Credential).
type location struct {
	Area       string
	Service    structs.ServiceName
	Team       structs.Team
	Key        string
	Credential string
}

// checkPath checks the length and the characters of a path.
func checkPath(path string) error {
	if path == "" || len(path) > MaxPathBytes {
		return errors.Wrapf(ErrPath, "a path has 1 to %d bytes", MaxPathBytes)
	}
	for _, segment := range strings.Split(path, "/") {
		if !validSegment(segment) {
			return errors.Wrapf(ErrPath, "segment %q: want 1 to %d of a-z, 0-9, '.', '_', '-', starting with a letter or digit",
				truncate(segment), MaxSegmentBytes)
		}
	}
	return nil
}

func validSegment(segment string) bool {
	if segment == "" || len(segment) > MaxSegmentBytes {
		return false
	}
	for i := range len(segment) {
		c := segment[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		punctuation := c == '.' || c == '_' || c == '-'
		if !alphanumeric && (i == 0 || !punctuation) {
			return false
		}
	}
	return true
}

// parsePath parses a path. It does not check that the key exists.
func parsePath(path string) (location, error) {
	if err := checkPath(path); err != nil {
		return location{}, err
	}
	segments := strings.Split(path, "/")
	switch segments[0] {
	case servicesArea:
		return parseServicePath(segments[1:])
	case teamsArea:
		return parseTeamPath(segments[1:])
	}
	return location{}, errors.Wrapf(ErrPath, "a path starts with %q or %q", servicesArea+"/", teamsArea+"/")
}

func parseServicePath(segments []string) (location, error) {
	loc := location{Area: servicesArea}
	switch {
	case len(segments) == 2:
		loc.Key = segments[1]
	case len(segments) == 3 && (segments[1] == rulesSegment || segments[1] == ordersSegment):
		loc.Key = segments[1] + "/" + segments[2]
	default:
		return location{}, errors.Wrap(ErrPath,
			"want services/<name>/<key>, services/<name>/rules/<key> or services/<name>/orders/<key>")
	}
	loc.Service = structs.ServiceName(segments[0])
	return loc, nil
}

func parseTeamPath(segments []string) (location, error) {
	if len(segments) == 0 {
		return location{}, errors.Wrap(ErrPath, "want teams/<key> or teams/<team path>/<key>")
	}
	loc := location{Area: teamsArea}
	last := len(segments) - 1
	team := segments[:last]
	if last >= 1 && segments[last-1] == credentialsSegment {
		loc.Credential = segments[last]
		team = segments[:last-1]
	} else {
		loc.Key = segments[last]
	}
	if err := checkTeam(team); err != nil {
		return location{}, err
	}
	loc.Team = structs.Team(strings.Join(team, "/"))
	return loc, nil
}

// checkTeam rejects team names that could be read as a key.
func checkTeam(segments []string) error {
	if len(segments) > MaxTeamDepth {
		return errors.Wrapf(ErrPath, "a team path has at most %d segments", MaxTeamDepth)
	}
	for _, name := range segments {
		if _, isKey := policyFields.byName[name]; isKey || name == credentialsSegment {
			return errors.Wrapf(ErrPath, "%q is the name of a key and cannot name a team", name)
		}
	}
	return nil
}

// teamKeyPath returns the path of a team's key.
func teamKeyPath(team structs.Team, key string) string {
	if team == "" {
		return teamsArea + "/" + key
	}
	return teamsArea + "/" + string(team) + "/" + key
}

// ancestors returns the root "", the teams above a team, and the team itself, in this
// order.
func ancestors(team structs.Team) []structs.Team {
	chain := []structs.Team{""}
	if team == "" {
		return chain
	}
	for i := range len(team) {
		if team[i] == '/' {
			chain = append(chain, team[:i])
		}
	}
	return append(chain, team)
}

// ValidTeam reports whether a team path is well formed. The empty path, the root, is.
func ValidTeam(team structs.Team) bool {
	if team == "" {
		return true
	}
	segments := strings.Split(string(team), "/")
	for _, segment := range segments {
		if !validSegment(segment) {
			return false
		}
	}
	return checkTeam(segments) == nil
}

// MayChange reports whether an operator of a team may change a path: only those below
// teams/<team>/. The root operator, of the empty team, may change every path.
func MayChange(team structs.Team, path string) bool {
	if team == "" {
		return true
	}
	return strings.HasPrefix(path, teamsArea+"/"+string(team)+"/")
}

// MayRead reports whether an operator of a team may read a path: those it may change,
// and the services.
func MayRead(team structs.Team, path string) bool {
	return MayChange(team, path) || strings.HasPrefix(path, servicesArea+"/")
}

// truncate shortens untrusted text for an error message.
func truncate(text string) string {
	const maxBytes = 80
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes], "") + "..."
}
