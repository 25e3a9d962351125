package serve

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// keptTurn is a request whose turn is stored.
var keptTurn = requestKind{name: "kept turn", path: "/kept/", service: "engine", from: 1, last: 4}

// cutStage is the send of a request whose response is cut.
type cutStage struct {
	name string
	// kept indicates that the connection carried a request before.
	kept bool
	// earlier returns the deliveries of the sends before.
	earlier func(own message) []delivery
	// applies reports whether a request of the kind reaches the stage.
	applies func(kind requestKind) bool
}

// isResent reports whether a request that may have run is sent again.
func isResent(kind requestKind) bool { return !kind.once }

// isContinued reports whether a stream continues at another target within its response.
func isContinued(kind requestKind) bool { return kind.isStream() && !kind.once && kind.header == nil }

func always(requestKind) bool { return true }

func noSends(message) []delivery { return nil }

var cutStages = []cutStage{
	{name: "new connection", earlier: noSends, applies: always},
	{name: "kept connection", kept: true, earlier: noSends, applies: always},
	{name: "retry after a refusal", applies: always, earlier: func(own message) []delivery {
		return []delivery{{pieces: []string{own.refusal(true)}, notRun: true}}
	}},
	{name: "retry after no response", applies: isResent, earlier: func(message) []delivery {
		return []delivery{none(sendFIN, "")}
	}},
	{name: "continued stream", applies: isContinued, earlier: func(own message) []delivery {
		return []delivery{none(sendFIN, own.head(200)+chunkedField+"\r\n"+chunk(own.firstEvent()))}
	}},
}

// cutFraming is a framing of responses.
type cutFraming struct {
	name   string
	encode func(m message) string
	// endsWithConn indicates that a regular end of the connection completes the body.
	endsWithConn bool
}

var cutFramings = []cutFraming{
	{name: "length", encode: func(m message) string { return m.length(200) }},
	{name: "chunked", encode: func(m message) string { return m.chunked(200) }},
	{name: "without length", encode: func(m message) string { return m.unframed(200) }, endsWithConn: true},
}

// freeRetries is an Admission without a retry budget.
type freeRetries struct{ Admission }

func (freeRetries) AllowRetry(string, int, time.Time) bool        { return true }
func (freeRetries) AllowRetryAfterFailure(string, time.Time) bool { return true }

// cutTargets are targets that cut the response of one send of each request.
type cutTargets struct {
	*byteTargets
	stage   cutStage
	framing cutFraming
	end     ending
	// bytes is how much of the next response is sent, size the size of that response. cut
	// indicates that it has been sent.
	bytes, size int
	cut         bool
}

func newCutTargets(t *testing.T, kind requestKind, stage cutStage, framing cutFraming, end ending) *cutTargets {
	c := &cutTargets{stage: stage, framing: framing, end: end}
	c.byteTargets = newByteTargets(t, kind, c.script)
	c.listen("b")
	c.listen("c")
	c.h.server.admission = freeRetries{c.h.server.admission}
	return c
}

// script returns the next delivery for a request. The caller holds mu.
func (c *cutTargets) script(id, signature string) *delivery {
	if !strings.HasPrefix(id, "cut") {
		return nil
	}
	own := newMessage(id, signature, c.kind, c.kind.from)
	earlier := c.stage.earlier(own)
	sends := 0
	for _, r := range c.runs {
		if r.id == id {
			sends++
		}
	}
	switch {
	case sends < len(earlier):
		return &earlier[sends]
	case sends > len(earlier):
		return nil
	}
	if c.stage.name == "continued stream" {
		own.body = events(c.kind.from+1, c.kind.last)
	}
	text := c.framing.encode(own)
	c.size = len(text)
	if c.framing.endsWithConn && c.end == sendFIN {
		// Behind the header, nothing tells a cut from the end.
		c.size = len(text) - len(own.body)
	}
	c.cut = true
	d := none(c.end, text[:min(c.bytes, c.size-1)])
	return &d
}

// sendCut sends a request whose response is cut after some bytes. It returns the size of the
// response.
func (c *cutTargets) sendCut(bytes int) (size int) {
	c.t.Helper()
	if c.stage.kept {
		id := fmt.Sprint("before", bytes)
		c.checkResult(id, c.send("POST", id, id, c.kind.header...))
	} else {
		for _, address := range c.addresses {
			c.h.server.pool.CloseIdle(address)
		}
	}
	c.mu.Lock()
	c.bytes, c.cut = bytes, false
	c.mu.Unlock()
	id := fmt.Sprint("cut", bytes)
	c.checkResult(id, c.send("POST", id, id, c.kind.header...))
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cut {
		c.t.Errorf("the request has not reached the stage: %d runs\n%s", len(c.runs), c.h.log)
	}
	return c.size
}

// checkStoredTurns fails the test if a stored turn has another output than that of a whole
// run.
func (c *cutTargets) checkStoredTurns() {
	c.t.Helper()
	whole := strings.Repeat("x\n", c.kind.last)
	for _, turn := range c.h.conversations.stored {
		if string(turn.Output) != whole {
			c.t.Errorf("turn %s is stored with the output %q", turn.ID, turn.Output)
		}
	}
}

// Guards against taking a response for whole whose target stopped at any byte of its header
// or body, on the first send of a request and on later ones.
func TestResponsesCutAtAnyByteAreNotTakenForWhole(t *testing.T) {
	for _, kind := range append(requestKinds, keptTurn) {
		for _, stage := range cutStages {
			if stage.applies(kind) {
				t.Run(kind.name+"/"+stage.name, func(t *testing.T) {
					t.Parallel()
					checkCutResponses(t, kind, stage, cutFramings[0], sendFIN)
				})
			}
		}
	}
}

// Guards against the same with other framings and with a reset.
func TestResponsesOfAnyFramingCutAtAnyByteAreNotTakenForWhole(t *testing.T) {
	for _, kind := range []requestKind{requestKinds[1], keptTurn} {
		for _, framing := range cutFramings {
			for name, end := range map[string]ending{"closed": sendFIN, "reset": sendRST} {
				t.Run(kind.name+"/"+framing.name+"/"+name, func(t *testing.T) {
					t.Parallel()
					checkCutResponses(t, kind, cutStages[0], framing, end)
				})
			}
		}
	}
}

// checkCutResponses plays requests of which a response is cut, at one byte after the other.
func checkCutResponses(t *testing.T, kind requestKind, stage cutStage, framing cutFraming, end ending) {
	c := newCutTargets(t, kind, stage, framing, end)
	for bytes, size := 0, 1; bytes < size; bytes++ {
		size = c.sendCut(bytes)
	}
	c.checkStoredTurns()
}
