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

// Queries between instances for the newest records of the topics.

const (
	// topicsPath is the path under which an instance serves its copies of the topics.
	topicsPath = "/topics"
	// waitField is the field for how long a reply may wait for updates, in milliseconds.
	// All fields but this one and relayField are topics, with offsets as values.
	waitField = "wait_ms"
	// relayField is the field for the address of the sender, if that is a relay.
	relayField = "relay"
	// topicsDialTimeout bounds the dial to another instance, topicsReadTimeout the time
	// between two reads of a reply.
	topicsDialTimeout = 300 * time.Millisecond
	topicsReadTimeout = 900 * time.Millisecond
	// maxQueryWait bounds the wait that other instances may request.
	maxQueryWait = 30 * time.Second
	// maxReplyBytes bounds the size of a reply.
	maxReplyBytes = 32 << 20
)

var replyCodec = newReplyCodec()

func newReplyCodec() *codec.CborHandle {
	h := new(codec.CborHandle)
	h.MaxInitLen = 1024 // bounds what a forged length field allocates
	return h
}

// handleTopics serves a query of another instance.
func (e *edge) handleTopics(c *gin.Context) {
	query, err := decodeQuery(c.Request.URL.Query())
	if err != nil {
		c.String(http.StatusBadRequest, "%s", err.Error())
		return
	}
	reply, err := e.relay.HandleQuery(c.Request.Context(), query)
	if err != nil {
		e.log.Debug("failed to reply to a query for topics", "error", err.Error())
		c.Status(http.StatusServiceUnavailable)
		return
	}
	var body []byte
	if err := codec.NewEncoderBytes(&body, replyCodec).Encode(reply); err != nil {
		e.log.Error("failed to encode the reply to a query for topics", "error", err.Error())
		c.Status(http.StatusInternalServerError)
		return
	}
	c.Data(http.StatusOK, "application/cbor", body)
}

func encodeQuery(q relay.Query) url.Values {
	query := url.Values{waitField: {strconv.FormatInt(q.Wait.Milliseconds(), 10)}}
	if q.RelayAddress != "" {
		query.Set(relayField, q.RelayAddress)
	}
	for topic, from := range q.Offsets {
		query.Set(topic, strconv.FormatInt(from, 10))
	}
	return query
}

func decodeQuery(query url.Values) (relay.Query, error) {
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
			q.Wait = min(time.Duration(max(value, 0))*time.Millisecond, maxQueryWait)
			continue
		}
		q.Offsets[field] = value
	}
	return q, nil
}

// topicsClient sends queries to other instances. It implements relay.Peers.
type topicsClient struct{ client *http.Client }

func newTopicsClient() *topicsClient {
	return &topicsClient{client: &http.Client{Transport: &http.Transport{
		DialContext:        netopt.NewDialer(topicsDialTimeout, topicsReadTimeout).DialContext,
		IdleConnTimeout:    10 * time.Second,
		DisableCompression: true,
	}}}
}

// Query implements relay.Peers. The timeout is extended with each read, since a relay
// that serves many starting instances may send its reply slowly.
func (c *topicsClient) Query(ctx context.Context, address string, q relay.Query) (relay.Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(q.Wait+q.ReplyTimeout, cancel)
	defer timeout.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+topicsPath+"?"+encodeQuery(q).Encode(), nil)
	if err != nil {
		return relay.Reply{}, errors.Wrap(err, "create the query")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return relay.Reply{}, errors.Wrap(err, "ask")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return relay.Reply{}, errors.Newf("status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(&timeoutReader{http.MaxBytesReader(nil, resp.Body, maxReplyBytes), timeout})
	if err != nil {
		return relay.Reply{}, errors.Wrap(err, "read the reply")
	}
	var reply relay.Reply
	if err := codec.NewDecoderBytes(body, replyCodec).Decode(&reply); err != nil {
		return relay.Reply{}, errors.Wrap(err, "decode")
	}
	return reply, nil
}

// timeoutReader extends the timeout of a call with each read.
type timeoutReader struct {
	io.Reader
	timeout *time.Timer
}

func (r *timeoutReader) Read(p []byte) (int, error) {
	r.timeout.Reset(topicsReadTimeout)
	return r.Reader.Read(p)
}
