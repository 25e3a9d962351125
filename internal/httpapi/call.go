package httpapi

import (
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// newCall makes the part of a call that chat completions and plain requests
// share, and the deadline of its answer.
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

// singleProgram names the program of a call that was made without one.
func (s *Server) singleProgram(call *structs.Call, policy structs.Policy, now time.Time) (structs.ProgramID, *Problem) {
	if call.Key == "" {
		return newProgramID(s.config.Region, now), nil
	}
	return keyedProgramID(s.config.Region, call.Team, purposeSingle, call.Key,
		now, keyPeriod(policy), call.NotRepeatable)
}

// keyPeriod is the period of program identifiers made from undated keys. It is
// half the idempotency window, since an identifier carries the period's start
// as its creation time and must not be too old before the period ends.
func keyPeriod(policy structs.Policy) time.Duration {
	period := policy.IdempotencyWindow / 2
	if period <= 0 {
		period = structs.DefaultPolicy().IdempotencyWindow / 2
	}
	return period
}

// callKey gives the idempotency key of a call: the caller's, or one made from
// lane and number.
func callKey(h callHeaders) string {
	if h.key != "" || h.number == 0 {
		return h.key
	}
	return string(h.lane) + "/" + strconv.FormatUint(h.number, 10)
}

// callTimeout gives the policy's bound or the caller's, whichever ends first; 0
// is no bound.
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
