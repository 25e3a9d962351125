package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxResponseBytes limits the size of a response body.
const maxResponseBytes = 256 << 20

// ClientOptions holds the flags of the commands that send requests to an instance.
type ClientOptions struct {
	Server  string        `arg:"--server,env:BANYANGLADE_SERVER" placeholder:"URL" help:"base URL of any instance, as in http://10.0.0.5:8080"`
	Key     Secret        `arg:"--key,env:BANYANGLADE_KEY" help:"operator's key; the environment variable keeps it out of process lists"`
	Timeout time.Duration `arg:"--timeout,env:BANYANGLADE_TIMEOUT" default:"30s" help:"the longest that the request may take"`
	JSON    bool          `arg:"--json" help:"print the answer as JSON"`
}

// client sends requests to one instance.
type client struct {
	base *url.URL
	key  Secret
	http *http.Client
}

func (o ClientOptions) client() (*client, error) {
	if !isHTTPURL(o.Server) {
		return nil, errors.Mark(&ConfigError{"server", redactURL(o.Server), "an http or https URL without a user or query"}, errUsage)
	}
	base, err := url.Parse(o.Server)
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	return &client{base: base, key: o.Key, http: &http.Client{Timeout: o.Timeout}}, nil
}

// response is the status and body of an HTTP response.
type response struct {
	status int
	body   []byte
}

// decode decodes the JSON body into v.
func (r response) decode(v any) error {
	if err := json.Unmarshal(r.body, v); err != nil {
		return errors.Wrap(err, "decode the response")
	}
	return nil
}

// get sends a GET request. A status of 400 or above is a *ProblemError.
func (c *client) get(ctx context.Context, path string, query url.Values) (response, error) {
	return c.do(ctx, http.MethodGet, path, query, nil)
}

// do sends a request. A status of 400 or above is a *ProblemError.
func (c *client) do(ctx context.Context, method, path string, query url.Values, body any) (response, error) {
	resp, err := c.send(ctx, method, path, query, body)
	if err != nil {
		return response{}, err
	}
	if resp.status >= http.StatusBadRequest {
		return response{}, newProblemError(resp)
	}
	return resp, nil
}

// send sends a request and returns the response whatever its status.
func (c *client) send(ctx context.Context, method, path string, query url.Values, body any) (response, error) {
	target := c.base.JoinPath(path)
	target.RawQuery = query.Encode()
	reader, err := encodeBody(body)
	if err != nil {
		return response{}, err
	}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), reader)
	if err != nil {
		return response{}, errors.Wrap(err, "create the request")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if key := strings.TrimSpace(c.key.Reveal()); key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	httpResp, err := c.http.Do(request)
	if err != nil {
		return response{}, errors.Wrap(err, "no answer from the instance")
	}
	defer func() { _ = httpResp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(httpResp.Body, maxResponseBytes))
	if err != nil {
		return response{}, errors.Wrap(err, "read the response")
	}
	return response{status: httpResp.StatusCode, body: data}, nil
}

// mayHaveTakenEffect reports whether a failed request may have taken effect.
func mayHaveTakenEffect(err error) bool {
	var problem *ProblemError
	if errors.As(err, &problem) {
		return problem.Outcome == "unknown"
	}
	var network *net.OpError
	notConnected := errors.As(err, &network) && network.Op == "dial"
	return !notConnected
}

func encodeBody(body any) (io.Reader, error) {
	if body == nil {
		return http.NoBody, nil
	}
	data, err := json.Marshal(body)
	return bytes.NewReader(data), errors.Wrap(err, "encode the request")
}
