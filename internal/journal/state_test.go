package journal

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// stream applies records with ascending offsets; each writer's sequence
// numbers ascend unless given.
type stream struct {
	t     *testing.T
	state *State
	seq   map[string]uint64
}

func newStream(t *testing.T) *stream {
	return &stream{t: t, state: NewState(), seq: make(map[string]uint64)}
}

func (s *stream) record(writer string, epoch structs.Epoch, body Body) Record {
	s.seq[writer]++
	return Record{Header: Header{Epoch: epoch, Writer: writer, Sequence: s.seq[writer], TimeMS: 1}, Body: body}
}

// add applies a record after a trip through the codec.
func (s *stream) add(r Record, want ApplyResult) {
	s.t.Helper()
	decoded, err := Decode(Encode(r))
	if err != nil {
		s.t.Fatal(err)
	}
	if got := s.state.Apply(s.state.Next, decoded); got != want {
		s.t.Errorf("%T of %s epoch %d: verdict %d, want %d", r.Body, r.Writer, r.Epoch, got, want)
	}
}

const testProgram structs.ProgramID = "lakes-p"

func done(run structs.RunID, out structs.Outcome) *Done {
	return &Done{
		CallID:  CallID{Program: testProgram, Key: "k", Number: 1, Run: run},
		Outcome: out, Cost: Amount{Tokens: 10}, Chunk: true,
	}
}

func TestFirstClaimOfAnEpochWins(t *testing.T) {
	s := newStream(t)
	s.add(s.record("a", 1, &Claim{Instance: "a"}), Applied)
	s.add(s.record("b", 1, &Claim{Instance: "b"}), Rejected)
	s.add(s.record("b", 3, &Claim{Instance: "b"}), Rejected)
	s.add(s.record("b", 1, &Open{Program: "x"}), Rejected)
	s.add(s.record("a", 1, &Open{Program: testProgram}), Applied)
	s.add(s.record("b", 2, &Claim{Instance: "b"}), Applied)
	s.add(s.record("a", 1, &Intent{CallID: CallID{Program: testProgram, Run: "r"}}), Rejected)
	s.add(s.record("a", 1, &Reserve{Program: testProgram}), Rejected)
	if s.state.Owner != "b" || len(s.state.Programs[testProgram].Open) != 0 {
		t.Errorf("state %+v", s.state)
	}
}

func TestFactsOfAnOldOwnerCount(t *testing.T) {
	s := newStream(t)
	s.add(s.record("a", 1, &Claim{Instance: "a"}), Applied)
	s.add(s.record("a", 1, &Intent{CallID: CallID{Program: testProgram, Key: "k", Run: "r"}}), Applied)
	s.add(s.record("a", 1, &Intent{CallID: CallID{Program: testProgram, Key: "j", Run: "q"}}), Applied)
	s.add(s.record("b", 2, &Claim{Instance: "b"}), Applied)
	s.add(s.record("a", 1, &Abandoned{Program: testProgram, Run: "q"}), Applied)
	s.add(s.record("a", 1, done("r", structs.Outcome{Kind: structs.OutcomeAnswered})), Applied)
	p := s.state.Programs[testProgram]
	if len(p.Open) != 0 || p.Calls["k"] == nil {
		t.Errorf("program %+v", p)
	}
}

func TestDuplicateHasNoEffect(t *testing.T) {
	s := newStream(t)
	s.add(s.record("a", 1, &Claim{Instance: "a"}), Applied)
	s.add(s.record("a", 1, &Open{Program: testProgram}), Applied)
	r := s.record("a", 1, &Reserve{Program: testProgram, Amount: Amount{Tokens: 100}})
	s.add(r, Applied)
	s.add(r, Duplicate)
	ahead := s.record("a", 1, done("r", structs.Outcome{Kind: structs.OutcomeAnswered}))
	s.state.ApplyAhead(ahead)
	state, err := DecodeState(EncodeState(s.state))
	if err != nil {
		t.Fatal(err)
	}
	s.state = state
	s.add(ahead, Applied)
	s.add(ahead, Duplicate)
	p := s.state.Programs[testProgram]
	if p.Chunks[1].Reserved.Tokens != 100 || p.Spent.Tokens != 10 {
		t.Errorf("reserved %+v spent %+v", p.Chunks[1], p.Spent)
	}
}

func TestChunkCountsAsSpentUntilItsWriterSettles(t *testing.T) {
	s := newStream(t)
	s.add(s.record("a", 1, &Claim{Instance: "a"}), Applied)
	s.add(s.record("a", 1, &Open{Program: testProgram}), Applied)
	s.add(s.record("a", 1, &Reserve{Program: testProgram, Amount: Amount{Tokens: 100}}), Applied)
	s.add(s.record("a", 1, done("r", structs.Outcome{})), Applied)
	s.add(s.record("b", 2, &Claim{Instance: "b"}), Applied)
	committed := func(want int64) {
		t.Helper()
		if got := s.state.Programs[testProgram].Committed().Tokens; got != want {
			t.Errorf("committed %d, want %d", got, want)
		}
	}
	committed(100)
	s.add(s.record("c", 1, &Settled{Program: testProgram}), Applied)
	committed(100)
	s.add(s.record("a", 1, &Settled{Program: testProgram}), Applied)
	committed(10)
}

func TestWhichOutcomeStands(t *testing.T) {
	answered := structs.Outcome{Kind: structs.OutcomeAnswered, Text: "first"}
	later := structs.Outcome{Kind: structs.OutcomeAnswered, Text: "second"}
	unknown := structs.Outcome{Kind: structs.OutcomeUnknown}
	for _, c := range []struct {
		name  string
		order []Record
		want  string
	}{
		{"answer beats unknown", []Record{doneBy("b", 2, "r", unknown), doneBy("a", 1, "r", answered)}, "first"},
		{"unknown never beats an answer", []Record{doneBy("a", 1, "r", answered), doneBy("b", 2, "q", unknown)}, "first"},
		{"newer epoch", []Record{doneBy("a", 1, "r", answered), doneBy("b", 2, "q", later)}, "second"},
		{"newer epoch read first", []Record{doneBy("b", 2, "q", later), doneBy("a", 1, "r", answered)}, "second"},
	} {
		s := NewState()
		for i, r := range c.order {
			s.Apply(uint64(i), r)
		}
		if got := s.Programs[testProgram].Calls["k"].Outcome.Text; got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func doneBy(writer string, epoch structs.Epoch, run structs.RunID, out structs.Outcome) Record {
	return Record{Header: Header{Writer: writer, Epoch: epoch, Sequence: 1}, Body: done(run, out)}
}

func TestLedgerReturnsOnce(t *testing.T) {
	s := newStream(t)
	s.add(s.record("a", 1, &Claim{Instance: "a"}), Applied)
	s.add(s.record("a", 1, &LedgerGrant{Team: "t", Grant: "g", Amount: Amount{Fees: 10}}), Applied)
	s.add(s.record("a", 1, &LedgerGrant{Team: "t", Grant: "g", Amount: Amount{Fees: 10}}), Applied)
	s.add(s.record("a", 1, &LedgerReturn{Team: "t", Grant: "g", Amount: Amount{Fees: 4}}), Applied)
	s.add(s.record("a", 1, &LedgerReturn{Team: "t", Grant: "g", Amount: Amount{Fees: 4}}), Applied)
	if got := s.state.Ledgers["t"].Granted.Fees; got != 6 {
		t.Errorf("granted %d, want 6", got)
	}
}

func TestGarbageIsRefused(t *testing.T) {
	good := Encode(Record{Body: &Claim{Instance: "a"}})
	for _, data := range [][]byte{nil, {1}, {9, 1}, {1, 99, 0}, good[:len(good)-2], []byte("hello")} {
		if _, err := Decode(data); !errors.Is(err, ErrRecord) {
			t.Errorf("%q: %v", data, err)
		}
	}
	if _, err := DecodeState([]byte("x")); !errors.Is(err, ErrRecord) {
		t.Errorf("state: %v", err)
	}
}
