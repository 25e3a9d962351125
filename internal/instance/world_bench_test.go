package instance

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const (
	benchRegion  structs.Region      = "lakes"
	benchTeam    structs.Team        = "harbour"
	benchService structs.ServiceName = "model"
	benchTokens                      = 20
	benchTargets                     = 20
	// callGap is the virtual time between two calls.
	callGap = 10 * time.Millisecond
)

// benchWorld drives one instance by values: a log that keeps nothing it has
// delivered, engines that answer at once, and a virtual clock.
type benchWorld struct {
	b      testing.TB
	core   *Instance
	now    time.Time
	events []structs.Event
	ticks  int
	// ends and tails are the end and the next offset read of each stream.
	ends, tails map[string]uint64
	records     map[string][]wire.LogRecord
	// hold leaves calls running at the engines once programs are open.
	hold    bool
	opened  bool
	running []structs.StartRun
	request int
	// answered counts the calls that ended with an answer.
	answered int
	program  structs.ProgramID
}

func newBenchWorld(b testing.TB) *benchWorld {
	self := structs.Peer{ID: "i1", Region: benchRegion, DataCentre: "north", Address: "127.0.0.1:1"}
	cfg := structs.DefaultInstanceConfig(self, "1")
	cfg.Retention = 30 * 24 * time.Hour
	w := &benchWorld{
		b: b, core: New(cfg), now: time.UnixMilli(1_800_000_000_000),
		ends: make(map[string]uint64), tails: make(map[string]uint64), records: make(map[string][]wire.LogRecord),
	}
	w.post(structs.MembersListed{List: benchMembers(self)})
	w.settle()
	w.configure(map[string]any{
		"services/model/kind":        "engine",
		"services/model/slots":       1000,
		"teams/harbour/idle_timeout": "720h",
	})
	return w
}

func benchMembers(self structs.Peer) wire.MemberList {
	list := wire.MemberList{Version: 1, Members: []wire.Member{{
		ID: string(self.ID), Role: wire.MemberRoleInstance, State: wire.MemberStateLive,
		Region: string(self.Region), DataCentre: string(self.DataCentre), Address: self.Address,
	}}}
	for i := range benchTargets {
		list.Members = append(list.Members, wire.Member{
			ID: fmt.Sprintf("runner-%d", i), Role: wire.MemberRoleTarget, State: wire.MemberStateLive,
			Region: string(self.Region), DataCentre: "north", Address: "http://127.0.0.1:1", Service: string(benchService),
		})
	}
	return list
}

func (w *benchWorld) configure(values map[string]any) {
	var changes []structs.SettingChange
	for path, value := range values {
		data, err := json.Marshal(value)
		if err != nil {
			w.b.Fatal(err)
		}
		changes = append(changes, structs.SettingChange{Path: path, Value: data, ChangeID: path, Author: "root"})
	}
	w.post(structs.SettingsPropose{Request: "settings", Changes: changes, Deadline: w.now.Add(time.Minute)})
	w.settle()
	if _, ok := w.core.Tree().Service(benchService); !ok {
		w.b.Fatal("the settings are not in force")
	}
}

func (w *benchWorld) post(ev structs.Event) { w.events = append(w.events, ev) }

// settle ticks until nothing is left to do at the present time.
func (w *benchWorld) settle() {
	for {
		wake := w.core.NextWake()
		if len(w.events) == 0 && (wake.IsZero() || wake.After(w.now)) {
			return
		}
		events := w.events
		w.events = nil
		w.ticks++
		for _, cmd := range w.core.Tick(w.now, events) {
			w.carry(cmd)
		}
	}
}

// advance lets virtual time pass, timer by timer.
func (w *benchWorld) advance(d time.Duration) {
	end := w.now.Add(d)
	for {
		w.settle()
		wake := w.core.NextWake()
		if wake.IsZero() || wake.After(end) {
			w.now = end
			w.settle()
			return
		}
		w.now = wake
	}
}

func (w *benchWorld) carry(cmd structs.Command) {
	switch c := cmd.(type) {
	case structs.LogAppend:
		w.append(c)
	case structs.LogTail:
		w.tail(c.Stream, c.From)
	case structs.LogTailEnd:
		w.tail(c.Stream, w.ends[c.Stream]-min(1, w.ends[c.Stream]))
	case structs.StartRun:
		w.start(c)
	case structs.ReplyProgram:
		w.program = c.Info.ID
		if c.Outcome.Kind != structs.OutcomeAnswered {
			w.b.Fatalf("open: %+v", c.Outcome)
		}
	case structs.ReplyOutcome:
		if c.Outcome.Kind != structs.OutcomeAnswered {
			w.b.Fatalf("call: %+v", c.Outcome)
		}
		w.answered++
	}
}

// append keeps the records until the stream's tail has delivered them.
func (w *benchWorld) append(c structs.LogAppend) {
	first := w.ends[c.Stream]
	for i, data := range c.Records {
		w.records[c.Stream] = append(w.records[c.Stream], wire.LogRecord{
			Offset: first + uint64(i), TimeMS: w.now.UnixMilli(), Data: data,
		})
	}
	w.ends[c.Stream] = first + uint64(len(c.Records))
	w.post(structs.LogAppended{ID: c.ID, Stream: c.Stream, First: first})
	if from, ok := w.tails[c.Stream]; ok {
		w.tail(c.Stream, from)
	}
}

// tail delivers what is retained from an offset on.
func (w *benchWorld) tail(stream string, from uint64) {
	var records []wire.LogRecord
	for _, r := range w.records[stream] {
		if r.Offset >= from {
			records = append(records, r)
		}
	}
	end := w.ends[stream]
	if from+uint64(len(records)) != end {
		w.b.Fatalf("%s: read from %d, which is not kept", stream, from)
	}
	w.post(structs.LogRead{Stream: stream, From: from, Records: records, Next: end, End: end})
	w.tails[stream] = end
	if w.opened {
		w.records[stream] = nil
	}
}

// forgetLog drops what the log keeps, so that it does not count as memory of
// the instance.
func (w *benchWorld) forgetLog() { w.records = make(map[string][]wire.LogRecord) }

// start answers a run at once, a token a chunk.
func (w *benchWorld) start(c structs.StartRun) {
	if w.hold && w.opened {
		w.running = append(w.running, c)
		return
	}
	for i := range benchTokens {
		w.post(structs.RunChunk{Run: c.Run, Chunk: structs.Chunk{First: i, Texts: []string{" word"}}})
	}
	w.post(structs.RunEnded{Run: c.Run, Target: c.Target.ID, Took: 100 * time.Millisecond, Outcome: structs.Outcome{
		Kind: structs.OutcomeAnswered, Text: benchAnswer, Finish: "stop",
		Usage: structs.Usage{PromptTokens: 100, CompletionTokens: benchTokens},
	}})
}

const benchAnswer = " word word word word word word word word word word word word word word word word word word word word"

// openPrograms opens programs and makes one call in each, which then pause.
func (w *benchWorld) openPrograms(count int) []structs.ProgramID {
	var ids []structs.ProgramID
	for range count {
		w.request++
		w.post(structs.CallerProgram{
			Request: structs.RequestID(fmt.Sprintf("open-%d", w.request)), Op: structs.ProgramOpen,
			Program: w.newProgram(), Team: benchTeam, Deadline: w.now.Add(time.Minute),
		})
		w.settleUntil(func() bool { return w.program != "" })
		ids = append(ids, w.program)
		w.call(w.program, 1)
		w.program = ""
	}
	w.advance(time.Minute)
	w.opened = true
	return ids
}

func (w *benchWorld) newProgram() structs.ProgramID {
	var random [10]byte
	for i := range random {
		random[i] = byte(w.request >> (8 * (i % 4)))
	}
	return structs.NewProgramID(benchRegion, w.now, random)
}

// call makes one call and waits for its answer.
func (w *benchWorld) call(program structs.ProgramID, number int) {
	done := w.answered + 1
	w.submit(program, number)
	w.settleUntil(func() bool { return w.answered >= done })
	w.advance(callGap)
}

// settleUntil lets virtual time pass until a condition holds.
func (w *benchWorld) settleUntil(holds func() bool) {
	const limit = 10 * time.Second
	end := w.now.Add(limit)
	for w.settle(); !holds(); w.settle() {
		wake := w.core.NextWake()
		if wake.IsZero() || wake.After(end) {
			w.b.Fatal("nothing more happens")
		}
		w.now = wake
	}
}

// submit posts a streamed chat call of a program.
func (w *benchWorld) submit(program structs.ProgramID, number int) {
	w.request++
	call := &structs.Call{
		Program: program, Team: benchTeam, Number: uint64(number), Key: fmt.Sprintf("k%d", number),
		Service: benchService, Kind: structs.CallChat, Stream: true, Method: "POST",
		Path: wire.ChatRoute, ContentType: "application/json", Body: benchBody,
		PromptTokens: 100, MaxTokens: benchTokens,
	}
	call.Digest[0], call.Digest[1], call.Digest[2] = byte(w.request), byte(w.request>>8), byte(w.request>>16)
	for i := range number {
		call.History = append(call.History, structs.ChainDigest{byte(i), byte(i >> 8), 1})
	}
	w.post(structs.CallerSubmit{
		Request: structs.RequestID(fmt.Sprintf("call-%d", w.request)), Call: call, Deadline: w.now.Add(time.Minute),
	})
}

var benchBody = []byte(`{"model":"model","messages":[{"role":"user","content":"Is LAKE BIRCH free?"}],"max_tokens":20,"stream":true}`)
