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
	// callInterval is the virtual time between calls.
	callInterval = 10 * time.Millisecond
)

// benchHarness runs one instance with a virtual clock, a log that discards
// delivered records, and engines that respond at once.
type benchHarness struct {
	b      testing.TB
	core   *Instance
	now    time.Time
	events []structs.Event
	ticks  int
	// streamEnds and readOffsets hold the end and the next read offset of each
	// stream.
	streamEnds, readOffsets map[string]uint64
	records                 map[string][]wire.LogRecord
	// holdRuns keeps calls running at the engines once the programs are open.
	holdRuns bool
	opened   bool
	running  []structs.StartRun
	requests int
	// answered counts the calls with the outcome answered.
	answered int
	program  structs.ProgramID
}

func newBenchHarness(b testing.TB) *benchHarness {
	self := structs.Peer{ID: "i1", Region: benchRegion, DataCentre: "north", Address: "127.0.0.1:1"}
	cfg := structs.DefaultInstanceConfig(self, "1")
	cfg.Retention = 30 * 24 * time.Hour
	h := &benchHarness{
		b: b, core: New(cfg), now: time.UnixMilli(1_800_000_000_000),
		streamEnds: make(map[string]uint64), readOffsets: make(map[string]uint64), records: make(map[string][]wire.LogRecord),
	}
	h.post(structs.MembersListed{List: benchMembers(self)})
	h.settle()
	h.configure(map[string]any{
		"services/model/kind":        "engine",
		"services/model/slots":       1000,
		"teams/harbour/idle_timeout": "720h",
	})
	return h
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

func (h *benchHarness) configure(values map[string]any) {
	var changes []structs.SettingChange
	for path, value := range values {
		data, err := json.Marshal(value)
		if err != nil {
			h.b.Fatal(err)
		}
		changes = append(changes, structs.SettingChange{Path: path, Value: data, ChangeID: path, Author: "root"})
	}
	h.post(structs.SettingsPropose{Request: "settings", Changes: changes, Deadline: h.now.Add(time.Minute)})
	h.settle()
	if _, ok := h.core.Tree().Service(benchService); !ok {
		h.b.Fatal("the settings were not applied")
	}
}

func (h *benchHarness) post(ev structs.Event) { h.events = append(h.events, ev) }

// settle ticks until there is nothing left to do at the current time.
func (h *benchHarness) settle() {
	for {
		wake := h.core.NextWake()
		if len(h.events) == 0 && (wake.IsZero() || wake.After(h.now)) {
			return
		}
		events := h.events
		h.events = nil
		h.ticks++
		for _, cmd := range h.core.Tick(h.now, events) {
			h.execute(cmd)
		}
	}
}

// advance moves the virtual clock forward, from timer to timer.
func (h *benchHarness) advance(d time.Duration) {
	end := h.now.Add(d)
	for {
		h.settle()
		wake := h.core.NextWake()
		if wake.IsZero() || wake.After(end) {
			h.now = end
			h.settle()
			return
		}
		h.now = wake
	}
}

func (h *benchHarness) execute(cmd structs.Command) {
	switch c := cmd.(type) {
	case structs.LogAppend:
		h.append(c)
	case structs.LogTail:
		h.tail(c.Stream, c.From)
	case structs.LogTailEnd:
		h.tail(c.Stream, h.streamEnds[c.Stream]-min(1, h.streamEnds[c.Stream]))
	case structs.StartRun:
		h.start(c)
	case structs.ReplyProgram:
		h.program = c.Info.ID
		if c.Outcome.Kind != structs.OutcomeAnswered {
			h.b.Fatalf("open: %+v", c.Outcome)
		}
	case structs.ReplyOutcome:
		if c.Outcome.Kind != structs.OutcomeAnswered {
			h.b.Fatalf("call: %+v", c.Outcome)
		}
		h.answered++
	}
}

// append stores the records until they are read.
func (h *benchHarness) append(c structs.LogAppend) {
	first := h.streamEnds[c.Stream]
	for i, data := range c.Records {
		h.records[c.Stream] = append(h.records[c.Stream], wire.LogRecord{
			Offset: first + uint64(i), TimeMS: h.now.UnixMilli(), Data: data,
		})
	}
	h.streamEnds[c.Stream] = first + uint64(len(c.Records))
	h.post(structs.LogAppended{ID: c.ID, Stream: c.Stream, First: first})
	if from, ok := h.readOffsets[c.Stream]; ok {
		h.tail(c.Stream, from)
	}
}

// tail delivers the stored records from an offset on.
func (h *benchHarness) tail(stream string, from uint64) {
	var records []wire.LogRecord
	for _, r := range h.records[stream] {
		if r.Offset >= from {
			records = append(records, r)
		}
	}
	end := h.streamEnds[stream]
	if from+uint64(len(records)) != end {
		h.b.Fatalf("%s: read from offset %d, which was discarded", stream, from)
	}
	h.post(structs.LogRead{Stream: stream, From: from, Records: records, Next: end, End: end})
	h.readOffsets[stream] = end
	if h.opened {
		h.records[stream] = nil
	}
}

// clearLog discards the stored records, so that they do not count as memory of
// the instance.
func (h *benchHarness) clearLog() { h.records = make(map[string][]wire.LogRecord) }

// start completes a run at once with one token per chunk.
func (h *benchHarness) start(c structs.StartRun) {
	if h.holdRuns && h.opened {
		h.running = append(h.running, c)
		return
	}
	for i := range benchTokens {
		h.post(structs.RunChunk{Run: c.Run, Chunk: structs.Chunk{First: i, Texts: []string{" word"}}})
	}
	h.post(structs.RunEnded{Run: c.Run, Target: c.Target.ID, Took: 100 * time.Millisecond, Outcome: structs.Outcome{
		Kind: structs.OutcomeAnswered, Text: benchText, Finish: "stop",
		Usage: structs.Usage{PromptTokens: 100, CompletionTokens: benchTokens},
	}})
}

const benchText = " word word word word word word word word word word word word word word word word word word word word"

// openPrograms opens programs, makes one call in each and leaves them idle.
func (h *benchHarness) openPrograms(count int) []structs.ProgramID {
	var ids []structs.ProgramID
	for range count {
		h.requests++
		h.post(structs.CallerProgram{
			Request: structs.RequestID(fmt.Sprintf("open-%d", h.requests)), Op: structs.ProgramOpen,
			Program: h.newProgram(), Team: benchTeam, Deadline: h.now.Add(time.Minute),
		})
		h.settleUntil(func() bool { return h.program != "" })
		ids = append(ids, h.program)
		h.call(h.program, 1)
		h.program = ""
	}
	h.advance(time.Minute)
	h.opened = true
	return ids
}

func (h *benchHarness) newProgram() structs.ProgramID {
	var random [10]byte
	for i := range random {
		random[i] = byte(h.requests >> (8 * (i % 4)))
	}
	return structs.NewProgramID(benchRegion, h.now, random)
}

// call makes one call and waits for its response.
func (h *benchHarness) call(program structs.ProgramID, number int) {
	done := h.answered + 1
	h.submit(program, number)
	h.settleUntil(func() bool { return h.answered >= done })
	h.advance(callInterval)
}

// settleUntil moves the virtual clock forward until a condition holds.
func (h *benchHarness) settleUntil(condition func() bool) {
	const limit = 10 * time.Second
	end := h.now.Add(limit)
	for h.settle(); !condition(); h.settle() {
		wake := h.core.NextWake()
		if wake.IsZero() || wake.After(end) {
			h.b.Fatal("timed out: no timer before the limit")
		}
		h.now = wake
	}
}

// submit posts a streamed chat call of a program.
func (h *benchHarness) submit(program structs.ProgramID, number int) {
	h.requests++
	call := &structs.Call{
		Program: program, Team: benchTeam, Number: uint64(number), Key: fmt.Sprintf("k%d", number),
		Service: benchService, Kind: structs.CallChat, Stream: true, Method: "POST",
		Path: wire.ChatRoute, ContentType: "application/json", Body: benchBody,
		PromptTokens: 100, MaxTokens: benchTokens,
	}
	call.Digest[0], call.Digest[1], call.Digest[2] = byte(h.requests), byte(h.requests>>8), byte(h.requests>>16)
	for i := range number {
		call.History = append(call.History, structs.ChainDigest{byte(i), byte(i >> 8), 1})
	}
	h.post(structs.CallerSubmit{
		Request: structs.RequestID(fmt.Sprintf("call-%d", h.requests)), Call: call, Deadline: h.now.Add(time.Minute),
	})
}

var benchBody = []byte(`{"model":"model","messages":[{"role":"user","content":"Is LAKE BIRCH free?"}],"max_tokens":20,"stream":true}`)
