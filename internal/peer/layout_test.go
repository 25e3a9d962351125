package peer

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/structs"
)

var update = flag.Bool("update", false, "write the layout of the messages to testdata")

const layoutFile = "testdata/layout.txt"

// messageLayout returns the protocol version, followed by one line for each
// struct in the messages: its name and its fields in order.
func messageLayout() []string {
	lines := []string{fmt.Sprint("version ", structs.ProtocolVersion)}
	seen := make(map[reflect.Type]bool)
	var visit func(reflect.Type)
	visit = func(t reflect.Type) {
		switch t.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
			visit(t.Elem())
			return
		}
		if t.Kind() != reflect.Struct || t == reflect.TypeFor[time.Time]() || seen[t] {
			return
		}
		seen[t] = true
		line := t.Name()
		for i := range t.NumField() {
			line += fmt.Sprintf(" %s:%s", t.Field(i).Name, strings.ReplaceAll(t.Field(i).Type.String(), " ", ""))
		}
		lines = append(lines, line)
		for i := range t.NumField() {
			visit(t.Field(i).Type)
		}
	}
	for kind := range numKinds {
		if msg := structs.NewMessage(structs.MessageKind(kind)); msg != nil {
			visit(reflect.TypeOf(msg).Elem())
		}
	}
	return lines
}

// Structs are encoded as arrays. Instances of the previous release would decode
// inserted, removed or changed fields as other fields.
func TestMessageLayoutOnlyGrowsAtTheEnd(t *testing.T) {
	current := messageLayout()
	if *update {
		if err := os.WriteFile(layoutFile, []byte(strings.Join(current, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(layoutFile)
	if err != nil {
		t.Fatal(err)
	}
	known := make(map[string]string)
	for _, line := range current {
		known[strings.Fields(line)[0]] = line
	}
	for line := range strings.Lines(string(stored)) {
		name := strings.Fields(line)[0]
		if !strings.HasPrefix(known[name]+" ", strings.TrimSuffix(line, "\n")+" ") {
			t.Errorf("layout of %s changed from\n%sAppend new fields at the end, or raise structs.ProtocolVersion "+
				"and run: go test ./internal/peer -run Layout -update", name, line)
		}
	}
}

func TestTrailingFieldsMayBeMissingOrUnknown(t *testing.T) {
	type short struct {
		A int
		B string
	}
	type long struct {
		A int
		B string
		C map[string][]short
	}
	whole := long{A: 1, B: "b", C: map[string][]short{"k": {{A: 2, B: "c"}}}}
	frame, err := encodeBody(kindHello, &whole)
	if err != nil {
		t.Fatal(err)
	}
	var cut short
	if err := decodeBody(frame[headerBytes:], &cut); err != nil || cut != (short{A: 1, B: "b"}) {
		t.Fatal(cut, err)
	}
	if frame, err = encodeBody(kindHello, &cut); err != nil {
		t.Fatal(err)
	}
	var grown long
	if err := decodeBody(frame[headerBytes:], &grown); err != nil || !reflect.DeepEqual(grown, long{A: 1, B: "b"}) {
		t.Fatal(grown, err)
	}
}
