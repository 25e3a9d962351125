package owner

import (
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// The previous owner answered a call and lost the shard before it recorded the
// response. When the record arrives, call 2 starts if the record is that of call
// 1, and ends with the recorded outcome if it is its own.
func TestDoneOfPreviousOwnerUnblocksLane(t *testing.T) {
	if cmds := recordFromPreviousOwner(t, 1); countPermitRequests(cmds) != 1 {
		t.Errorf("call 2 did not start after call 1 was recorded: %v", cmds)
	}
	cmds := recordFromPreviousOwner(t, 2)
	if out := lastOutcome(cmds, "r"); countPermitRequests(cmds) != 0 || out == nil || !out.Replayed {
		t.Errorf("call 2 was recorded, but its request got %v", cmds)
	}
}

// recordFromPreviousOwner returns the commands that follow the previous owner's
// record of a call, while call 2 waits.
func recordFromPreviousOwner(t *testing.T, number uint64) []structs.Command {
	cl := newCluster(t, 1, 1)
	self := cl.ids[0]
	cfg := structs.DefaultInstanceConfig(structs.Peer{ID: self, Region: testRegion}, "second")
	o := New(cfg, view{cluster: cl, self: self}, view{cluster: cl, self: self})
	now := cl.now
	id := structs.NewProgramID(testRegion, now, [10]byte{7})
	first, second := testCall(id, number, false), testCall(id, 2, false)
	stream := structs.ShardRef{Region: testRegion, Shard: structs.ShardOf(id, cfg.Shards)}.Stream()

	var records []wire.LogRecord
	add := func(epoch structs.Epoch, writer string, sequence uint64, body journal.Body) wire.LogRecord {
		data := journal.Encode(journal.Record{
			Header: journal.Header{Epoch: epoch, Writer: writer, Sequence: sequence}, Body: body,
		})
		records = append(records, wire.LogRecord{Offset: uint64(len(records)), Data: data})
		return records[len(records)-1]
	}
	add(1, "old/1", 1, &journal.Claim{Instance: "old"})
	add(1, "old/1", 2, &journal.Open{Program: id, Team: second.Team})

	o.Tick(now, []structs.Event{structs.PeerMessage{From: self, Msg: &structs.Submit{Request: "r", Call: second, Remaining: time.Minute}}})
	o.Tick(now, []structs.Event{structs.LogRead{Stream: stream, From: 1, Records: records[1:], Next: 2, End: 2}})
	cmds := o.Tick(now, []structs.Event{structs.LogRead{Stream: stream, Records: records, Next: 2, End: 2}})
	claim := findAppend(t, cmds)
	claimed := wire.LogRecord{Offset: 2, Data: claim.Records[0]}
	records = append(records, claimed)
	cmds = o.Tick(now, []structs.Event{structs.LogRead{Stream: stream, From: 2, Records: records[2:], Next: 3, End: 3}})
	if countPermitRequests(cmds) != 0 {
		t.Fatal("call 2 started before call 1 was known to be done")
	}
	done := add(1, "old/1", 3, &journal.Done{
		CallID:  journal.CallID{Program: id, Team: first.Team, Number: number, Key: first.Key, Digest: first.Digest, Run: "old-run"},
		Outcome: structs.Outcome{Kind: structs.OutcomeAnswered},
	})
	return o.Tick(now, []structs.Event{structs.LogRead{Stream: stream, From: 3, Records: []wire.LogRecord{done}, Next: 4, End: 4}})
}

func findAppend(t *testing.T, cmds []structs.Command) structs.LogAppend {
	t.Helper()
	for _, cmd := range cmds {
		if a, ok := cmd.(structs.LogAppend); ok {
			return a
		}
	}
	t.Fatalf("no append in %v", cmds)
	return structs.LogAppend{}
}

func countPermitRequests(cmds []structs.Command) int {
	n := 0
	for _, cmd := range cmds {
		if send, ok := cmd.(structs.SendPeer); ok {
			if _, ok := send.Msg.(*structs.PermitRequest); ok {
				n++
			}
		}
	}
	return n
}
