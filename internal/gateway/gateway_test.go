package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/members"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

var start = time.Unix(1_700_000_000, 0)

const request = structs.RequestID("g-1")

// harness runs a gateway with three peers and one streamed call submitted.
type harness struct {
	t    *testing.T
	view *members.View
	g    *Gateway
	// owner is the instance that was last sent the call.
	owner structs.InstanceID
}

func newHarness(t *testing.T) *harness {
	view := members.New(structs.Peer{ID: "g", Region: "r"})
	list := wire.MemberList{Version: 1}
	for _, id := range []string{"a", "b", "c"} {
		list.Members = append(list.Members, wire.Member{ID: id, Role: wire.MemberRoleInstance, State: wire.MemberStateLive, Region: "r"})
	}
	view.Tick(start, []structs.Event{structs.MembersListed{List: list}})
	cfg := structs.DefaultInstanceConfig(view.Self(), "1")
	h := &harness{t: t, view: view, g: New(cfg, view)}
	h.tick(start, structs.CallerSubmit{
		Request: request, Deadline: start.Add(time.Minute),
		Call: &structs.Call{Program: structs.NewProgramID("r", start, [10]byte{1}), Kind: structs.CallChat, Stream: true, Fresh: true},
	})
	return h
}

// tick ticks the view and then the gateway, as the instance does, and records
// which instance was sent the call.
func (h *harness) tick(now time.Time, events ...structs.Event) []structs.Command {
	h.view.Tick(now, events)
	cmds := h.g.Tick(now, events)
	for _, cmd := range cmds {
		if send, ok := cmd.(structs.SendPeer); ok {
			if _, ok := send.Msg.(*structs.Submit); ok {
				h.owner = send.To
			}
		}
	}
	return cmds
}

func (h *harness) from(msg structs.Message) structs.Event {
	return structs.PeerMessage{From: h.owner, Msg: msg}
}

func (h *harness) finalOutcome(cmds []structs.Command) structs.Outcome {
	h.t.Helper()
	var ends []structs.Outcome
	for _, cmd := range cmds {
		if end, ok := cmd.(structs.ReplyOutcome); ok {
			ends = append(ends, end.Outcome)
		}
	}
	if len(ends) != 1 {
		h.t.Fatalf("got %d final replies in %v, want 1", len(ends), cmds)
	}
	return ends[0]
}

func TestFailoverDoesNotRepeatRelayedPieces(t *testing.T) {
	h := newHarness(t)
	first := h.owner
	h.tick(start, h.from(&structs.CallChunk{Request: request, Chunk: structs.Chunk{Texts: []string{"one ", "two "}}}))
	h.tick(start, structs.PeerDown{Peer: first})
	if h.owner == first {
		t.Fatal("the call was not handed to another instance")
	}
	cmds := h.tick(start, h.from(&structs.CallChunk{Request: request, Chunk: structs.Chunk{First: 1, Texts: []string{"two ", "three"}}}))
	chunk, ok := cmds[0].(structs.ReplyChunk)
	if !ok || chunk.Chunk.First != 2 || len(chunk.Chunk.Texts) != 1 {
		t.Fatalf("relayed %v, want only the third piece", cmds)
	}
	out := h.finalOutcome(h.tick(start, h.from(&structs.CallEnd{Request: request, Outcome: structs.Outcome{Kind: structs.OutcomeAnswered, Text: "one two three"}})))
	if out.Kind != structs.OutcomeAnswered {
		t.Fatalf("outcome %+v", out)
	}
}

func TestDifferentTextIsNotSpliced(t *testing.T) {
	h := newHarness(t)
	h.tick(start, h.from(&structs.CallChunk{Request: request, Chunk: structs.Chunk{Texts: []string{"one "}}}))
	h.tick(start, structs.PeerDown{Peer: h.owner})
	out := h.finalOutcome(h.tick(start, h.from(&structs.CallEnd{Request: request, Outcome: structs.Outcome{Kind: structs.OutcomeAnswered, Text: "uno due"}})))
	if out.Kind != structs.OutcomeUnknown {
		t.Fatalf("outcome %+v, want unknown", out)
	}
}

func TestPiecesOfAnotherRunAreNotJoined(t *testing.T) {
	h := newHarness(t)
	h.tick(start, h.from(&structs.CallChunk{Request: request, Run: "run-1", Chunk: structs.Chunk{Texts: []string{"one "}}}))
	cmds := h.tick(start, structs.PeerDown{Peer: h.owner})
	submit, ok := cmds[0].(structs.SendPeer).Msg.(*structs.Submit)
	if !ok || submit.NextPiece != 1 || submit.ReceivedRun != "run-1" {
		t.Fatalf("handed over as %+v", cmds)
	}
	cmds = h.tick(start, h.from(&structs.CallChunk{Request: request, Run: "run-2", Chunk: structs.Chunk{First: 1, Texts: []string{"due"}}}))
	if len(cmds) != 0 {
		t.Fatalf("relayed %v", cmds)
	}
}

// TestSubmitListsSuspects checks that a search after a retry delay, which starts
// from the membership view alone, still sends the unreachable instances.
func TestSubmitListsSuspects(t *testing.T) {
	h := newHarness(t)
	failed := h.owner
	h.tick(start, structs.PeerDown{Peer: failed})
	h.tick(start, h.from(&structs.NotOwner{Request: request, Owner: failed}))
	cmds := h.tick(h.g.NextWake())
	submit, ok := cmds[0].(structs.SendPeer).Msg.(*structs.Submit)
	if !ok || !slices.Contains(submit.Suspects, failed) {
		t.Fatalf("sent %+v, want %s among the suspects", cmds[0], failed)
	}
}

func TestReplyOfFormerOwnerIsDropped(t *testing.T) {
	h := newHarness(t)
	first := h.owner
	h.tick(start, structs.PeerDown{Peer: first})
	late := structs.PeerMessage{From: first, Msg: &structs.CallEnd{Request: request, Outcome: structs.Outcome{Kind: structs.OutcomeAnswered}}}
	if cmds := h.tick(start, late); len(cmds) != 0 {
		t.Fatalf("late reply relayed: %v", cmds)
	}
}

func TestNotRunRequiresEveryHolder(t *testing.T) {
	h := newHarness(t)
	h.tick(start, structs.PeerDown{Peer: h.owner})
	out := h.finalOutcome(h.tick(start, h.from(&structs.CallEnd{Request: request, Outcome: structs.Outcome{Kind: structs.OutcomeNotRun, Reason: structs.ReasonOverloaded}})))
	if out.Kind != structs.OutcomeUnknown {
		t.Fatalf("outcome %+v, want unknown: the failed owner may have run the call", out)
	}
}

func TestNoOwnerEndsAsNotRun(t *testing.T) {
	h := newHarness(t)
	now := start
	for i := 0; i < 100; i++ {
		cmds := h.tick(now, h.from(&structs.NotOwner{Request: request}))
		if len(cmds) > 0 {
			if _, ok := cmds[0].(structs.ReplyOutcome); ok {
				if out := h.finalOutcome(cmds); out.Kind != structs.OutcomeNotRun || out.RetryAfter == 0 {
					t.Fatalf("outcome %+v", out)
				}
				return
			}
		}
		now = h.g.NextWake()
		h.tick(now)
	}
	t.Fatal("the search for an owner did not end")
}

func TestDeadlineEndsTheRequestOnce(t *testing.T) {
	h := newHarness(t)
	out := h.finalOutcome(h.tick(start.Add(time.Minute + deadlineGrace)))
	if out.Kind != structs.OutcomeUnknown || out.Reason != structs.ReasonDeadline {
		t.Fatalf("outcome %+v", out)
	}
	if h.g.InFlight() != 0 {
		t.Fatal("the request is still pending")
	}
}

func TestLiveOwnerIsFoundDuringLogOutage(t *testing.T) {
	h := newHarness(t)
	first := h.owner
	refusal := structs.Outcome{Kind: structs.OutcomeNotRun, Reason: structs.ReasonLogUnavailable, RetryAfter: time.Second}
	h.tick(start, h.from(&structs.CallEnd{Request: request, Outcome: refusal}))
	if h.owner == first {
		t.Fatal("no other instance was tried")
	}
	out := h.finalOutcome(h.tick(start, h.from(&structs.CallEnd{Request: request, Outcome: structs.Outcome{Kind: structs.OutcomeAnswered}})))
	if out.Kind != structs.OutcomeAnswered {
		t.Fatalf("outcome %+v", out)
	}
	owner := h.owner
	h.tick(start, structs.CallerSubmit{
		Request: "g-2", Deadline: start.Add(time.Minute),
		Call: &structs.Call{Program: structs.NewProgramID("r", start, [10]byte{1}), Kind: structs.CallChat},
	})
	if h.owner != owner {
		t.Fatalf("the next call went to %s, not to the owner %s", h.owner, owner)
	}
}

func TestNoOwnerDuringLogOutage(t *testing.T) {
	h := newHarness(t)
	refusal := structs.Outcome{Kind: structs.OutcomeNotRun, Reason: structs.ReasonLogUnavailable, RetryAfter: time.Second}
	cmds := h.tick(start, h.from(&structs.CallEnd{Request: request, Outcome: refusal}))
	for range maxFallbacks {
		if h.g.InFlight() == 0 {
			break
		}
		cmds = h.tick(start, h.from(&structs.NotOwner{Request: request}))
	}
	out := h.finalOutcome(cmds)
	if out.Kind != structs.OutcomeNotRun || out.Reason != structs.ReasonLogUnavailable {
		t.Fatalf("outcome %+v", out)
	}
}
