package journal

import (
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// FuzzDecode checks that Decode returns a record or an error for any input, and
// that a decoded record survives a round trip.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(Record{Header: Header{Epoch: 1, Writer: "a/1", Sequence: 1}, Body: &Claim{Instance: "a"}}))
	f.Add(Encode(Record{
		Header: Header{Epoch: 2, Writer: "b/1", Sequence: 9, Snapshot: 4},
		Body: &Done{
			CallID:  CallID{Program: "lakes-1", Key: "k1", Number: 1},
			Outcome: structs.Outcome{Kind: structs.OutcomeAnswered, Text: "text", Body: []byte{0}},
		},
	}))
	f.Add([]byte{})
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := Decode(data)
		if err != nil {
			return
		}
		got, err := Decode(Encode(rec))
		if err != nil || got.Header != rec.Header || got.Body.Kind() != rec.Body.Kind() {
			t.Fatalf("round trip of %+v: got %+v, error %v", rec, got, err)
		}
		NewState().Apply(0, rec)
	})
}

// FuzzDecodeState checks that a decoded snapshot accepts further records.
func FuzzDecodeState(f *testing.F) {
	state := NewState()
	state.Apply(0, Record{Header: Header{Epoch: 1, Writer: "a/1", Sequence: 1}, Body: &Claim{Instance: "a"}})
	state.Apply(1, Record{Header: Header{Epoch: 1, Writer: "a/1", Sequence: 2}, Body: &Open{Program: "lakes-1", Team: "t"}})
	f.Add(EncodeState(state))
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := DecodeState(data)
		if err != nil {
			return
		}
		state.Apply(state.Next, Record{Header: Header{Epoch: state.Epoch + 1, Writer: "b/1", Sequence: 1}, Body: &Claim{Instance: "b"}})
	})
}
