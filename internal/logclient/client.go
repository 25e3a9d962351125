package logclient

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 128
)

// Errors of a request to the platform.
var (
	// ErrReplyTooLarge is returned for a reply that exceeds the size limit.
	ErrReplyTooLarge = errors.New("reply is too large")
	// ErrProtocol is returned for a reply that violates the service's protocol.
	ErrProtocol = errors.New("reply violates the protocol")
)

// StatusError is returned for a response with a status other than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return "unexpected status " + http.StatusText(e.Status) }

// newClient returns a client with its own connection pool. It does not follow
// redirects.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// getJSON decodes a JSON reply of at most limit bytes into target. It returns a
// *StatusError for a status other than 200; the body of status 410 is decoded too.
func getJSON(ctx context.Context, client *http.Client, url string, limit int64, value any) error {
	_, err := getIfChanged(ctx, client, url, limit, "", value)
	return err
}

// getIfChanged is getJSON with the entity tag of an earlier read: it returns
// errNotModified if the resource is unchanged, otherwise the new tag. An empty tag
// makes the request unconditional.
func getIfChanged(ctx context.Context, client *http.Client, url string, limit int64, tag string, value any) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	reply, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer discardBody(reply.Body)
	if reply.StatusCode == http.StatusNotModified && tag != "" {
		return tag, errNotModified
	}
	return reply.Header.Get("ETag"), decodeReply(reply, limit, value)
}

func decodeReply(reply *http.Response, limit int64, value any) error {
	if reply.StatusCode != http.StatusOK && reply.StatusCode != http.StatusGone {
		return &StatusError{Status: reply.StatusCode}
	}
	if err := decodeJSON(reply.Body, limit, value); err != nil {
		return err
	}
	if reply.StatusCode == http.StatusGone {
		return &StatusError{Status: reply.StatusCode}
	}
	return nil
}

func decodeJSON(body io.Reader, limit int64, value any) error {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return ErrReplyTooLarge
	}
	if err := json.Unmarshal(data, value); err != nil {
		return errors.Mark(err, ErrProtocol)
	}
	return nil
}

// errNotModified indicates that a resource is unchanged since its entity tag.
var errNotModified = errors.New("not modified")

// maxDiscardBytes bounds how much of an unread body is discarded so that the
// connection can be reused.
const maxDiscardBytes = 64 << 10

func discardBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDiscardBytes)
	_ = body.Close()
}
