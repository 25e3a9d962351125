package edge

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/ugorji/go/codec"

	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/internal/netopt"
	"github.com/banyanglade/banyanglade/internal/relay"
)

// How instances ask each other for the newest records of the topics.

const (
	// topicsPath is where an instance gives its copies of the topics.
	topicsPath = "/topics"
	// waitField names how long an answer may wait for news, in milliseconds; the
	// other fields of a question are topics and offsets.
	waitField = "wait_ms"
	// relayField names the address of a relay that asks.
	relayField = "relay"
	// topicsDial bounds the set-up of a connection to another instance, topicsSilence
	// the time between two bytes of an answer.
	topicsDial    = 300 * time.Millisecond
	topicsSilence = 900 * time.Millisecond
	// longestAnswerWait bounds the wait that others may ask for.
	longestAnswerWait = 30 * time.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 32 << 20
)

var answerCodec = newAnswerCodec()

func newAnswerCodec() *codec.CborHandle {
	h := new(codec.CborHandle)
	h.MaxInitLen = 1024 // elements allocated ahead on the word of a length field
	return h
}

// giveTopics answers another instance's question.
func (e *edge) giveTopics(c *gin.Context) {
	question, err := decodeQuestion(c.Request.URL.Query())
	if err != nil {
		c.String(http.StatusBadRequest, "%s", err.Error())
		return
	}
	answer, err := e.relay.HandleQuery(c.Request.Context(), question)
	if err != nil {
		e.log.Debug("question for topics not answered", "error", err.Error())
		c.Status(http.StatusServiceUnavailable)
		return
	}
	var body []byte
	if err := codec.NewEncoderBytes(&body, answerCodec).Encode(answer); err != nil {
		e.log.Error("answer to a question for topics not encoded", "error", err.Error())
		c.Status(http.StatusInternalServerError)
		return
	}
	c.Data(http.StatusOK, "application/cbor", body)
}

func encodeQuestion(q relay.Query) url.Values {
	query := url.Values{waitField: {strconv.FormatInt(q.Wait.Milliseconds(), 10)}}
	if q.RelayAddress != "" {
		query.Set(relayField, q.RelayAddress)
	}
	for topic, from := range q.Offsets {
		query.Set(topic, strconv.FormatInt(from, 10))
	}
	return query
}

func decodeQuestion(query url.Values) (relay.Query, error) {
	q := relay.Query{Offsets: make(map[string]int64, len(query))}
	for field := range query {
		if field == relayField {
			if _, err := netip.ParseAddrPort(query.Get(field)); err != nil {
				return relay.Query{}, errors.Wrap(err, relayField)
			}
			q.RelayAddress = query.Get(field)
			continue
		}
		value, err := strconv.ParseInt(query.Get(field), 10, 64)
		if err != nil || value < feed.FromStart {
			return relay.Query{}, errors.Newf("%s: %q: expected a whole number", field, query.Get(field))
		}
		if field == waitField {
			q.Wait = min(time.Duration(max(value, 0))*time.Millisecond, longestAnswerWait)
			continue
		}
		q.Offsets[field] = value
	}
	return q, nil
}

// topicsClient asks other instances. It implements relay.Peers.
type topicsClient struct{ client *http.Client }

func newTopicsClient() *topicsClient {
	return &topicsClient{client: &http.Client{Transport: &http.Transport{
		DialContext:        netopt.NewDialer(topicsDial, topicsSilence).DialContext,
		IdleConnTimeout:    10 * time.Second,
		DisableCompression: true,
	}}}
}

// Ask implements relay.Peers. An answer may take long as long as bytes come: many
// ask a relay at once when all start.
func (t *topicsClient) Ask(ctx context.Context, address string, q relay.Query) (relay.Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(q.Wait+q.ReplyTimeout, cancel)
	defer silence.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+topicsPath+"?"+encodeQuestion(q).Encode(), nil)
	if err != nil {
		return relay.Reply{}, errors.Wrap(err, "make the question")
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return relay.Reply{}, errors.Wrap(err, "ask")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return relay.Reply{}, errors.Newf("status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(&heardReader{http.MaxBytesReader(nil, resp.Body, maxAnswerBytes), silence})
	if err != nil {
		return relay.Reply{}, errors.Wrap(err, "read the answer")
	}
	var answer relay.Reply
	if err := codec.NewDecoderBytes(body, answerCodec).Decode(&answer); err != nil {
		return relay.Reply{}, errors.Wrap(err, "decode")
	}
	return answer, nil
}

// heardReader puts off the end of a call with each byte that comes.
type heardReader struct {
	io.Reader
	silence *time.Timer
}

// Read implements io.Reader.
func (r *heardReader) Read(p []byte) (int, error) {
	r.silence.Reset(topicsSilence)
	return r.Reader.Read(p)
}
