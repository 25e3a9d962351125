package node

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"

	"github.com/banyanglade/banyanglade/internal/structs"
)

func TestNoteIsLoggedWithItsFields(t *testing.T) {
	var out bytes.Buffer
	logNote(slog.New(slog.NewJSONHandler(&out, nil)), structs.Note{
		Message: "outcome stays unknown", Shard: structs.ShardRef{Region: "lakes", Shard: 7}, Epoch: 3,
		Program: "lakes-1", Number: 2, Run: "run-1",
	})
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	want := map[string]any{"shard": 7.0, "epoch": 3.0, "program": "lakes-1", "call": 2.0, "run": "run-1"}
	for name, value := range want {
		if line[name] != value {
			t.Errorf("%s is %v, want %v", name, line[name], value)
		}
	}
	if _, ok := line[fieldTarget]; ok {
		t.Error("empty field was logged")
	}
}
