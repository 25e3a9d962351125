package framing

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// scan passes text to a Scanner in pieces of the given sizes, in turn. It returns the
// offsets after each message, and the offset and error at which the text was rejected.
func scan(text string, sizes []int) (ends []int, rejected int, err error) {
	var s Scanner
	at := 0
	for i := 0; at < len(text); i++ {
		// The scanner is asked byte by byte where messages end.
		for range min(sizes[i%len(sizes)], len(text)-at) {
			between := s.state == betweenMessages
			n, err := s.Scan([]byte{text[at]})
			if err != nil {
				return ends, at + n, err
			}
			at++
			if s.state == betweenMessages && !between {
				ends = append(ends, at)
			}
		}
	}
	return ends, at, nil
}

// scanPieces passes text in pieces of random sizes and returns where it was rejected.
func scanPieces(text string, r *rand.Rand, largest int) (headers int64, rejected int, err error) {
	var s Scanner
	for at := 0; at < len(text); {
		size := min(1+r.IntN(largest), len(text)-at)
		n, err := s.Scan([]byte(text[at : at+size]))
		at += n
		if err != nil {
			return s.headers, at, err
		}
	}
	return s.headers, len(text), nil
}

// readAll reads requests with net/http and returns the offsets after each.
func readAll(text string) []int {
	source := strings.NewReader(text)
	reader := bufio.NewReader(source)
	var ends []int
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return ends
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return ends
		}
		ends = append(ends, len(text)-source.Len()-reader.Buffered())
	}
}

const head = "POST /a HTTP/1.1\r\nHost: a.example\r\n"

// long is a header field that exceeds the buffers of net/http and of lineBuffer.
var long = "X-Long: " + strings.Repeat("5c1e07a2:16,", 500) + "\r\n"

// proper are requests that must not be rejected.
var proper = []string{
	"GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n",
	"GET /a HTTP/1.0\r\n\r\n",
	"GET /" + strings.Repeat("a", 3000) + " HTTP/1.1\r\nHost: a.example\r\n\r\n",
	head + "Content-Length: 0\r\n\r\n",
	head + "Content-Length:5\r\n\r\nabcde",
	head + "Content-Length: 5 \r\nContent-Length: 5\r\n\r\n\r\n\r\n\r",
	head + long + "content-length: 35\r\n\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	head + "Content-Length: 9000\r\n\r\n" + strings.Repeat("Content-Length: 1\r\n", 500)[:9000],
	head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	head + "transfer-encoding: Chunked\r\n" + long + "\r\n3\r\nabc\r\n00a;ext=\"1\"\r\n0123456789\r\n0\r\nX-Trailer: Content-Length: 5\r\n\r\n",
	head + "Transfer-Encoding: chunked\r\n\r\n3d\r\n0\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 5\r\nHost: a.example\r\n\r\n\r\n0\r\n\r\n",
	head + "X-Folded: a\r\n Content-Length: 5\r\n\tTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\na",
	head + "X-Content-Length: 7\r\nContent-Length-X: 8\r\nTransfer-Encodings: chunked\r\n\r\n",
	"POST /a HTTP/1.1\nHost: a.example\nContent-Length: 2\n\nab",
}

// rejectedRequests are requests whose header must be rejected.
var rejectedRequests = []string{
	head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	head + "Transfer-Encoding: chunked\r\ncOnTeNt-lEnGtH:5\r\n\r\n0\r\n\r\n",
	head + "Content-Length: 5\r\n" + long + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	head + "Content-Length: 5\r\n" + long + "Transfer-Encoding:\r\n\r\n0\r\n\r\n",
	head + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
	head + "Content-Length:\r\n 5\r\n\r\nabcde",
	head + "Content-Length: " + strings.Repeat("0", 300) + "5\r\n\r\nabcde",
	head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
	"POST /a HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST /" + strings.Repeat("a", 3000) + " HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
}

// Guards against requests that are delimited differently here and by net/http, and
// against proper requests that are rejected for what an earlier one held.
func TestProperRequestsAreDelimitedLikeNetHTTP(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		text := ""
		for range 1 + r.IntN(6) {
			text += proper[r.IntN(len(proper))]
		}
		want := readAll(text)
		ends, rejected, err := scan(text, []int{1})
		if err != nil {
			t.Fatalf("seed %d: rejected at %d of %q: %v", seed, rejected, text, err)
		}
		if !slices.Equal(ends, want) {
			t.Fatalf("seed %d: messages of %q end at %v, for net/http at %v", seed, text, ends, want)
		}
		for _, largest := range []int{1, 7, 300, 4096, 1 << 20} {
			headers, at, err := scanPieces(text, r, largest)
			if err != nil || headers != int64(len(want)) {
				t.Errorf("seed %d, pieces of up to %d bytes: %d headers of %d, at %d: %v", seed, largest, headers, len(want), at, err)
			}
		}
	}
}

// Guards against request smuggling: the verdict on a header must not depend on how its
// bytes arrive or on what precedes it.
func TestAmbiguousHeadersAreRejectedHoweverTheyArrive(t *testing.T) {
	for i, request := range rejectedRequests {
		for seed := range uint64(40) {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			before := ""
			count := r.IntN(3)
			for range count {
				before += proper[r.IntN(len(proper))]
			}
			end := len(before) + strings.Index(request, "\r\n\r\n") + len("\r\n\r\n")
			for _, largest := range []int{1, 2, 60, 4096, 1 << 20} {
				headers, at, err := scanPieces(before+request+proper[0], r, largest)
				if !errors.IsAny(err, ErrAmbiguousLength, ErrMalformedLength) || at != end || headers != int64(count)+1 {
					t.Errorf("request %d, pieces of up to %d bytes: %d headers, at %d, want %d: %v", i, largest, headers, at, end, err)
				}
			}
		}
	}
}

// A chunk whose size or end is malformed is rejected at the end of its line.
func TestMalformedChunksAreRejected(t *testing.T) {
	for _, chunks := range []string{"zz\r\n", "\r\n", "-1\r\n", "00000000000000001\r\n", "3\r\nabcd\r\n"} {
		text := head + "Transfer-Encoding: chunked\r\n\r\n" + chunks
		_, rejected, err := scan(text, []int{1})
		if !errors.Is(err, ErrMalformedChunk) || rejected != len(text) {
			t.Errorf("%q: rejected at %d of %d: %v", chunks, rejected, len(text), err)
		}
	}
}

// FuzzScanner checks that every message that net/http accepts ends where it ends for the
// scanner, unless the scanner rejects its header.
func FuzzScanner(f *testing.F) {
	for i := range proper {
		f.Add([]byte(proper[i] + proper[(i+1)%len(proper)]))
	}
	for _, request := range rejectedRequests {
		f.Add([]byte(request))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if bytes.HasPrefix(data, []byte("\r")) || bytes.HasPrefix(data, []byte("\n")) {
			t.Skip("http.ReadRequest does not skip line ends before a request")
		}
		text := string(data)
		want := readAll(text)
		ends, at, err := scan(text, []int{1})
		for i, end := range want {
			if i < len(ends) && ends[i] != end {
				t.Fatalf("message %d ends at %d, for net/http at %d", i, ends[i], end)
			}
			if i >= len(ends) && (err == nil || at > end) {
				t.Fatalf("message %d does not end, for net/http at %d: %v at %d", i, end, err, at)
			}
		}
		r := rand.New(rand.NewPCG(uint64(len(data)), 1))
		_, inPieces, errInPieces := scanPieces(text, r, 50)
		if inPieces != at || fmt.Sprint(errInPieces) != fmt.Sprint(err) {
			t.Fatalf("rejected at %d with %v, in pieces at %d with %v", at, err, inPieces, errInPieces)
		}
	})
}

// BenchmarkScanner scans a request with a header of 6 KB and a body of 4 KB in reads of
// 4 KB.
func BenchmarkScanner(b *testing.B) {
	request := []byte(head + long + "Content-Length: 4096\r\n\r\n" + strings.Repeat("x", 4096))
	b.SetBytes(int64(len(request)))
	var s Scanner
	for b.Loop() {
		for piece := range slices.Chunk(request, 4096) {
			for at := 0; at < len(piece); {
				n, err := s.Scan(piece[at:])
				if err != nil {
					b.Fatal(err)
				}
				at += n
			}
		}
	}
}
