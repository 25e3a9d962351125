package serve

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/banyanglade/banyanglade/internal/targets"
	"github.com/banyanglade/banyanglade/internal/testkit"
)

// These tests check what callers get for the bytes of a faulty target: the whole answer of
// one run, a failure of the instance's own, or an answer that is visibly cut.

// pieceGap separates the writes of a target, so that most are read separately. Results do
// not depend on it.
const pieceGap = 100 * time.Microsecond

// ending is what a target does to its connection behind its bytes.
type ending int

const (
	keepOpen ending = iota
	sendFIN
	sendRST
)

// answer is the whole response of a run.
type answer struct {
	status          int
	signature, body string
}

// delivery is what a target sends for one request.
type delivery struct {
	// pieces are written one after the other, idle once the caller has its response.
	pieces []string
	idle   string
	end    ending
	// answer is nil if the bytes hold no whole response to the request.
	answer *answer
	// notRun indicates that the target states that it did not run the request.
	notRun bool
	// lossy indicates that the answer may be lost.
	lossy bool
}

// run is a request that a target received.
type run struct {
	id       string
	delivery delivery
	// conn is the number of its connection.
	conn int
}

// byteTargets are targets that write the bytes of deliveries.
type byteTargets struct {
	t       *testing.T
	h       *harness
	service string
	kind    requestKind
	// script returns the delivery for a request, nil for a sound response.
	script func(id, signature string) *delivery
	// answered is closed once the caller has the response, idleSent once the target has
	// written what it sends on the idle connection.
	answered, idleSent chan struct{}
	// addresses are those of the targets.
	addresses []string

	mu    sync.Mutex
	conns int
	runs  []run
}

// requestKind is a kind of request that a caller sends.
type requestKind struct {
	name, path, service string
	// once indicates that the request may run once at most.
	once   bool
	header []string
	// from and last are the numbers of the first and last event, 0 for a plain response.
	from, last int
}

var requestKinds = []requestKind{
	{name: "safe", path: "/safe/", service: "app"},
	{name: "unsafe", path: "/once/", service: "app", once: true},
	{name: "stream", path: "/fixed/", service: "engine", once: true, from: 1, last: 4},
	{name: "resumable stream", path: "/turns/", service: "engine", from: 1, last: 4},
	{name: "resumed stream", path: "/turns/", service: "engine", from: 3, last: 4,
		header: []string{"Last-Event-Id", "2", "Resumes", "id0"}},
}

func (k requestKind) isStream() bool { return k.from > 0 }

func newByteTargets(t *testing.T, kind requestKind, script func(id, signature string) *delivery) *byteTargets {
	b := &byteTargets{t: t, h: newHarness(t), service: kind.service, kind: kind, script: script,
		answered: make(chan struct{}), idleSent: make(chan struct{})}
	b.listen("a")
	return b
}

// listen registers a target.
func (b *byteTargets) listen(id string) {
	l, err := testkit.Listen()
	if err != nil {
		b.t.Error(err)
		return
	}
	conns := make(map[net.Conn]bool)
	var mu sync.Mutex
	var work sync.WaitGroup
	work.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns[c] = true
			mu.Unlock()
			work.Go(func() { b.serve(c) })
		}
	})
	b.t.Cleanup(func() {
		_ = l.Close() // ends Accept
		mu.Lock()
		for c := range conns {
			_ = c.(*net.TCPConn).SetLinger(0) // leaves no port in use
			_ = c.Close()                     // ends the reads of its requests
		}
		mu.Unlock()
		work.Wait()
	})
	b.addresses = append(b.addresses, l.Addr().String())
	b.h.targets.Put(targets.Entry{ID: id, Service: b.service, Address: l.Addr().String(), DataCentre: "dc", Slots: 4})
}

func (b *byteTargets) serve(c net.Conn) {
	defer c.Close()
	b.mu.Lock()
	b.conns++
	number := b.conns
	b.mu.Unlock()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		d := b.record(r, number)
		if !write(c, d) {
			return
		}
		// A long body is read after the response. The connection may be closed before.
		_, err = io.Copy(io.Discard, r.Body)
		if d.idle != "" {
			<-b.answered
			_, _ = io.WriteString(c, d.idle) // the connection may be closed
			close(b.idleSent)
		}
		if err != nil || d.end != keepOpen {
			return
		}
	}
}

// write sends a delivery and reports whether the connection goes on.
func write(c net.Conn, d delivery) bool {
	for i, piece := range d.pieces {
		if i > 0 {
			time.Sleep(pieceGap)
		}
		if _, err := io.WriteString(c, piece); err != nil {
			return false
		}
	}
	tcp := c.(*net.TCPConn)
	switch d.end {
	case sendFIN:
		return tcp.CloseWrite() == nil
	case sendRST:
		_ = tcp.SetLinger(0) // the deferred Close resets the connection
		return false
	}
	return true
}

// record returns the delivery for a request.
func (b *byteTargets) record(r *http.Request, conn int) delivery {
	id := r.Header.Get("Banyanglade-Request-Id")
	b.mu.Lock()
	defer b.mu.Unlock()
	signature := fmt.Sprint("s", len(b.runs))
	d := b.script(id, signature)
	if d == nil {
		from := b.kind.from
		if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			from = after + 1
		}
		d = newMessage(id, signature, b.kind, from).whole()
	}
	b.runs = append(b.runs, run{id: id, delivery: *d, conn: conn})
	return *d
}

func (b *byteTargets) runsOf(id string) []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(b.runs), func(r run) bool { return r.id != id })
}

// message holds the parts of a response.
type message struct {
	id, signature, contentType, body string
}

// newMessage returns a response, to a stream with the events from a number on.
func newMessage(id, signature string, kind requestKind, from int) message {
	if kind.isStream() {
		return message{id, signature, eventStream, events(from, kind.last)}
	}
	return message{id, signature, "text/plain", "body of " + signature}
}

// head returns a header without the fields of the framing and its blank line.
func (m message) head(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\nBanyanglade-Request-Id: %s\r\nBanyanglade-Server-Signature: %s\r\n",
		status, http.StatusText(status), m.contentType, m.id, m.signature)
}

// length returns a response with a Content-Length.
func (m message) length(status int) string {
	return m.head(status) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(m.body), m.body)
}

const chunkedField = "Transfer-Encoding: chunked\r\n"

// chunks returns the body in two chunks, without the last chunk.
func (m message) chunks() string {
	half := len(m.body) / 2
	return fmt.Sprintf("%x\r\n%s\r\n%x;ext\r\n%s\r\n", half, m.body[:half], len(m.body)-half, m.body[half:])
}

func (m message) chunked(status int) string {
	return m.head(status) + chunkedField + "\r\n" + m.chunks() + "0\r\n\r\n"
}

// unframed returns a response that ends with its connection.
func (m message) unframed(status int) string { return m.head(status) + "\r\n" + m.body }

// refusal states that the request has not run.
func (m message) refusal(withID bool) string {
	id := ""
	if withID {
		id = "Banyanglade-Request-Id: " + m.id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\nBanyanglade-Not-Executed: 1\r\n" + id + "Retry-After: 0.1\r\nContent-Length: 5\r\n\r\nfull\n"
}

func (m message) answer(status int) *answer { return &answer{status, m.signature, m.body} }

func (m message) whole() *delivery {
	return &delivery{pieces: []string{m.length(200)}, answer: m.answer(200)}
}

// none is a delivery without a whole response.
func none(end ending, pieces ...string) delivery { return delivery{pieces: pieces, end: end} }

// served is a delivery whose answer has to reach the caller.
func served(a *answer, pieces ...string) delivery { return delivery{pieces: pieces, answer: a} }

// lost is a delivery whose answer may be lost.
func lost(a *answer, end ending, pieces ...string) delivery {
	return delivery{pieces: pieces, end: end, answer: a, lossy: true}
}

// pieceBytes is the size of the pieces of a response that is written slowly. It ends within
// lines, chunk sizes and the last chunk.
const pieceBytes = 5

// slowly splits a response into pieces.
func slowly(text string) []string {
	var pieces []string
	for piece := range slices.Chunk([]byte(text), pieceBytes) {
		pieces = append(pieces, string(piece))
	}
	return pieces
}

// comment and withoutID are parts of a stream that do not count as its events.
const (
	comment   = ": ping\n\n"
	withoutID = "data: y\n\n"
)

// checkResult compares what a caller got with what was sent to it.
func (b *byteTargets) checkResult(id string, got result) {
	b.t.Helper()
	runs := b.runsOf(id)
	ran := slices.DeleteFunc(slices.Clone(runs), func(r run) bool { return r.delivery.notRun })
	if b.kind.once && len(ran) > 1 {
		b.t.Errorf("%s ran %d times", id, len(ran))
	}
	whole := events(b.kind.from, b.kind.last)
	if got.err != nil {
		received := strings.ReplaceAll(strings.ReplaceAll(got.body, comment, ""), withoutID, "")
		if b.kind.isStream() && !strings.HasPrefix(whole, received) {
			b.t.Errorf("%s got %q, which is no beginning of its stream", id, got.body)
		}
		return
	}
	if b.isOwnFailure(got, len(ran) > 0) {
		return
	}
	signatures := got.header.Values("Banyanglade-Server-Signature")
	for _, r := range ran {
		a := r.delivery.answer
		if a != nil && got.status == a.status && got.body == a.body && slices.Equal(signatures, []string{a.signature}) {
			return
		}
		// A response that goes on at another run keeps the header of the first.
		first := len(signatures) == 1 && strings.Contains(strings.Join(r.delivery.pieces, ""), "Signature: "+signatures[0]+"\r\n")
		if b.kind.isStream() && !b.kind.once && first && got.status == 200 && strings.ReplaceAll(got.body, comment, "") == whole {
			return
		}
	}
	b.t.Errorf("%s got status %d, signatures %q, body %q, which is the whole answer of no run: %+v", id, got.status, signatures, got.body, runs)
}

// isOwnFailure reports whether a response is a failure of the instance's own that is true.
func (b *byteTargets) isOwnFailure(got result, ran bool) bool {
	if len(got.header.Values("Banyanglade-Server-Signature")) > 0 {
		return false
	}
	switch got.status {
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return true
	case http.StatusServiceUnavailable:
		return !ran
	}
	return false
}

// send sends a request of the kind and returns what its caller got.
func (b *byteTargets) send(method, id, body string, header ...string) result {
	b.t.Helper()
	header = append([]string{"Banyanglade-Request-Id", id, "Banyanglade-Deadline-Ms", "2000"}, header...)
	return b.h.do(b.h.request(method, b.kind.path, body, header...))
}

// connectionUse is how a request is sent to its target.
type connectionUse struct {
	name   string
	reused bool
	body   string
}

var connectionUses = []connectionUse{
	{"new connection", false, "b"},
	{"reused connection", true, "b"},
	// Above the size that is written concurrently with reading the response.
	{"long body", true, strings.Repeat("b", 40<<10)},
}

// checkDelivery plays a delivery for the second of three requests.
func checkDelivery(t *testing.T, kind requestKind, use connectionUse, makeDelivery func(old, own message) delivery) {
	previous := newMessage("id0", "s0", kind, max(1, kind.from))
	if kind.header != nil {
		previous = newMessage("id0", "s0", kind, 1)
	}
	var b *byteTargets
	var d *delivery
	b = newByteTargets(t, kind, func(id, signature string) *delivery {
		if id == "id0" {
			return previous.whole()
		}
		if id != "id1" || d != nil {
			return nil
		}
		b.listen("b")
		made := makeDelivery(previous, newMessage(id, signature, kind, kind.from))
		d = &made
		return d
	})
	if use.reused {
		if got := b.send("POST", "id0", "b"); got.err != nil || got.body != previous.body {
			t.Fatalf("the first request got %+v", got)
		}
	}
	got := b.send("POST", "id1", use.body, kind.header...)
	b.checkResult("id1", got)
	if a := d.answer; a != nil && !d.lossy && (got.err != nil || got.status != a.status || got.body != a.body) {
		t.Errorf("got %+v, want %+v", got, *a)
	}
	if use.reused && b.runsOf("id1")[0].conn != b.runsOf("id0")[0].conn {
		t.Error("the connection was not reused")
	}
	close(b.answered)
	if d.idle != "" {
		<-b.idleSent
	}
	b.checkResult("id2", b.send("POST", "id2", "b", kind.header...))
}

// wrongLength returns a response whose Content-Length differs from the length of its body.
func (m message) wrongLength(difference int) string {
	return m.head(200) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(m.body)+difference, m.body)
}

var targetDeliveries = []struct {
	name string
	make func(old, own message) delivery
}{
	{"length", func(_, own message) delivery { return served(own.answer(200), own.length(200)) }},
	{"chunked", func(_, own message) delivery { return served(own.answer(200), own.chunked(200)) }},
	{"without length", func(_, own message) delivery {
		return delivery{pieces: []string{own.unframed(200)}, end: sendFIN, answer: own.answer(200)}
	}},
	{"without length, reset", func(_, own message) delivery { return none(sendRST, own.unframed(200)) }},
	{"length, slowly", func(_, own message) delivery { return served(own.answer(200), slowly(own.length(200))...) }},
	{"chunked, slowly", func(_, own message) delivery { return served(own.answer(200), slowly(own.chunked(200))...) }},
	{"failure", func(_, own message) delivery { return served(own.answer(500), own.length(500)) }},
	{"failure at the time limit, chunked", func(_, own message) delivery { return served(own.answer(504), own.chunked(504)) }},
	{"refusal", func(_, own message) delivery { return delivery{pieces: []string{own.refusal(true)}, notRun: true} }},
	{"refusal without id", func(_, own message) delivery { return delivery{pieces: []string{own.refusal(false)}, notRun: true} }},

	{"twice at once", func(_, own message) delivery { return served(own.answer(200), own.length(200)+own.length(200)) }},
	{"chunked, twice at once", func(_, own message) delivery { return served(own.answer(200), own.chunked(200)+own.chunked(200)) }},
	{"twice, one after the other", func(_, own message) delivery { return served(own.answer(200), own.length(200), own.length(200)) }},
	{"failure twice", func(_, own message) delivery { return served(own.answer(500), own.length(500)+own.length(500)) }},
	{"refusal twice", func(_, own message) delivery {
		return delivery{pieces: []string{own.refusal(true) + own.refusal(true)}, notRun: true}
	}},
	{"refusal without id twice", func(_, own message) delivery {
		return delivery{pieces: []string{own.refusal(false) + own.refusal(false)}, notRun: true}
	}},
	{"again while idle", func(_, own message) delivery {
		return delivery{pieces: []string{own.length(200)}, idle: own.length(200), answer: own.answer(200)}
	}},
	{"part of it again while idle", func(_, own message) delivery {
		return delivery{pieces: []string{own.length(200)}, idle: own.length(200)[:20], answer: own.answer(200)}
	}},
	{"refusal again while idle", func(_, own message) delivery {
		return delivery{pieces: []string{own.length(200)}, idle: own.refusal(false), answer: own.answer(200)}
	}},
	{"no response while idle", func(_, own message) delivery {
		return delivery{pieces: []string{own.length(200)}, idle: "xyz\r\n\r\n", answer: own.answer(200)}
	}},

	{"late copy", func(old, own message) delivery { return served(own.answer(200), old.length(200)+own.length(200)) }},
	{"late copy, chunked", func(old, own message) delivery {
		return served(own.answer(200), old.chunked(200), own.chunked(200))
	}},
	{"late copy, slowly", func(old, own message) delivery {
		return served(own.answer(200), append(slowly(old.chunked(200)), own.length(200))...)
	}},
	{"late copy of a failure", func(old, own message) delivery {
		return served(own.answer(200), old.length(500), old.length(504), own.length(200))
	}},
	{"late copy before a failure", func(old, own message) delivery {
		return served(own.answer(500), old.length(200), own.length(500))
	}},
	{"late copy of a refusal", func(old, own message) delivery {
		return served(own.answer(200), old.refusal(true), own.length(200))
	}},
	{"late copy of an empty response", func(old, own message) delivery {
		old.body = ""
		return served(own.answer(200), old.length(200), own.length(200))
	}},
	{"late copy without length", func(old, _ message) delivery { return none(sendFIN, old.unframed(200)) }},
	{"late copy without length, then the response", func(old, own message) delivery {
		return none(sendFIN, old.unframed(200), own.length(200))
	}},
	{"late copy, reset", func(old, _ message) delivery { return none(sendRST, old.length(200)) }},
	{"late copies without end", func(old, _ message) delivery { return none(keepOpen, strings.Repeat(old.length(200), 6)) }},
	{"late copy, cut, then the response", func(old, own message) delivery {
		return none(sendFIN, strings.TrimSuffix(old.length(200), old.body), own.length(200))
	}},

	{"late copy of a refusal, cut in a field", func(old, own message) delivery {
		cut, _, _ := strings.Cut(old.refusal(true), "\r\nBanyanglade-Request-Id")
		return lost(own.answer(200), keepOpen, cut, own.length(200))
	}},
	{"late copy of a failure, cut in its reason", func(old, own message) delivery {
		cut, _, _ := strings.Cut(old.length(500), "Error\r\n")
		return lost(own.answer(200), keepOpen, cut, own.length(200))
	}},
	{"informational response, cut in its reason", func(_, own message) delivery {
		return lost(own.answer(200), keepOpen, "HTTP/1.1 100 Cont", own.length(200))
	}},

	{"informational before", func(old, own message) delivery {
		return served(own.answer(200), "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", own.length(200))
	}},
	{"informational with id and signature", func(old, own message) delivery {
		return served(own.answer(200), own.head(102)+"\r\n"+own.length(200))
	}},
	{"informational with the length of a body", func(_, own message) delivery {
		return served(own.answer(200), own.head(103)+"Content-Length: 5\r\n\r\n", own.length(200))
	}},
	{"informational between", func(old, own message) delivery {
		return served(own.answer(200), old.length(200)+"HTTP/1.1 100 Continue\r\n\r\n"+own.length(200))
	}},
	{"informational after", func(_, own message) delivery {
		return served(own.answer(200), own.length(200)+"HTTP/1.1 100 Continue\r\n\r\n")
	}},
	{"informational only", func(_, own message) delivery { return none(sendFIN, own.head(100)+"\r\n") }},
	{"status below 100", func(_, own message) delivery {
		return none(sendFIN, strings.Replace(own.length(200), " 200 ", " 099 ", 1))
	}},

	{"no content with bytes behind", func(_, own message) delivery {
		length := own.length(204)
		own.body = ""
		return served(own.answer(204), length)
	}},
	{"not modified with bytes behind", func(_, own message) delivery {
		length := own.length(304)
		own.body = ""
		return served(own.answer(304), length)
	}},
	{"body beyond its length", func(_, own message) delivery {
		return served(own.answer(200), own.length(200)+"and more")
	}},
	{"body short of its length", func(_, own message) delivery { return none(sendFIN, own.wrongLength(5)) }},
	{"body short of its length, reset", func(_, own message) delivery { return none(sendRST, own.wrongLength(5)) }},
	{"negative length", func(_, own message) delivery {
		return none(sendFIN, own.head(200)+"Content-Length: -5\r\n\r\n"+own.body)
	}},
	{"length that is no number", func(_, own message) delivery {
		return none(sendFIN, own.head(200)+"Content-Length: 0x5\r\n\r\n"+own.body)
	}},
	{"two lengths", func(_, own message) delivery {
		return none(sendFIN, own.head(200)+fmt.Sprintf("Content-Length: 5\r\nContent-Length: %d\r\n\r\n%s", len(own.body), own.body))
	}},
	{"list of lengths", func(_, own message) delivery {
		return none(sendFIN, own.head(200)+fmt.Sprintf("Content-Length: 5, %d\r\n\r\n%s", len(own.body), own.body))
	}},
	{"same length twice", func(_, own message) delivery {
		field := fmt.Sprintf("Content-Length: %d\r\n", len(own.body))
		return served(own.answer(200), own.head(200)+field+field+"\r\n"+own.body)
	}},
	{"length and chunked", func(_, own message) delivery {
		return lost(own.answer(200), keepOpen, own.head(200)+"Content-Length: 3\r\n"+chunkedField+"\r\n"+own.chunks()+"0\r\n\r\n")
	}},
	{"content encoding", func(_, own message) delivery {
		return served(own.answer(200), strings.Replace(own.length(200), "Content-Length", "Content-Encoding: br\r\nContent-Length", 1))
	}},
	{"own failure that promises nothing", func(_, own message) delivery { return served(own.answer(503), own.length(503)) }},
	{"unknown encoding", func(_, own message) delivery {
		return none(sendFIN, own.head(200)+"Transfer-Encoding: gzip, chunked\r\n\r\n"+own.chunks()+"0\r\n\r\n")
	}},
	{"chunked, cut before the last chunk", func(_, own message) delivery {
		return none(sendFIN, own.head(200)+chunkedField+"\r\n"+own.chunks())
	}},
	{"chunked, cut in the last chunk", func(_, own message) delivery {
		return none(sendFIN, own.head(200)+chunkedField+"\r\n"+own.chunks()+"0\r\n")
	}},
	{"chunked, reset in the last chunk", func(_, own message) delivery {
		return none(sendRST, own.head(200)+chunkedField+"\r\n"+own.chunks()+"0\r\n")
	}},
	{"chunk without a size", func(_, own message) delivery {
		return none(keepOpen, own.head(200)+chunkedField+"\r\n"+own.chunks()+"x\r\n")
	}},
	{"trailers", func(_, own message) delivery {
		return served(own.answer(200), own.head(200)+chunkedField+"Trailer: X-Sum\r\n\r\n"+own.chunks()+"0\r\nX-Sum: 1\r\n\r\n")
	}},
	{"signature in a trailer", func(_, own message) delivery {
		head := strings.Replace(own.head(200), "Banyanglade-Server-Signature", "X", 1)
		return none(sendFIN, head+chunkedField+"Trailer: Banyanglade-Server-Signature\r\n\r\n"+own.chunks()+"0\r\nBanyanglade-Server-Signature: s\r\n\r\n")
	}},
	{"no signature", func(_, own message) delivery {
		return none(keepOpen, strings.Replace(own.length(200), "Banyanglade-Server-Signature", "X", 1))
	}},
	{"empty signature", func(_, own message) delivery {
		own.signature = ""
		return none(keepOpen, own.length(200))
	}},
	{"two signatures", func(_, own message) delivery {
		return none(keepOpen, own.head(200)+"Banyanglade-Server-Signature: other\r\n"+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(own.body), own.body))
	}},
	{"two signatures of a failure", func(_, own message) delivery {
		return none(keepOpen, own.head(500)+"Banyanglade-Server-Signature: other\r\n"+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(own.body), own.body))
	}},
	{"two ids", func(old, own message) delivery {
		return none(sendFIN, own.head(200)+"Banyanglade-Request-Id: "+old.id+"\r\n"+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(own.body), own.body))
	}},
	{"two ids, the other one first", func(old, own message) delivery {
		return none(sendFIN, old.head(200)+"Banyanglade-Request-Id: "+own.id+"\r\n"+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(own.body), own.body))
	}},
	{"refusal with two ids", func(old, own message) delivery {
		return none(keepOpen, strings.Replace(own.refusal(true), "Retry-After", "Banyanglade-Request-Id: "+old.id+"\r\nRetry-After", 1))
	}},
	{"no id", func(_, own message) delivery {
		return none(sendFIN, strings.Replace(own.length(200), "Banyanglade-Request-Id", "X", 1))
	}},
	{"failure without an id", func(_, own message) delivery {
		return none(sendFIN, strings.Replace(own.length(503), "Banyanglade-Request-Id", "X", 1))
	}},
	{"no response", func(_, _ message) delivery { return none(keepOpen, "xyz\r\n\r\n") }},
	{"no response, then the response", func(_, own message) delivery { return none(keepOpen, "xyz\r\n"+own.length(200)) }},
}

// Guards against passing on anything but the whole answer of a run when a target sends
// responses twice, late, in part, or bytes that are no response.
func TestFaultyTargetsDoNotCauseMixedAnswers(t *testing.T) {
	for _, kind := range requestKinds {
		for _, use := range connectionUses {
			for _, c := range targetDeliveries {
				t.Run(kind.name+"/"+use.name+"/"+c.name, func(t *testing.T) { checkDelivery(t, kind, use, c.make) })
			}
		}
	}
}

// copiedResponses are responses of which a target sends a part again, before the response to
// the next request, which has another status.
var copiedResponses = []struct {
	name   string
	make   func(m message) delivery
	status int
}{
	{"success", func(m message) delivery { return served(m.answer(200), m.length(200)) }, 500},
	{"chunked success", func(m message) delivery { return served(m.answer(200), m.chunked(200)) }, 504},
	{"failure", func(m message) delivery { return served(m.answer(500), m.length(500)) }, 200},
	{"refusal", func(m message) delivery { return delivery{pieces: []string{m.refusal(true)}, notRun: true} }, 200},
}

// Guards against joining a late response that is cut to the response behind it, which would
// give that another status, or make a run look like a refusal.
func TestCutResponseIsNotJoinedToTheNext(t *testing.T) {
	for _, copied := range copiedResponses {
		t.Run(copied.name, func(t *testing.T) { checkCuts(t, requestKinds[1], copied.make, copied.status) })
	}
}

// checkCuts plays a response, then a part of it before the next one, for parts of any length.
func checkCuts(t *testing.T, kind requestKind, copied func(m message) delivery, status int) {
	var previous delivery
	b := newByteTargets(t, kind, func(id, signature string) *delivery {
		m := newMessage(id, signature, kind, 0)
		number, isNext := strings.CutPrefix(id, "next")
		if !isNext {
			previous = copied(m)
			return &previous
		}
		cut, err := strconv.Atoi(number)
		if err != nil || previous.pieces == nil {
			return nil // the request is sent again
		}
		d := lost(m.answer(status), sendFIN, previous.pieces[0][:cut]+m.length(status))
		previous = delivery{}
		return &d
	})
	for cut, size := 1, 2; cut < size; cut++ {
		first := b.send("POST", fmt.Sprint("first", cut), "b")
		if previous.pieces == nil {
			t.Fatalf("the target did not get a request, whose caller got %+v", first)
		}
		size = len(previous.pieces[0])
		id := fmt.Sprint("next", cut)
		b.checkResult(id, b.send("POST", id, "b"))
	}
}

var streamDeliveries = []struct {
	name string
	make func(old, own message) delivery
}{
	// Without a length, what follows is part of the body.
	{"without length, twice", func(_, own message) delivery {
		return lost(own.answer(200), sendFIN, own.unframed(200)+own.unframed(200))
	}},
	{"without length, its events twice", func(_, own message) delivery {
		return lost(own.answer(200), sendFIN, own.unframed(200)+own.body)
	}},
	{"without length, twice and cut", func(_, own message) delivery {
		return lost(own.answer(200), sendFIN, own.unframed(200)+own.unframed(200)[:20])
	}},
	{"without length, another response behind", func(old, own message) delivery {
		return lost(own.answer(200), sendFIN, own.unframed(200)+old.length(200))
	}},
	{"without length, the response again in an event", func(_, own message) delivery {
		return none(sendFIN, strings.TrimSuffix(own.unframed(200), "\n")+own.unframed(200))
	}},
	{"without length, cut in an event", func(_, own message) delivery {
		return none(sendFIN, strings.TrimSuffix(own.unframed(200), "\n"))
	}},
	{"without length, reset behind an event", func(_, own message) delivery {
		return none(sendRST, own.head(200)+"\r\n"+own.firstEvent())
	}},
	{"without id, then cut", func(_, own message) delivery {
		return none(sendRST, own.head(200)+chunkedField+"\r\n"+chunk(own.firstEvent())+chunk(withoutID))
	}},
	{"comment, then cut", func(_, own message) delivery {
		return none(sendRST, own.head(200)+chunkedField+"\r\n"+chunk(own.firstEvent())+chunk(comment))
	}},
	{"only events without id, then cut", func(_, own message) delivery {
		return none(sendRST, own.head(200)+chunkedField+"\r\n"+chunk(withoutID))
	}},
	{"comment between events", func(_, own message) delivery {
		own.body = own.firstEvent() + comment + strings.TrimPrefix(own.body, own.firstEvent())
		return served(own.answer(200), own.chunked(200))
	}},
	{"event twice", func(_, own message) delivery {
		own.body = own.firstEvent() + own.body
		return none(keepOpen, own.chunked(200))
	}},
	{"event twice behind a comment", func(_, own message) delivery {
		own.body = own.firstEvent() + comment + own.body
		return none(keepOpen, own.chunked(200))
	}},
}

// firstEvent returns the first event of the body.
func (m message) firstEvent() string {
	event, _, _ := strings.Cut(m.body, "\n\n")
	return event + "\n\n"
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Guards against passing on events twice or bytes that are no events when a target sends a
// stream twice or without ids.
func TestFaultyTargetsDoNotRepeatEvents(t *testing.T) {
	for _, kind := range requestKinds {
		if !kind.isStream() {
			continue
		}
		for _, use := range connectionUses {
			for _, c := range streamDeliveries {
				t.Run(kind.name+"/"+use.name+"/"+c.name, func(t *testing.T) { checkDelivery(t, kind, use, c.make) })
			}
		}
	}
}

// Guards against taking the body of a response to GET for a response while one to HEAD is
// due, and the other way round.
func TestBytesBehindResponsesToHEAD(t *testing.T) {
	kind := requestKinds[0]
	headOf := func(m message) string { return strings.TrimSuffix(m.length(200), m.body) }
	for _, c := range []struct {
		name, first, second string
		deliver             func(old, own message) []string
	}{
		{"body behind", "HEAD", "HEAD", func(_, own message) []string { return []string{own.length(200)} }},
		{"twice", "HEAD", "HEAD", func(_, own message) []string { return []string{headOf(own) + headOf(own)} }},
		{"late copy", "HEAD", "HEAD", func(old, own message) []string { return []string{headOf(old), headOf(own)} }},
		{"late copy of a response to GET", "GET", "HEAD", func(old, own message) []string { return []string{old.length(200), headOf(own)} }},
		{"late copy of a response to HEAD", "HEAD", "GET", func(old, own message) []string { return []string{headOf(old), own.length(200)} }},
		{"chunked", "GET", "HEAD", func(_, own message) []string { return []string{own.chunked(200)} }},
		{"without length", "GET", "HEAD", func(_, own message) []string { return []string{own.unframed(200)} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			previous := newMessage("id0", "s0", kind, 0)
			var b *byteTargets
			b = newByteTargets(t, kind, func(id, signature string) *delivery {
				method, own := c.second, newMessage(id, signature, kind, 0)
				if id == "id0" {
					method = c.first
				}
				pieces := []string{own.length(200)}
				switch {
				case len(b.runs) == 1:
					pieces = c.deliver(previous, own)
				case method == "HEAD":
					pieces = []string{headOf(own)}
				}
				if method == "HEAD" {
					own.body = ""
				}
				return &delivery{pieces: pieces, answer: own.answer(200)}
			})
			b.checkResult("id0", b.send(c.first, "id0", ""))
			got := b.send(c.second, "id1", "")
			if c.second == "HEAD" && got.body != "" {
				t.Errorf("the response to HEAD has the body %q", got.body)
			}
			b.checkResult("id1", got)
		})
	}
}

// Guards against a response that looks whole though it was cut behind the part that is
// buffered.
func TestLongResponsesAreWholeOrVisiblyCut(t *testing.T) {
	for _, size := range []int{maxBufferedBytes - 1, maxBufferedBytes, maxBufferedBytes + 1, 2 * maxBufferedBytes} {
		for name, encode := range map[string]func(m message) string{
			"length":         func(m message) string { return m.length(200) },
			"chunked":        func(m message) string { return m.chunked(200) },
			"without length": func(m message) string { return m.unframed(200) },
		} {
			t.Run(fmt.Sprintf("%d/%s", size, name), func(t *testing.T) {
				for _, end := range []ending{sendFIN, sendRST} {
					checkDelivery(t, requestKinds[1], connectionUses[0], func(_, own message) delivery {
						own.body = strings.Repeat("y", size)
						text := encode(own)
						if name == "without length" && end == sendFIN {
							return delivery{pieces: []string{text}, end: end, answer: own.answer(200)}
						}
						return none(end, text[:len(text)-1])
					})
				}
				checkDelivery(t, requestKinds[1], connectionUses[0], func(_, own message) delivery {
					own.body = strings.Repeat("y", size)
					if name == "without length" {
						return none(sendRST, encode(own))
					}
					return served(own.answer(200), encode(own))
				})
			})
		}
	}
}
