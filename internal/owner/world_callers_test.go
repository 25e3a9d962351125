package owner

import (
	"fmt"
	"strings"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// submit sends a new request to the owner that the gateway thinks of.
func (w *world) submit(call *structs.Call, remaining time.Duration) *request {
	w.nextID++
	r := &request{
		id: structs.RequestID(fmt.Sprintf("r%d", w.nextID)), call: call, at: w.now, deadline: w.now.Add(remaining),
	}
	w.requests[r.id] = r
	w.all = append(w.all, r)
	w.route(r, "", nil)
	w.after(remaining, func() { w.expire(r) })
	return r
}

func (w *world) route(r *request, to structs.InstanceID, suspects []structs.InstanceID) {
	if r.outcome != nil {
		return
	}
	if to == "" {
		to, _ = view{w: w}.OwnerOf(structs.ShardRef{})
	}
	r.to = to
	r.tried++
	m := &structs.Submit{
		Request: r.id, Call: r.call, Remaining: r.deadline.Sub(w.now), NextPiece: len(r.pieces), ReceivedRun: r.run,
		Suspects: suspects, Resubmitted: r.resub,
	}
	w.log("submit %s %s %d key %s to %s resubmitted %v", r.id, r.call.Lane, r.call.Number, r.call.Key, to, r.resub)
	w.reply(testGateway, to, m)
}

// resubmit asks another owner after one was lost.
func (w *world) resubmit(r *request, lost structs.InstanceID) {
	r.resub = true
	w.route(r, "", []structs.InstanceID{lost})
}

func (w *world) expire(r *request) {
	if r.outcome == nil {
		w.end(r, structs.Outcome{Kind: structs.OutcomeUnknown, Reason: "gateway-deadline"})
	}
}

func (w *world) end(r *request, out structs.Outcome) {
	w.log("end %s key %s kind %d %s %q", r.id, r.call.Key, out.Kind, out.Reason, out.Text)
	r.outcome, r.endedAt = &out, w.now
}

// gateway takes answers only from the owner that it asked last: an earlier one
// cannot speak for it.
func (w *world) gateway(from structs.InstanceID, msg structs.Message) {
	switch m := msg.(type) {
	case *structs.ProgramReply:
		w.programs[m.Request] = *m
	case *structs.CallChunk:
		if r := w.requests[m.Request]; r.to == from && r.outcome == nil && m.Chunk.First <= len(r.pieces) {
			r.pieces, r.run = append(r.pieces[:m.Chunk.First], m.Chunk.Texts...), m.Run
		}
	case *structs.CallEnd:
		r := w.requests[m.Request]
		if r.outcome == nil && (r.to == from || m.Outcome.Kind == structs.OutcomeAnswered && m.Run == r.run) {
			w.end(r, m.Outcome)
		}
	case *structs.NotOwner:
		r := w.requests[m.Request]
		if r == nil || r.outcome != nil || r.to != from {
			return
		}
		w.after(20*time.Millisecond, func() { w.route(r, m.Owner, nil) })
	}
}

// program opens a program and waits until that is journalled.
func (w *world) program(n byte) structs.ProgramID {
	id := structs.NewProgramID(testRegion, testStart, [10]byte{9: n})
	w.operate(id, structs.ProgramOpen)
	return id
}

func (w *world) operate(id structs.ProgramID, op structs.ProgramOp) structs.ProgramReply {
	w.nextID++
	request := structs.RequestID(fmt.Sprintf("p%d", w.nextID))
	to, _ := view{w: w}.OwnerOf(structs.ShardRef{})
	w.reply(testGateway, to, &structs.ProgramRequest{
		Request: request, Op: op, Program: id, Team: testTeam, Remaining: time.Second,
	})
	w.run(300 * time.Millisecond)
	return w.programs[request]
}

// testCall makes a call of a program's own lane.
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

// sendsOf counts the sends of a call's key.
func (w *world) sendsOf(c *structs.Call) int {
	n := 0
	for _, s := range w.sends {
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

// want fails the test unless the request has that outcome.
func (w *world) want(r *request, kind structs.OutcomeKind, reason structs.Reason) {
	w.t.Helper()
	if r.kind() != kind || r.reason() != reason {
		w.t.Fatalf("request %s: kind %d reason %q, want %d %q\n%s", r.id, r.kind(), r.reason(), kind, reason,
			strings.Join(w.trace, "\n"))
	}
}
