package httpapi

import (
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// newCall returns a call with the fields common to chat completions and plain
// requests set, and the deadline of its response.
func (s *Server) newCall(c *gin.Context, h callHeaders, service structs.Service) (*structs.Call, time.Time, *Problem) {
	info := infoOf(c)
	team, problem := teamFor(info.principal, h.team)
	if problem == nil && team == "" {
		problem = refusal(structs.ReasonInvalid, "a key of the whole tree needs %s", HeaderTeam)
	}
	if problem != nil {
		return nil, time.Time{}, problem
	}
	policy := s.core.Settings().Policy(team)
	now := s.config.Now()
	call := &structs.Call{
		Program: h.program, Team: team, Lane: h.lane, Number: h.number,
		Key: callKey(h), Service: service.Name,
		NotRepeatable: h.notRepeatable || service.NotRepeatable,
		Single:        h.program == "", Fork: h.fork, Fee: h.fee,
		Fresh: h.fresh || callKey(h) == "",
	}
	if call.Single {
		call.Program, problem = s.singleProgram(call, policy, now)
	}
	info.program, info.team, info.lane = call.Program, team, call.Lane
	info.number, info.service = call.Number, service.Name
	return call, now.Add(callTimeout(policy, h.timeout)), problem
}

// singleProgram returns the program id of a call that names no program.
func (s *Server) singleProgram(call *structs.Call, policy structs.Policy, now time.Time) (structs.ProgramID, *Problem) {
	if call.Key == "" {
		return newProgramID(s.config.Region, now), nil
	}
	return keyedProgramID(s.config.Region, call.Team, purposeSingle, call.Key,
		now, keyPeriod(policy), call.NotRepeatable)
}

// keyPeriod returns the period of program ids derived from undated keys. It is
// half the idempotency window: such an id has the start of the period as its
// creation time and must not be too old by the end of it.
func keyPeriod(policy structs.Policy) time.Duration {
	period := policy.IdempotencyWindow / 2
	if period <= 0 {
		period = structs.DefaultPolicy().IdempotencyWindow / 2
	}
	return period
}

// callKey returns the idempotency key of a call: the caller's, or one derived
// from lane and number.
func callKey(h callHeaders) string {
	if h.key != "" || h.number == 0 {
		return h.key
	}
	return string(h.lane) + "/" + strconv.FormatUint(h.number, 10)
}

// callTimeout returns the shorter of the policy's and the caller's timeout,
// where 0 is unset.
func callTimeout(policy structs.Policy, caller time.Duration) time.Duration {
	timeout := policy.CallTimeout
	if timeout <= 0 {
		timeout = structs.DefaultPolicy().CallTimeout
	}
	if caller > 0 {
		timeout = min(timeout, caller)
	}
	return timeout
}
