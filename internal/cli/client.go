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

// maxAnswer bounds an answer, in bytes.
const maxAnswer = 256 << 20

// ClientOptions are the flags of the commands that talk to an instance.
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
		return nil, errors.Mark(&ConfigError{"server", shownURL(o.Server), "an http or https URL without a user or query"}, errUsage)
	}
	base, err := url.Parse(o.Server)
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	return &client{base: base, key: o.Key, http: &http.Client{Timeout: o.Timeout}}, nil
}

// answer is the body of a successful request.
type answer struct {
	status int
	body   []byte
}

// decode reads the body into v.
func (a answer) decode(v any) error {
	if err := json.Unmarshal(a.body, v); err != nil {
		return errors.Wrap(err, "the server sent no usable answer")
	}
	return nil
}

// get reads a route. Statuses other than 200 are errors.
func (c *client) get(ctx context.Context, path string, query url.Values) (answer, error) {
	return c.do(ctx, http.MethodGet, path, query, nil)
}

// do sends a request. A status of 400 and more is a *ProblemError.
func (c *client) do(ctx context.Context, method, path string, query url.Values, body any) (answer, error) {
	a, err := c.exchange(ctx, method, path, query, body)
	if err != nil {
		return answer{}, err
	}
	if a.status >= http.StatusBadRequest {
		return answer{}, newProblemError(a)
	}
	return a, nil
}

// exchange sends a request and reads the answer, whatever its status.
func (c *client) exchange(ctx context.Context, method, path string, query url.Values, body any) (answer, error) {
	target := c.base.JoinPath(path)
	target.RawQuery = query.Encode()
	reader, err := encodeBody(body)
	if err != nil {
		return answer{}, err
	}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), reader)
	if err != nil {
		return answer{}, errors.Wrap(err, "request")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if key := strings.TrimSpace(c.key.Reveal()); key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, errors.Wrap(err, "no answer from the instance")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return answer{}, errors.Wrap(err, "the answer broke off")
	}
	return answer{status: response.StatusCode, body: data}, nil
}

// mayHaveRun tells whether a failed request may have taken effect.
func mayHaveRun(err error) bool {
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
