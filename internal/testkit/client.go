package testkit

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/wire"
)

// Client sends requests of a caller or operator to one instance.
type Client struct {
	Server string
	Key    string
	HTTP   *http.Client
	// OnChunk, if set, is called with the number of each chunk of a streamed
	// response, counted from 1.
	OnChunk func(number int)
}

// NewClient returns a client that opens a new connection for each request, as
// callers behind a load balancer do.
func NewClient(server, key string) *Client {
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{Server: server, Key: key, HTTP: &http.Client{Transport: transport}}
}

// Call holds the request headers of one call.
type Call struct {
	Program       string
	Lane          string
	Number        int
	Key           string
	NotRepeatable bool
	Deadline      time.Duration
	Fee           int
	// Attempt counts the sends of the key from 1. The first is marked fresh; 0
	// sends no mark.
	Attempt int
}

// Response is the response that a caller received.
type Response struct {
	Status int
	// Outcome is the Banyanglade-Outcome header.
	Outcome string
	Program string
	Body    []byte
	// Text is the text of a chat response, Chunks the number of its streamed
	// chunks with content.
	Text   string
	Chunks int
	// Problem is the problem document of a refusal.
	Problem *Problem
	// FirstChunk is the time to the first chunk of a streamed response,
	// Duration the time to its end.
	FirstChunk time.Duration
	Duration   time.Duration
	// ChunkTimes are the times of all chunks of a streamed response, Usage the
	// usage that its last event reports.
	ChunkTimes []time.Duration
	Usage      wire.Usage
	// Truncated reports whether the connection ended before the response did.
	Truncated bool
}

// Problem is a problem document (RFC 9457).
type Problem struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail"`
	Outcome      string `json:"outcome"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// OK reports whether the call succeeded with a complete response.
func (r *Response) OK() bool { return r.Status == http.StatusOK && r.Problem == nil && !r.Truncated }

// SettingsChange is one change in the body of PUT /v1/settings.
type SettingsChange struct {
	Path     string `json:"path"`
	Base     uint64 `json:"base"`
	Value    any    `json:"value"`
	ChangeID string `json:"change_id"`
}

// Publish proposes changes to the settings.
func (c *Client) Publish(ctx context.Context, changes ...SettingsChange) (*Response, error) {
	body, err := json.Marshal(map[string]any{"changes": changes})
	if err != nil {
		return nil, err
	}
	return c.Do(ctx, http.MethodPut, "/v1/settings", body, Call{})
}

// Open opens a program and returns its id.
func (c *Client) Open(ctx context.Context) (string, error) {
	response, err := c.Do(ctx, http.MethodPost, "/v1/programs", []byte("{}"), Call{})
	if err != nil {
		return "", err
	}
	if response.Program == "" || response.Problem != nil {
		return "", errors.Newf("open program: status %d: %s", response.Status, response.Body)
	}
	return response.Program, nil
}

// Close closes a program.
func (c *Client) Close(ctx context.Context, program string) (*Response, error) {
	return c.Do(ctx, http.MethodDelete, "/v1/programs/"+program, nil, Call{})
}

// Chat requests a chat completion.
func (c *Client) Chat(ctx context.Context, request wire.ChatRequest, call Call) (*Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	return c.Do(ctx, http.MethodPost, wire.ChatRoute, body, call)
}

// Do sends one request. A connection that breaks before the status line yields
// an error, one that breaks later a Response with Truncated set.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, call Call) (*Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.Server+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	setCallHeaders(request.Header, call)
	started := time.Now()
	httpResponse, err := c.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	response := &Response{
		Status: httpResponse.StatusCode, Outcome: httpResponse.Header.Get("Banyanglade-Outcome"),
		Program: httpResponse.Header.Get("Banyanglade-Program"),
	}
	if strings.HasPrefix(httpResponse.Header.Get("Content-Type"), "text/event-stream") {
		response.readStream(httpResponse.Body, started, c.OnChunk)
	} else {
		response.readBody(httpResponse.Body)
	}
	response.Duration = time.Since(started)
	return response, nil
}

func setCallHeaders(header http.Header, call Call) {
	set := func(name, value string) {
		if value != "" && value != "0" {
			header.Set(name, value)
		}
	}
	set("Banyanglade-Program", call.Program)
	set("Banyanglade-Lane", call.Lane)
	set("Banyanglade-Call", fmt.Sprint(call.Number))
	set("Idempotency-Key", call.Key)
	set("Banyanglade-Deadline-Ms", fmt.Sprint(call.Deadline.Milliseconds()))
	set("Banyanglade-Fee", fmt.Sprint(call.Fee))
	if call.Attempt == 1 {
		set("Banyanglade-Fresh", "true")
	}
	if call.NotRepeatable {
		set("Banyanglade-Not-Repeatable", "true")
	}
}

func (r *Response) readBody(body io.Reader) {
	var err error
	r.Body, err = io.ReadAll(body)
	r.Truncated = err != nil
	if r.Status >= http.StatusBadRequest {
		r.parseProblem(r.Body)
		return
	}
	var chat wire.ChatReply
	if json.Unmarshal(r.Body, &chat) == nil && len(chat.Choices) > 0 && chat.Choices[0].Message != nil {
		r.Text = chat.Choices[0].Message.Content
	}
}

func (r *Response) parseProblem(body []byte) {
	var p Problem
	if json.Unmarshal(body, &p) == nil && p.Type != "" {
		r.Problem = &p
	}
}

// readStream reads server-sent events up to [DONE] or an error event.
func (r *Response) readStream(body io.Reader, started time.Time, onChunk func(int)) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 64<<10), 16<<20)
	r.Truncated = true
	isError := false
	for scanner.Scan() {
		line := scanner.Text()
		if line == "event: error" {
			isError = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if isError {
			r.parseProblem([]byte(data))
			r.Truncated = false
			return
		}
		if data == "[DONE]" {
			r.Truncated = false
			return
		}
		r.addChunk(data, started, onChunk)
	}
}

func (r *Response) addChunk(data string, started time.Time, onChunk func(int)) {
	at := time.Since(started)
	var chunk wire.ChatChunk
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return
	}
	if chunk.Usage != nil {
		r.Usage = *chunk.Usage
	}
	delta := chunk.Choices[0].Delta
	if delta == nil || delta.Content == "" {
		return
	}
	if r.Chunks == 0 {
		r.FirstChunk = at
	}
	r.ChunkTimes = append(r.ChunkTimes, at)
	r.Chunks++
	r.Text += delta.Content
	if onChunk != nil {
		onChunk(r.Chunks)
	}
}
