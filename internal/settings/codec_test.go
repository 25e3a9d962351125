package settings

import (
	"bytes"
	"testing"
)

func FuzzDecodeChange(f *testing.F) {
	changes, err := encodeRecord(record{Changes: []recordChange{change("teams/a/priority", 3, "1")}})
	if err != nil {
		f.Fatal(err)
	}
	snapshotData, err := NewTree().Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(changes)
	f.Add(snapshotData)
	f.Add([]byte{})
	f.Add([]byte{recordVersion, 0xa1, 0x61, 'c', 0x9f})
	f.Add([]byte{recordVersion, 0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeRecord(data)
		if err != nil {
			return
		}
		again, err := encodeRecord(r)
		if err != nil {
			t.Fatal(err)
		}
		back, err := decodeRecord(again)
		if err != nil {
			t.Fatalf("re-encoded record cannot be decoded: %v", err)
		}
		third, err := encodeRecord(back)
		if err != nil || !bytes.Equal(again, third) {
			t.Fatalf("encoding is not stable (err %v)", err)
		}
		NewTree().Apply(0, data)
	})
}
