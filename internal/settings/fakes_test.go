package settings

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// testStart is the initial time of the virtual clock.
var testStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// fakeMembers is a membership list of one region.
type fakeMembers struct {
	structs.Members
	peers     []structs.Peer
	suspected map[structs.InstanceID]bool
}

func (m *fakeMembers) Peers() []structs.Peer                { return m.peers }
func (m *fakeMembers) Suspected(id structs.InstanceID) bool { return m.suspected[id] }

// appendFault is the fault injected into an append.
type appendFault int

const (
	appendOK appendFault = iota
	appendReplyLost
	appendLost
	appendRefused
	appendUnanswered // takes effect, but neither success nor failure is reported
)

// fakeCluster runs the proposers of several instances over one fake log on a virtual
// clock. Reads are explicit: read delivers the events of a tail.
type fakeCluster struct {
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
	// partitioned are instances whose messages to and from others are lost.
	partitioned map[structs.InstanceID]bool
}

type fakeNode struct {
	*Proposer
	id      structs.InstanceID
	from    uint64
	queue   []structs.Event
	replies map[structs.RequestID]structs.SettingsResult
	appends int
}

func newCluster(t *testing.T) *fakeCluster {
	return &fakeCluster{
		t: t, now: testStart, nodes: make(map[structs.InstanceID]*fakeNode),
		members:     &fakeMembers{suspected: make(map[structs.InstanceID]bool)},
		partitioned: make(map[structs.InstanceID]bool),
	}
}

// start creates an instance and runs its first tick.
func (cluster *fakeCluster) start(id structs.InstanceID) *fakeNode {
	peer := structs.Peer{ID: id}
	cfg := structs.DefaultInstanceConfig(peer, "1")
	n := &fakeNode{
		Proposer: NewProposer(cfg, NewTree(), cluster.members), id: id,
		replies: make(map[structs.RequestID]structs.SettingsResult),
	}
	if _, known := cluster.nodes[id]; !known {
		cluster.members.peers = append(cluster.members.peers, peer)
		cluster.order = append(cluster.order, id)
	}
	cluster.nodes[id] = n
	cluster.tick(n)
	return n
}

// tick delivers queued and given events to a node and executes its commands.
func (cluster *fakeCluster) tick(n *fakeNode, events ...structs.Event) {
	queue := append(n.queue, events...)
	n.queue = nil
	for _, cmd := range n.Tick(cluster.now, queue) {
		cluster.execute(n, cmd)
	}
}

func (cluster *fakeCluster) execute(n *fakeNode, cmd structs.Command) {
	switch cmd := cmd.(type) {
	case structs.LogTail:
		n.from = cmd.From
	case structs.LogAppend:
		n.appends++
		cluster.append(n, cmd)
	case structs.SendPeer:
		if to := cluster.nodes[cmd.To]; to != nil && !cluster.partitioned[n.id] && !cluster.partitioned[cmd.To] {
			to.queue = append(to.queue, structs.PeerMessage{From: n.id, Msg: cmd.Msg})
		}
	case structs.ReplySettings:
		if old, twice := n.replies[cmd.Request]; twice {
			cluster.t.Errorf("%s got two replies: %v, %v", cmd.Request, old, cmd.Result)
		}
		n.replies[cmd.Request] = cmd.Result
	}
}

func (cluster *fakeCluster) append(n *fakeNode, cmd structs.LogAppend) {
	if cmd.ID&appendIDBit == 0 || cmd.Stream != structs.SettingsStream {
		cluster.t.Errorf("unexpected append id %x or stream %s", cmd.ID, cmd.Stream)
	}
	fault := appendOK
	if len(cluster.faults) > 0 {
		fault, cluster.faults = cluster.faults[0], cluster.faults[1:]
	}
	if cluster.down {
		fault = appendRefused
	}
	first := cluster.end
	if fault == appendOK || fault == appendReplyLost || fault == appendUnanswered {
		cluster.store(cmd.Records...)
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

func (cluster *fakeCluster) store(records ...[]byte) {
	for _, data := range records {
		cluster.records = append(cluster.records, wire.LogRecord{Offset: cluster.end, TimeMS: cluster.now.UnixMilli(), Data: data})
		cluster.end++
	}
}

// expire drops the records below an offset.
func (cluster *fakeCluster) expire(first uint64) {
	for len(cluster.records) > 0 && cluster.records[0].Offset < first {
		cluster.records = cluster.records[1:]
	}
	cluster.first = first
}

// read delivers the next event of a node's tail.
func (cluster *fakeCluster) read(n *fakeNode) {
	stream := structs.SettingsStream
	switch {
	case cluster.down:
		cluster.tick(n, structs.LogReadFailed{Stream: stream})
	case n.from < cluster.first:
		cluster.tick(n, structs.LogReadFailed{Stream: stream, Truncated: true, First: cluster.first})
	default:
		ev := structs.LogRead{Stream: stream, From: n.from, Next: cluster.end, End: cluster.end}
		for _, rec := range cluster.records {
			if rec.Offset >= n.from {
				ev.Records = append(ev.Records, rec)
			}
		}
		n.from = max(n.from, cluster.end)
		cluster.tick(n, ev)
	}
}

// settle runs several rounds of reads and deliveries without advancing the clock.
func (cluster *fakeCluster) settle() {
	const rounds = 8
	for range rounds {
		for _, id := range cluster.order {
			cluster.read(cluster.nodes[id])
		}
	}
}

// advance moves the clock forward in steps and settles after each.
func (cluster *fakeCluster) advance(d, step time.Duration) {
	for end := cluster.now.Add(d); cluster.now.Before(end); {
		cluster.now = cluster.now.Add(step)
		cluster.settle()
	}
}

func (cluster *fakeCluster) propose(n *fakeNode, request structs.RequestID, changes ...structs.SettingChange) {
	for i := range changes {
		if changes[i].ChangeID == "" {
			changes[i].ChangeID = "id-" + string(request)
		}
		if changes[i].Author == "" {
			changes[i].Author = string(n.id)
		}
	}
	cluster.tick(n, structs.SettingsPropose{Request: request, Changes: changes, Deadline: cluster.now.Add(10 * time.Second)})
}

func priority(team string, base uint64, value int) structs.SettingChange {
	return structs.SettingChange{Path: "teams/" + team + "/priority", Base: base, Value: []byte(fmt.Sprint(value))}
}

func (n *fakeNode) expect(t *testing.T, request structs.RequestID, want structs.SettingsStatus) structs.SettingsResult {
	t.Helper()
	got, ok := n.replies[request]
	if !ok || got.Status != want {
		t.Fatalf("%s at %s: got %+v (replied %v), want %s", request, n.id, got, ok, want)
	}
	return got
}
