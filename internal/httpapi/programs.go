package httpapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/banyanglade/banyanglade/internal/structs"
)

const (
	programsRoute = "/v1/programs/"
	defaultLimit  = 100
	maxLimit      = 10_000
)

// programView is the JSON representation of a program.
type programView struct {
	ID          structs.ProgramID       `json:"id"`
	Team        structs.Team            `json:"team"`
	Shard       structs.ShardID         `json:"shard"`
	Owner       structs.InstanceID      `json:"owner"`
	State       structs.ProgramState    `json:"state"`
	Reason      string                  `json:"reason,omitempty"`
	Created     time.Time               `json:"created"`
	Updated     time.Time               `json:"updated"`
	Turns       int64                   `json:"turns"`
	ServedMS    int64                   `json:"served_ms"`
	TokensSpent int64                   `json:"tokens_spent"`
	TokensHeld  int64                   `json:"tokens_held"`
	TokenLimit  int64                   `json:"token_limit"`
	FeesSpent   int64                   `json:"fees_spent"`
	FeesHeld    int64                   `json:"fees_held"`
	FeeLimit    int64                   `json:"fee_limit"`
	Lanes       map[structs.Lane]uint64 `json:"lanes"`
	Targets     []structs.TargetID      `json:"targets"`
}

func viewProgram(info structs.ProgramInfo) programView {
	return programView{
		ID: info.ID, Team: info.Team, Shard: info.Shard, Owner: info.Owner,
		State: info.State, Reason: info.Reason, Created: info.Created, Updated: info.Updated,
		Turns: info.Turns, ServedMS: info.Served.Milliseconds(),
		TokensSpent: info.TokensSpent, TokensHeld: info.TokensHeld, TokenLimit: info.TokenLimit,
		FeesSpent: info.FeesSpent, FeesHeld: info.FeesHeld, FeeLimit: info.FeeLimit,
		Lanes: info.Lanes, Targets: info.Targets,
	}
}

// programList is the response to GET /v1/programs.
type programList struct {
	Programs []programView `json:"programs"`
	// Missing lists the instances that did not reply.
	Missing []structs.InstanceID `json:"missing"`
}

// openRequest is the optional body of POST /v1/programs.
type openRequest struct {
	Team structs.Team `json:"team"`
}

func (s *Server) openProgram(c *gin.Context) {
	team, problem := s.openTeam(c)
	if problem != nil {
		s.fail(c, problem)
		return
	}
	id, problem := s.openID(c, team)
	if problem != nil {
		s.fail(c, problem)
		return
	}
	info, ok := s.runProgramOp(c, structs.ProgramOpen, id, team)
	if !ok {
		return
	}
	c.Header("Location", programsRoute+string(info.ID))
	s.writeJSON(c, http.StatusCreated, viewProgram(info))
}

// openTeam returns the team of a program to open, from the body or the header.
func (s *Server) openTeam(c *gin.Context) (structs.Team, *Problem) {
	body, release, problem := s.readBody(c)
	defer release()
	if problem != nil {
		return "", problem
	}
	h, problem := parseCallHeaders(c.Request.Header)
	if problem != nil {
		return "", problem
	}
	var request openRequest
	if len(body) > 0 {
		if problem := decodeStrict(body, &request); problem != nil {
			return "", problem
		}
	}
	if request.Team != "" && h.team != "" && request.Team != h.team {
		return "", refusal(structs.ReasonInvalid, "the header %s and the body differ", HeaderTeam)
	}
	if request.Team == "" {
		request.Team = h.team
	}
	team, problem := teamFor(infoOf(c).principal, request.Team)
	if problem == nil && team == "" {
		problem = refusal(structs.ReasonInvalid, "a key of the whole tree must name a team")
	}
	return team, problem
}

// openID returns the identifier of a program to open. With an idempotency key,
// retries get the same identifier.
func (s *Server) openID(c *gin.Context, team structs.Team) (structs.ProgramID, *Problem) {
	now := s.config.Now()
	key := c.GetHeader(HeaderIdempotencyKey)
	if key == "" {
		return newProgramID(s.config.Region, now), nil
	}
	period := keyPeriod(s.core.Settings().Policy(team))
	return keyedProgramID(s.config.Region, team, purposeOpen, key, now, period, true)
}

func (s *Server) showProgram(c *gin.Context) {
	s.handleProgramOp(c, structs.ProgramShow)
}

// closeProgram closes a program for its caller, and cancels it for an
// operator.
func (s *Server) closeProgram(c *gin.Context) {
	op := structs.ProgramClose
	if infoOf(c).principal.Operator {
		op = structs.ProgramCancel
	}
	s.handleProgramOp(c, op)
}

func (s *Server) handleProgramOp(c *gin.Context, op structs.ProgramOp) {
	id := structs.ProgramID(c.Param("id"))
	if !validProgramID(id) {
		s.fail(c, refusal(structs.ReasonUnknownProgram, "the path does not name a program"))
		return
	}
	info, ok := s.runProgramOp(c, op, id, infoOf(c).principal.Team)
	if ok {
		s.writeJSON(c, http.StatusOK, viewProgram(info))
	}
}

// runProgramOp performs an operation on a program through the core. On failure
// it responds with the problem and returns false.
func (s *Server) runProgramOp(c *gin.Context, op structs.ProgramOp, id structs.ProgramID, team structs.Team) (structs.ProgramInfo, bool) {
	info := infoOf(c)
	info.program, info.team = id, team
	deadline := s.config.Now().Add(s.config.OperatorTimeout)
	reply, ok := postAndWait[structs.ReplyProgram](s, c, structs.CallerProgram{
		Request: info.id, Op: op, Program: id, Team: team, Deadline: deadline,
	}, deadline)
	if !ok {
		return structs.ProgramInfo{}, false
	}
	if reply.Outcome.Kind != structs.OutcomeAnswered {
		s.fail(c, problemOf(reply.Outcome))
		return structs.ProgramInfo{}, false
	}
	s.recordAnswer(c, reply.Outcome)
	return reply.Info, true
}

// listPrograms lists the programs of a team on all instances of the region.
func (s *Server) listPrograms(c *gin.Context) {
	info := infoOf(c)
	team, problem := teamFor(info.principal, structs.Team(c.Query("team")))
	if problem != nil {
		s.fail(c, problem)
		return
	}
	limit, problem := queryLimit(c.Query("limit"))
	if problem != nil {
		s.fail(c, problem)
		return
	}
	info.team = team
	deadline := s.config.Now().Add(s.config.OperatorTimeout)
	reply, ok := postAndWait[structs.ReplyPrograms](s, c, structs.CallerPrograms{
		Request: info.id, Team: team, Limit: limit, Deadline: deadline,
	}, deadline)
	if !ok {
		return
	}
	list := programList{Programs: []programView{}, Missing: append([]structs.InstanceID{}, reply.Missing...)}
	for _, program := range reply.Programs {
		list.Programs = append(list.Programs, viewProgram(program))
	}
	s.writeJSON(c, http.StatusOK, list)
}

func queryLimit(value string) (int, *Problem) {
	if value == "" {
		return defaultLimit, nil
	}
	limit, err := strconv.Atoi(value)
	if err != nil || limit < 1 || limit > maxLimit {
		return 0, refusal(structs.ReasonInvalid, "limit: expected a number from 1 to %d", maxLimit)
	}
	return limit, nil
}
