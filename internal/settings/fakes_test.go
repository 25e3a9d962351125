package settings

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// testStart is the start of the virtual clock.
var testStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// fakeMembers lists instances of one region.
type fakeMembers struct {
	structs.Members
	peers     []structs.Peer
	suspected map[structs.InstanceID]bool
}

func (m *fakeMembers) Peers() []structs.Peer                { return m.peers }
func (m *fakeMembers) Suspected(id structs.InstanceID) bool { return m.suspected[id] }

// appendFault is what happens to the next append.
type appendFault int

const (
	appendOK appendFault = iota
	appendReplyLost
	appendLost
	appendRefused
	appendSilent // took effect, but no answer of any kind comes
)

// fakeWorld drives instances' proposers over one fake log, on a virtual clock.
// Reads are explicit: read delivers what a tail would.
type fakeWorld struct {
	t       *testing.T
	now     time.Time
	records []wire.LogRecord
	first   uint64
	end     uint64
	down    bool
	faults  []appendFault
	nodes   map[structs.InstanceID]*fakeNode
	order   []structs.InstanceID
	members *fakeMembers
	// cut are instances whose messages to others are lost.
	cut map[structs.InstanceID]bool
}

type fakeNode struct {
	*Proposer
	id      structs.InstanceID
	from    uint64
	queue   []structs.Event
	replies map[structs.RequestID]structs.SettingsResult
	appends int
}

func newWorld(t *testing.T) *fakeWorld {
	return &fakeWorld{
		t: t, now: testStart, nodes: make(map[structs.InstanceID]*fakeNode),
		members: &fakeMembers{suspected: make(map[structs.InstanceID]bool)},
		cut:     make(map[structs.InstanceID]bool),
	}
}

// start makes an instance and gives it its first tick.
func (w *fakeWorld) start(id structs.InstanceID) *fakeNode {
	peer := structs.Peer{ID: id}
	cfg := structs.DefaultInstanceConfig(peer, "1")
	n := &fakeNode{
		Proposer: NewProposer(cfg, NewTree(), w.members), id: id,
		replies: make(map[structs.RequestID]structs.SettingsResult),
	}
	if _, known := w.nodes[id]; !known {
		w.members.peers = append(w.members.peers, peer)
		w.order = append(w.order, id)
	}
	w.nodes[id] = n
	w.tick(n)
	return n
}

// tick gives a node its waiting events and carries out its commands.
func (w *fakeWorld) tick(n *fakeNode, events ...structs.Event) {
	queue := append(n.queue, events...)
	n.queue = nil
	for _, cmd := range n.Tick(w.now, queue) {
		w.carry(n, cmd)
	}
}

func (w *fakeWorld) carry(n *fakeNode, cmd structs.Command) {
	switch cmd := cmd.(type) {
	case structs.LogTail:
		n.from = cmd.From
	case structs.LogAppend:
		n.appends++
		w.append(n, cmd)
	case structs.SendPeer:
		if to := w.nodes[cmd.To]; to != nil && !w.cut[n.id] && !w.cut[cmd.To] {
			to.queue = append(to.queue, structs.PeerMessage{From: n.id, Msg: cmd.Msg})
		}
	case structs.ReplySettings:
		if old, twice := n.replies[cmd.Request]; twice {
			w.t.Errorf("%s answered twice: %v, %v", cmd.Request, old, cmd.Result)
		}
		n.replies[cmd.Request] = cmd.Result
	}
}

func (w *fakeWorld) append(n *fakeNode, cmd structs.LogAppend) {
	if cmd.ID&appendIDBit == 0 || cmd.Stream != structs.SettingsStream {
		w.t.Errorf("append %x to %s", cmd.ID, cmd.Stream)
	}
	fault := appendOK
	if len(w.faults) > 0 {
		fault, w.faults = w.faults[0], w.faults[1:]
	}
	if w.down {
		fault = appendRefused
	}
	first := w.end
	if fault == appendOK || fault == appendReplyLost || fault == appendSilent {
		w.store(cmd.Records...)
	}
	switch fault {
	case appendOK:
		n.queue = append(n.queue, structs.LogAppended{ID: cmd.ID, Stream: cmd.Stream, First: first})
	case appendReplyLost, appendLost:
		n.queue = append(n.queue, structs.LogAppendFailed{ID: cmd.ID, Stream: cmd.Stream})
	case appendRefused:
		n.queue = append(n.queue, structs.LogAppendFailed{ID: cmd.ID, Stream: cmd.Stream, Refused: true})
	}
}

func (w *fakeWorld) store(records ...[]byte) {
	for _, data := range records {
		w.records = append(w.records, wire.LogRecord{Offset: w.end, TimeMS: w.now.UnixMilli(), Data: data})
		w.end++
	}
}

// expire drops the records below an offset.
func (w *fakeWorld) expire(first uint64) {
	for len(w.records) > 0 && w.records[0].Offset < first {
		w.records = w.records[1:]
	}
	w.first = first
}

// read gives a node what its tail sees now.
func (w *fakeWorld) read(n *fakeNode) {
	stream := structs.SettingsStream
	switch {
	case w.down:
		w.tick(n, structs.LogReadFailed{Stream: stream})
	case n.from < w.first:
		w.tick(n, structs.LogReadFailed{Stream: stream, Truncated: true, First: w.first})
	default:
		ev := structs.LogRead{Stream: stream, From: n.from, Next: w.end, End: w.end}
		for _, rec := range w.records {
			if rec.Offset >= n.from {
				ev.Records = append(ev.Records, rec)
			}
		}
		n.from = max(n.from, w.end)
		w.tick(n, ev)
	}
}

// settle reads and delivers until nothing moves, without passing time.
func (w *fakeWorld) settle() {
	const rounds = 8
	for range rounds {
		for _, id := range w.order {
			w.read(w.nodes[id])
		}
	}
}

// pass advances the clock in steps and settles at each.
func (w *fakeWorld) pass(d, step time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.settle()
	}
}

func (w *fakeWorld) propose(n *fakeNode, request structs.RequestID, changes ...structs.SettingChange) {
	for i := range changes {
		if changes[i].ChangeID == "" {
			changes[i].ChangeID = "id-" + string(request)
		}
		if changes[i].Author == "" {
			changes[i].Author = string(n.id)
		}
	}
	w.tick(n, structs.SettingsPropose{Request: request, Changes: changes, Deadline: w.now.Add(10 * time.Second)})
}

func priority(team string, base uint64, value int) structs.SettingChange {
	return structs.SettingChange{Path: "teams/" + team + "/priority", Base: base, Value: []byte(fmt.Sprint(value))}
}

func (n *fakeNode) expect(t *testing.T, request structs.RequestID, want structs.SettingsStatus) structs.SettingsResult {
	t.Helper()
	got, ok := n.replies[request]
	if !ok || got.Status != want {
		t.Fatalf("%s at %s: got %+v (answered %v), want %s", request, n.id, got, ok, want)
	}
	return got
}
