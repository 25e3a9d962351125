package httpapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"
	"github.com/oklog/ulid/v2"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	teamsSubtree         = "teams/"
	maxChanges           = 1000
	maxChangeIDLength    = 128
	maxSettingPathLength = 512
)

// changeRequest is one change in the body of PUT /v1/settings.
type changeRequest struct {
	Path string `json:"path"`
	// Base is the version that the change is based on, 0 if the path has none.
	Base uint64 `json:"base"`
	// Value is the new value; absent or null removes the value.
	Value json.RawMessage `json:"value"`
	// ChangeID deduplicates retries of the change; generated if absent.
	ChangeID string `json:"change_id"`
}

// changesRequest is the body of PUT /v1/settings.
type changesRequest struct {
	Changes []changeRequest `json:"changes"`
}

// changesResponse is the response to accepted changes.
type changesResponse struct {
	Status  structs.SettingsStatus `json:"status"`
	Version uint64                 `json:"version"`
	Offset  uint64                 `json:"offset"`
	// ChangeIDs are those of the changes, in order.
	ChangeIDs []string `json:"change_ids"`
}

// appliedResponse lists the settings offset that each instance has applied.
type appliedResponse struct {
	Applied map[structs.InstanceID]uint64 `json:"applied"`
	Missing []structs.InstanceID          `json:"missing"`
}

func (s *Server) getSetting(c *gin.Context) {
	s.writeSetting(c, s.core.Setting)
}

func (s *Server) settingHistory(c *gin.Context) {
	s.writeSetting(c, s.core.SettingHistory)
}

func (s *Server) writeSetting(c *gin.Context, read func(string) (any, bool)) {
	path := c.Query("path")
	if problem := checkSettingPath(infoOf(c).principal, path); problem != nil {
		s.fail(c, problem)
		return
	}
	value, ok := read(path)
	if !ok {
		s.fail(c, refusal(ReasonNotFound, "there is nothing at this path"))
		return
	}
	s.writeJSON(c, http.StatusOK, value)
}

// checkSettingPath rejects a path that is malformed or that the principal has no
// access to. The empty path is the whole tree.
func checkSettingPath(principal Principal, path string) *Problem {
	if path != "" && (len(path) > maxSettingPathLength || !validTreePath(path)) {
		return refusal(structs.ReasonInvalid, "path: expected segments such as teams/lakeshore/priority")
	}
	if principal.Root() {
		return nil
	}
	team, found := strings.CutPrefix(path, teamsSubtree)
	if !found || !principal.Team.Contains(structs.Team(team)) {
		return refusal(structs.ReasonForbidden, "the key reaches %s%s only", teamsSubtree, principal.Team)
	}
	return nil
}

func (s *Server) putSettings(c *gin.Context) {
	changes, problem := s.readChanges(c)
	if problem != nil {
		s.fail(c, problem)
		return
	}
	info := infoOf(c)
	deadline := s.config.Now().Add(s.config.OperatorTimeout)
	reply, ok := postAndWait[structs.ReplySettings](s, c, structs.SettingsPropose{
		Request: info.id, Changes: changes, Deadline: deadline,
	}, deadline)
	if !ok {
		return
	}
	if reply.Result.Status != structs.SettingsAccepted {
		s.fail(c, settingsProblem(reply.Result))
		return
	}
	response := changesResponse{
		Status: reply.Result.Status, Version: reply.Result.Version, Offset: reply.Result.Offset,
		ChangeIDs: make([]string, 0, len(changes)),
	}
	for _, change := range changes {
		response.ChangeIDs = append(response.ChangeIDs, change.ChangeID)
	}
	s.writeJSON(c, http.StatusOK, response)
}

func (s *Server) readChanges(c *gin.Context) ([]structs.SettingChange, *Problem) {
	body, release, problem := s.readBody(c)
	defer release()
	if problem != nil {
		return nil, problem
	}
	if problem := requireJSON(c.Request); problem != nil {
		return nil, problem
	}
	var request changesRequest
	if problem := decodeStrict(body, &request); problem != nil {
		return nil, problem
	}
	if len(request.Changes) == 0 || len(request.Changes) > maxChanges {
		return nil, refusal(structs.ReasonInvalid, "changes: expected 1 to %d", maxChanges)
	}
	principal := infoOf(c).principal
	changes := make([]structs.SettingChange, 0, len(request.Changes))
	for _, one := range request.Changes {
		change, problem := newChange(principal, one)
		if problem != nil {
			return nil, problem
		}
		changes = append(changes, change)
	}
	return changes, nil
}

func newChange(principal Principal, request changeRequest) (structs.SettingChange, *Problem) {
	if request.Path == "" {
		return structs.SettingChange{}, refusal(structs.ReasonInvalid, "path: expected the path of a setting")
	}
	if problem := checkSettingPath(principal, request.Path); problem != nil {
		problem.Path = request.Path
		return structs.SettingChange{}, problem
	}
	if len(request.ChangeID) > maxChangeIDLength || !printable(request.ChangeID) {
		return structs.SettingChange{}, refusal(structs.ReasonInvalid,
			"change_id: expected printable ASCII, at most %d", maxChangeIDLength)
	}
	if request.ChangeID == "" {
		request.ChangeID = ulid.Make().String()
	}
	value := []byte(request.Value)
	if bytes.Equal(value, []byte("null")) {
		value = nil
	}
	return structs.SettingChange{
		Path: request.Path, Base: request.Base, Value: value,
		ChangeID: request.ChangeID, Author: principal.Name,
	}, nil
}

// settingsProblem returns the problem of a proposal that was not accepted.
func settingsProblem(result structs.SettingsResult) *Problem {
	var problem *Problem
	switch result.Status {
	case structs.SettingsLost:
		problem = refusal(ReasonSettingsLost, "%s", result.Detail)
	case structs.SettingsInvalid:
		problem = refusal(structs.ReasonInvalid, "%s", result.Detail)
	case structs.SettingsNotPublished:
		problem = refusal(structs.ReasonLogUnavailable, "%s", result.Detail).retryAfter(localRetryAfter)
	default:
		problem = newProblem(ReasonSettingsUnknown, outcomeUnknown, result.Detail)
	}
	problem.Path, problem.Expected = result.Path, result.Expected
	problem.Version, problem.Offset, problem.Winner = result.Version, result.Offset, result.Winner
	return problem
}

// settingsApplied returns the settings offset that each instance has applied.
func (s *Server) settingsApplied(c *gin.Context) {
	deadline := s.config.Now().Add(s.config.OperatorTimeout)
	reply, ok := postAndWait[structs.ReplyApplied](s, c, structs.SettingsApplied{
		Request: infoOf(c).id, Deadline: deadline,
	}, deadline)
	if ok {
		s.writeJSON(c, http.StatusOK, appliedResponse{
			Applied: reply.Applied, Missing: append([]structs.InstanceID{}, reply.Missing...),
		})
	}
}
