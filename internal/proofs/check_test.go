package proofs

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/journal"
	"github.com/banyanglade/banyanglade/internal/standin/engine"
	"github.com/banyanglade/banyanglade/internal/standin/service"
	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

const testProgram = "lakes-01arz3ndektsv4rrffq69g5fav"

var epochStart = time.UnixMilli(1_000_000)

// at returns a time in milliseconds after epochStart.
func at(ms int) time.Time { return epochStart.Add(time.Duration(ms) * time.Millisecond) }

func ms(t int) int64 { return at(t).UnixMilli() }

// validEvidence returns evidence without violations: a chat, a tool call and a filing
// of one program in sequence.
func validEvidence() Evidence {
	messages := []wire.ChatMessage{{Role: "user", Content: "Draft it. tokens=10"}}
	chat := Call{Program: testProgram, Number: 1, Key: "k1"}
	chatRequest(&chat, messages, 10, false)
	tool := Call{Program: testProgram, Number: 2, Key: "k2"}
	toolRequest(&tool, 20*time.Millisecond)
	filing := Call{Program: testProgram, Number: 3, Key: "k3"}
	filingRequest(&filing, 2, 20*time.Millisecond)

	e := Evidence{
		Programs: []Program{{ID: testProgram, Closed: true, Tokens: 100, Fees: 2}},
		Engines: map[string][]wire.LedgerEntry{"engine": {
			{TimeMS: ms(10), Target: "engine", Program: testProgram, BodyHash: chat.BodyHash, Finished: true, Tokens: 10},
		}},
		Services: map[string][]wire.LedgerEntry{
			"tool":   {plainEntry("tool", tool, 110)},
			"filing": {plainEntry("filing", filing, 210)},
		},
		Caches: map[string]wire.CacheState{"engine": {Programs: map[string]int64{}}},
		Log: map[string][]wire.LogRecord{
			shardStream(testProgram): {claimRecord(1, "first", 0), intentRecord(1, "first", "k3", 205)},
			structs.SettingsStream:   {{TimeMS: ms(0), Data: []byte("...change-1...change-2...")}},
		},
		Changes: []Change{
			{Path: "p", Value: "1", ChangeID: "change-1", Accepted: true, Version: 4},
			{Path: "p", Value: "2", ChangeID: "change-2", Accepted: true, Version: 7},
			{Path: "p", Value: "3", ChangeID: "change-3", Lost: true},
		},
		InForce:  map[string]map[string]Setting{"one": {"p": {Value: "2", Version: 7}}},
		Readings: []Reading{{Instance: "one", Path: "p", Version: 4, At: at(1)}, {Instance: "one", Path: "p", Version: 7, At: at(2)}},
	}
	chat.Attempts = []Attempt{{Instance: "one", Start: at(5), End: at(50), Outcome: Answered, Text: chat.WantText}}
	tool.Attempts = []Attempt{{Instance: "one", Start: at(105), End: at(150), Outcome: Answered, Body: plainAnswer("tool", tool)}}
	filing.Attempts = []Attempt{{Instance: "one", Start: at(200), End: at(250), Outcome: Answered, Body: plainAnswer("filing", filing)}}
	e.Calls = []Call{chat, tool, filing}
	return e
}

func plainEntry(target string, call Call, t int) wire.LedgerEntry {
	return wire.LedgerEntry{
		TimeMS: ms(t), Target: target, Program: call.Program, Key: call.Program + ":" + call.Key,
		Path: call.Path, BodyHash: call.BodyHash, Finished: true,
	}
}

func plainAnswer(target string, call Call) []byte {
	body, _ := json.Marshal(service.Response{Target: target, Path: call.Path, BodyHash: call.BodyHash})
	return body
}

func claimRecord(epoch structs.Epoch, writer string, t int) wire.LogRecord {
	return logRecord(epoch, writer, t, &journal.Claim{Instance: structs.InstanceID(writer)})
}

func intentRecord(epoch structs.Epoch, writer, key string, t int) wire.LogRecord {
	return logRecord(epoch, writer, t, &journal.Intent{CallID: journal.CallID{Program: testProgram, Key: key}})
}

func logRecord(epoch structs.Epoch, writer string, t int, body journal.Body) wire.LogRecord {
	record := journal.Record{Header: journal.Header{Epoch: epoch, Writer: writer}, Body: body}
	return wire.LogRecord{TimeMS: ms(t), Data: journal.Encode(record)}
}

func TestCheckerAcceptsValidEvidence(t *testing.T) {
	verdict := Check(validEvidence())
	if len(verdict.Violations) > 0 {
		t.Fatalf("violations in a valid history: %v", verdict.Violations)
	}
	if verdict.Counts.Answered != 3 {
		t.Fatalf("counts %+v", verdict.Counts)
	}
}

// refuse replaces the attempts of the call by one that was refused as not run.
func refuse(c *Call, start, end int) {
	c.Attempts = []Attempt{{Instance: "one", Start: at(start), End: at(end), Outcome: NotRun}}
}

// invalidEvidence lists changes that each add one violation to validEvidence.
var invalidEvidence = []struct {
	name     string
	alter    func(e *Evidence)
	property Property
}{
	{"a filing runs twice at one target", func(e *Evidence) {
		second := plainEntry("filing", e.Calls[2], 215)
		second.Sequence = 1
		e.Services["filing"] = append(e.Services["filing"], second)
	}, PropertyAtMostOnce},
	{"a filing runs once at each of two targets", func(e *Evidence) {
		e.Services["other"] = []wire.LedgerEntry{plainEntry("other", e.Calls[2], 240)}
	}, PropertyAtMostOnce},
	{"a call that was refused as not run ran", func(e *Evidence) { refuse(&e.Calls[1], 105, 150) }, PropertyNotRun},
	{"a call that was refused as not run ran later", func(e *Evidence) { refuse(&e.Calls[2], 200, 205) }, PropertyNotRun},
	{"a broken attempt ran after the last one was refused as not run", func(e *Evidence) {
		e.Calls[2].Attempts = []Attempt{
			{Instance: "dead", Start: at(190), End: at(195), Outcome: Broken},
			{Instance: "one", Start: at(196), End: at(200), Outcome: NotRun},
		}
		e.FaultWindows = []FaultWindow{{Instance: "dead", From: at(194)}}
	}, PropertyNotRun},
	{"a retry was refused as not run after an earlier attempt had run", func(e *Evidence) {
		e.Calls[2].Attempts = []Attempt{
			{Instance: "dead", Start: at(200), End: at(212), Outcome: Broken},
			{Instance: "one", Start: at(213), End: at(220), Outcome: NotRun},
		}
		e.FaultWindows = []FaultWindow{{Instance: "dead", From: at(211)}}
	}, PropertyNotRun},
	{"an opened program is reported as unknown", func(e *Evidence) {
		unknown := Attempt{Instance: "one", Start: at(190), End: at(195), Outcome: NotRun, Reason: "unknown-program"}
		e.Calls[2].Attempts = append([]Attempt{unknown}, e.Calls[2].Attempts...)
	}, PropertyHistory},
	{"a team pays more fees than its budget", func(e *Evidence) { e.TeamFees = 1 }, PropertyBudget},
	{"a call ends without an outcome", func(e *Evidence) { e.Calls[1].Attempts[0].Outcome = NoResponse }, PropertyLostAnswer},
	{"an attempt breaks at an instance without a fault", func(e *Evidence) {
		broken := Attempt{Instance: "two", Start: at(101), End: at(103), Outcome: Broken}
		e.Calls[1].Attempts = append([]Attempt{broken}, e.Calls[1].Attempts...)
	}, PropertyLostAnswer},
	{"a call was never answered at all", func(e *Evidence) { e.Calls[0].Attempts = nil }, PropertyLostAnswer},
	{"a call runs after the next of its lane", func(e *Evidence) {
		again := plainEntry("tool", e.Calls[1], 230)
		e.Services["tool"] = append(e.Services["tool"], again)
		e.Calls[1].Attempts[0].End = at(260)
	}, PropertyOrder},
	{"a call begins before the one before it ended", func(e *Evidence) { e.Services["filing"][0].TimeMS = ms(115) }, PropertyOrder},
	{"the end of an answer is missing", func(e *Evidence) {
		text := e.Calls[0].WantText
		e.Calls[0].Attempts[0].Text = text[:len(text)-4]
	}, PropertyAnswers},
	{"an answer is spliced with that of another prompt", func(e *Evidence) {
		other := engine.Completion{Program: testProgram, PromptHash: 1}
		text := e.Calls[0].WantText
		e.Calls[0].Attempts[0].Text = text[:len(text)/2] + other.Text(5, 10)
	}, PropertyAnswers},
	{"an answer is that of another program", func(e *Evidence) {
		e.Calls[0].Attempts[0].Text = engine.Completion{Program: "other"}.Text(0, 10)
	}, PropertyAnswers},
	{"an answer is that of another call", func(e *Evidence) {
		e.Calls[1].Attempts[0].Body = plainAnswer("filing", e.Calls[2])
	}, PropertyAnswers},
	{"an answer names a run that the target does not have", func(e *Evidence) {
		body, _ := json.Marshal(service.Response{Target: "tool", Sequence: 9, Path: e.Calls[1].Path, BodyHash: e.Calls[1].BodyHash})
		e.Calls[1].Attempts[0].Body = body
	}, PropertyAnswers},
	{"a call is answered that no target ran", func(e *Evidence) { e.Engines["engine"] = nil }, PropertyAnswers},
	{"a target runs a request that no caller made", func(e *Evidence) {
		e.Services["tool"] = append(e.Services["tool"], wire.LedgerEntry{TimeMS: ms(300), Target: "tool", Path: "/made-up"})
	}, PropertyAnswers},
	{"a target gets another body", func(e *Evidence) { e.Engines["engine"][0].BodyHash = "0" }, PropertyAnswers},
	{"a program spends more tokens than its budget", func(e *Evidence) { e.Engines["engine"][0].Tokens = 99 }, PropertyBudget},
	{"a program pays more fees than its budget", func(e *Evidence) { e.Programs[0].Fees = 1 }, PropertyBudget},
	{"cache is held for a closed program", func(e *Evidence) {
		e.Caches["engine"] = wire.CacheState{Programs: map[string]int64{testProgram: 5}}
	}, PropertyCache},
	{"a filing runs without an intent", func(e *Evidence) {
		e.Log[shardStream(testProgram)] = e.Log[shardStream(testProgram)][:1]
	}, PropertyIntent},
	{"a filing runs before its intent", func(e *Evidence) { e.Services["filing"][0].TimeMS = ms(201) }, PropertyIntent},
	{"a filing runs on an intent after a newer claim", func(e *Evidence) {
		e.Log[shardStream(testProgram)] = []wire.LogRecord{
			claimRecord(1, "first", 0), claimRecord(2, "second", 100), intentRecord(1, "first", "k3", 205),
		}
	}, PropertyIntent},
	{"a filing runs on the intent of an instance whose claim failed", func(e *Evidence) {
		e.Log[shardStream(testProgram)] = []wire.LogRecord{
			claimRecord(1, "first", 0), claimRecord(1, "second", 1), intentRecord(1, "second", "k3", 205),
		}
	}, PropertyIntent},
	{"a leaving target gets work", func(e *Evidence) {
		e.Leaving = []LeavingTarget{{Target: "tool", At: at(50), Grace: 10 * time.Millisecond}}
	}, PropertyLeaving},
	{"an engine applies an order of an older controller", func(e *Evidence) {
		e.Orders = map[string][]wire.Order{"engine": {{Value: "2", Fencing: 5}, {Value: "1", Fencing: 3}}}
	}, PropertyOrders},
	{"two values are accepted for one version", func(e *Evidence) { e.Changes[0].Version = 7 }, PropertySettings},
	{"an accepted change is not in the log", func(e *Evidence) { e.Log[structs.SettingsStream] = nil }, PropertySettings},
	{"an accepted change is not in force", func(e *Evidence) {
		e.InForce["one"]["p"] = Setting{Value: "1", Version: 4}
	}, PropertySettings},
	{"another value is in force", func(e *Evidence) {
		e.InForce["one"]["p"] = Setting{Value: "9", Version: 7}
	}, PropertySettings},
	{"a lost change is in force", func(e *Evidence) {
		e.InForce["one"]["p"] = Setting{Value: "3", Version: 8}
	}, PropertySettings},
	{"the version of a setting decreases", func(e *Evidence) { e.Readings[1].Version = 3 }, PropertySettings},
}

func TestCheckerFindsEachViolation(t *testing.T) {
	for _, bad := range invalidEvidence {
		t.Run(bad.name, func(t *testing.T) {
			e := validEvidence()
			bad.alter(&e)
			found := Check(e).Violations
			if countOf(found, bad.property) == 0 {
				t.Fatalf("missing violation: %s; got %v", bad.property, found)
			}
		})
	}
}

// TestCheckerAllows checks that Check accepts unusual but valid evidence.
func TestCheckerAllows(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(e *Evidence)
	}{
		{"a repeatable call that ran twice before the next", func(e *Evidence) {
			e.Services["tool"] = append(e.Services["tool"], plainEntry("tool", e.Calls[1], 130))
		}},
		{"a refusal before the attempt that ran", func(e *Evidence) {
			e.Calls[2].Attempts = append([]Attempt{{Instance: "one", Start: at(190), End: at(195), Outcome: NotRun}}, e.Calls[2].Attempts...)
		}},
		{"a broken attempt at a killed instance", func(e *Evidence) {
			e.FaultWindows = []FaultWindow{{Instance: "dead", From: at(104)}}
			e.Calls[1].Attempts = append([]Attempt{{Instance: "dead", Start: at(101), End: at(105), Outcome: Broken}}, e.Calls[1].Attempts...)
		}},
		{"cache of a program that is not closed", func(e *Evidence) {
			e.Programs[0].Closed = false
			e.Caches["engine"] = wire.CacheState{Programs: map[string]int64{testProgram: 5}}
		}},
		{"a call that begins while an abandoned one still runs", func(e *Evidence) {
			e.Services["filing"][0].TimeMS = ms(115)
			e.Log[shardStream(testProgram)][1].TimeMS = ms(114)
			e.Calls[1].Attempts[0] = Attempt{Instance: "one", Start: at(105), End: at(112), Outcome: Unknown}
			e.Calls[2].Attempts[0].Start = at(113)
		}},
		{"an unknown outcome with a run", func(e *Evidence) {
			e.Calls[2].Attempts = []Attempt{{Instance: "one", Start: at(200), End: at(205), Outcome: Unknown}}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := validEvidence()
			c.change(&e)
			if found := Check(e).Violations; len(found) > 0 {
				t.Fatalf("violations: %v", found)
			}
		})
	}
}
