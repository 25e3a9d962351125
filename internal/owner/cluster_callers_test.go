package owner

import (
	"fmt"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// submit sends a new request to the owner that the gateway prefers.
func (cl *cluster) submit(call *structs.Call, remaining time.Duration) *request {
	cl.nextID++
	r := &request{
		id: structs.RequestID(fmt.Sprintf("r%d", cl.nextID)), call: call, at: cl.now, deadline: cl.now.Add(remaining),
	}
	cl.requests[r.id] = r
	cl.allRequests = append(cl.allRequests, r)
	cl.route(r, "", nil)
	cl.after(remaining, func() { cl.expire(r) })
	return r
}

func (cl *cluster) route(r *request, to structs.InstanceID, suspects []structs.InstanceID) {
	if r.outcome != nil {
		return
	}
	if to == "" {
		to, _ = view{cluster: cl}.OwnerOf(structs.ShardRef{})
	}
	r.to = to
	r.attempts++
	m := &structs.Submit{
		Request: r.id, Call: r.call, Remaining: r.deadline.Sub(cl.now), NextPiece: len(r.pieces), ReceivedRun: r.run,
		Suspects: suspects, Resubmitted: r.resubmitted,
	}
	cl.tracef("submit %s %s %d key %s to %s resubmitted %v", r.id, r.call.Lane, r.call.Number, r.call.Key, to, r.resubmitted)
	cl.sendMessage(testGateway, to, m)
}

// resubmit sends the request to another owner after one failed.
func (cl *cluster) resubmit(r *request, failed structs.InstanceID) {
	r.resubmitted = true
	cl.route(r, "", []structs.InstanceID{failed})
}

func (cl *cluster) expire(r *request) {
	if r.outcome == nil {
		cl.end(r, structs.Outcome{Kind: structs.OutcomeUnknown, Reason: "gateway-deadline"})
	}
}

func (cl *cluster) end(r *request, out structs.Outcome) {
	cl.tracef("end %s key %s kind %d %s %q", r.id, r.call.Key, out.Kind, out.Reason, out.Text)
	r.outcome, r.endedAt = &out, cl.now
}

// gateway accepts replies only from the owner that was sent the request last,
// except answers of the run whose pieces it has.
func (cl *cluster) gateway(from structs.InstanceID, msg structs.Message) {
	switch m := msg.(type) {
	case *structs.ProgramReply:
		cl.programs[m.Request] = *m
	case *structs.CallChunk:
		if r := cl.requests[m.Request]; r.to == from && r.outcome == nil && m.Chunk.First <= len(r.pieces) {
			r.pieces, r.run = append(r.pieces[:m.Chunk.First], m.Chunk.Texts...), m.Run
		}
	case *structs.CallEnd:
		r := cl.requests[m.Request]
		if r.outcome == nil && (r.to == from || m.Outcome.Kind == structs.OutcomeAnswered && m.Run == r.run) {
			cl.end(r, m.Outcome)
		}
	case *structs.NotOwner:
		r := cl.requests[m.Request]
		if r == nil || r.outcome != nil || r.to != from {
			return
		}
		cl.after(20*time.Millisecond, func() { cl.route(r, m.Owner, nil) })
	}
}

// program opens a program and waits until that is journaled.
func (cl *cluster) program(n byte) structs.ProgramID {
	id := structs.NewProgramID(testRegion, testStart, [10]byte{9: n})
	cl.operate(id, structs.ProgramOpen)
	return id
}

func (cl *cluster) operate(id structs.ProgramID, op structs.ProgramOp) structs.ProgramReply {
	cl.nextID++
	request := structs.RequestID(fmt.Sprintf("p%d", cl.nextID))
	to, _ := view{cluster: cl}.OwnerOf(structs.ShardRef{})
	cl.sendMessage(testGateway, to, &structs.ProgramRequest{
		Request: request, Op: op, Program: id, Team: testTeam, Remaining: time.Second,
	})
	cl.run(300 * time.Millisecond)
	return cl.programs[request]
}

// testCall returns a call of a program's default lane.
func testCall(id structs.ProgramID, number uint64, notRepeatable bool) *structs.Call {
	c := &structs.Call{
		Program: id, Team: testTeam, Number: number, Key: fmt.Sprintf("k%d", number), Service: testChat,
		Kind: structs.CallChat, Digest: structs.Digest{byte(number)}, PromptTokens: 100, MaxTokens: 100,
	}
	if notRepeatable {
		c.NotRepeatable, c.Service, c.Kind, c.Fee = true, testFiling, structs.CallPlain, 10
		c.PromptTokens, c.MaxTokens = 0, 0
	}
	return c
}

// sendsOf returns the number of sends for a call's key.
func (cl *cluster) sendsOf(c *structs.Call) int {
	n := 0
	for _, s := range cl.sends {
		if s.call.Program == c.Program && s.call.Key == c.Key {
			n++
		}
	}
	return n
}

func (r *request) kind() structs.OutcomeKind {
	if r.outcome == nil {
		return 0
	}
	return r.outcome.Kind
}

func (r *request) reason() structs.Reason {
	if r.outcome == nil {
		return "none yet"
	}
	return r.outcome.Reason
}

// expect fails the test unless the request has that outcome.
func (cl *cluster) expect(r *request, kind structs.OutcomeKind, reason structs.Reason) {
	cl.t.Helper()
	if r.kind() != kind || r.reason() != reason {
		cl.t.Fatalf("request %s: kind %d reason %q, want %d %q\n%s", r.id, r.kind(), r.reason(), kind, reason,
			strings.Join(cl.trace, "\n"))
	}
}
