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
	// ErrReplyTooLarge is the error of a reply above the limit.
	ErrReplyTooLarge = errors.New("reply is too large")
	// ErrProtocol is the error of a reply that breaks the service's protocol.
	ErrProtocol = errors.New("reply breaks the protocol")
)

// StatusError is an answer other than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return "status " + http.StatusText(e.Status) }

// newClient makes a client with connections of its own. Redirects are answers.
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

// getJSON reads a JSON reply of at most limit bytes into target. A status other
// than 200 is a *StatusError; its body is read into target too if it is 410.
func getJSON(ctx context.Context, client *http.Client, url string, limit int64, target any) error {
	_, err := getIfChanged(ctx, client, url, limit, "", target)
	return err
}

// getIfChanged is getJSON for a resource that was read before with an entity tag:
// it returns errNotModified if the resource is still the same, else its tag.
// An empty tag asks for the resource in any case.
func getIfChanged(ctx context.Context, client *http.Client, url string, limit int64, tag string, target any) (string, error) {
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
	return reply.Header.Get("ETag"), decodeReply(reply, limit, target)
}

func decodeReply(reply *http.Response, limit int64, target any) error {
	if reply.StatusCode != http.StatusOK && reply.StatusCode != http.StatusGone {
		return &StatusError{Status: reply.StatusCode}
	}
	if err := decodeJSON(reply.Body, limit, target); err != nil {
		return err
	}
	if reply.StatusCode == http.StatusGone {
		return &StatusError{Status: reply.StatusCode}
	}
	return nil
}

func decodeJSON(body io.Reader, limit int64, target any) error {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return ErrReplyTooLarge
	}
	if err := json.Unmarshal(data, target); err != nil {
		return errors.Mark(err, ErrProtocol)
	}
	return nil
}

// errNotModified tells that a resource is as it was when its tag was given.
var errNotModified = errors.New("not modified")

// maxDiscardBytes is how much of an unread body is read so that the connection can
// be used again, in bytes.
const maxDiscardBytes = 64 << 10

func discardBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDiscardBytes)
	_ = body.Close()
}
