package serve

import (
	"io"
	"strings"
	"testing"

	"github.com/banyanglade/banyanglade/internal/memlimit"
)

// Guards against taking the rest of a line that fills the read buffer for a line of its own,
// which would end the event or set its id.
func TestLinesLongerThanTheReadBuffer(t *testing.T) {
	full := "data: " + strings.Repeat("x", eventBuffer-len("data: "))
	for _, rest := range []string{"", "\r", "id: 9", "y"} {
		text := "id: 1\n" + full + rest + "\n\n"
		var account memlimit.Account
		events := newEventReader(strings.NewReader(text), &account)
		first, err := events.next()
		if err != nil || string(first.bytes) != text || first.id != "1" {
			t.Errorf("rest %q: got an event of %d bytes with id %q, %v, want %d bytes", rest, len(first.bytes), first.id, err, len(text))
		}
		if _, err := events.next(); err != io.EOF {
			t.Errorf("rest %q: got %v behind the event", rest, err)
		}
	}
}
