package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/banyanglade/banyanglade/internal/feed"
	"github.com/banyanglade/banyanglade/platform"
)

// While the store refuses an instance, or is away when it starts, it asks other
// instances for the newest records of the topics that it follows.

const (
	// topicsPath is where an instance gives its copies of the topics.
	topicsPath = "/topics"
	// peerInterval is the time between two questions; settings have to be in
	// force within 2 s.
	peerInterval = 400 * time.Millisecond
	// peerTimeout bounds one question.
	peerTimeout = 600 * time.Millisecond
	// maxTopicsBytes bounds an answer: settings of some thousand routes.
	maxTopicsBytes = 16 << 20
)

// topicCopy is the newest records of one topic, above an offset.
type topicCopy struct {
	// Whole tells that the sender knows the whole topic.
	Whole   bool              `json:"whole"`
	Records []platform.Record `json:"records"`
	// AgeMs is how long ago the sender knew that its copy was the newest, in
	// milliseconds; nil if that is not known.
	AgeMs *int64 `json:"age_ms,omitempty"`
}

// copies are the topics that instances give each other.
func (e *edge) copies() []*feed.Topic { return []*feed.Topic{e.settings, e.targets, e.instances} }

// giveTopics answers another instance's question.
func (e *edge) giveTopics(c *gin.Context) {
	answer := make(map[string]topicCopy)
	for _, topic := range e.copies() {
		since, err := strconv.ParseInt(c.DefaultQuery(topic.Name, "-1"), 10, 64)
		if err != nil {
			c.Status(http.StatusBadRequest)
			return
		}
		// The age comes first: what it covers is in the records then.
		age := topic.Age(time.Now()).Milliseconds()
		records, _ := topic.Since(since)
		answer[topic.Name] = topicCopy{Whole: topic.Known(), Records: records, AgeMs: &age}
	}
	c.JSON(http.StatusOK, answer)
}

// askPeers asks other instances while the store does not answer.
func (e *edge) askPeers(ctx context.Context) {
	client := &http.Client{Timeout: peerTimeout, Transport: &http.Transport{
		DialContext:       (&net.Dialer{Timeout: peerTimeout / 2}).DialContext,
		IdleConnTimeout:   10 * time.Second,
		DisableKeepAlives: false,
	}}
	ticker := time.NewTicker(peerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			client.CloseIdleConnections()
			return
		case <-ticker.C:
		}
		if e.health.OK() {
			continue
		}
		address := e.anyPeer()
		if address == "" {
			continue
		}
		if err := e.askPeer(ctx, client, address); err != nil {
			e.log.Debug("peer gave no topics", "address", address, "error", err.Error())
		}
	}
}

// anyPeer chooses an instance at random, or a seed if none is known.
func (e *edge) anyPeer() string {
	var addresses []string
	for _, p := range e.directory.Others() {
		addresses = append(addresses, p.Address)
	}
	if len(addresses) == 0 {
		for _, seed := range e.machine.Seeds {
			if seed != e.machine.PeerAddress {
				addresses = append(addresses, seed)
			}
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

func (e *edge) askPeer(ctx context.Context, client *http.Client, address string) error {
	query := url.Values{}
	for _, topic := range e.copies() {
		_, newest := topic.Since(int64(1) << 62)
		if !topic.Known() {
			newest = -1
		}
		query.Set(topic.Name, strconv.FormatInt(newest, 10))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+topicsPath+"?"+query.Encode(), nil)
	if err != nil {
		return errors.Wrap(err, "make the question")
	}
	asked := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d", resp.StatusCode)
	}
	var answer map[string]topicCopy
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxTopicsBytes)).Decode(&answer); err != nil {
		return errors.Wrap(err, "decode")
	}
	e.takeCopies(answer, address)
	e.confirmCopies(answer, asked)
	return nil
}

// confirmCopies notes how old the topics are now that another instance's copies
// were merged, which it was asked for at a time.
func (e *edge) confirmCopies(answer map[string]topicCopy, asked time.Time) {
	for _, topic := range e.copies() {
		if given := answer[topic.Name]; given.Whole && given.AgeMs != nil {
			topic.Confirm(asked.Add(-time.Duration(*given.AgeMs) * time.Millisecond))
		}
	}
}

// takeCopies merges copies of topics from an instance or from the store.
func (e *edge) takeCopies(answer map[string]topicCopy, source string) {
	for _, topic := range e.copies() {
		given, ok := answer[topic.Name]
		if !ok {
			continue
		}
		if taken := topic.Merge(given.Records); taken > 0 {
			e.log.Info("records taken from a copy", "topic", topic.Name, "records", taken, "source", source)
		}
		if given.Whole {
			topic.MarkKnown()
		}
	}
}
