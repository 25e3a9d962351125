package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// ErrInvalidRequest is returned for a call that cannot be encoded as a request.
var ErrInvalidRequest = errors.New("call cannot be sent")

// methods lists the methods allowed for plain calls.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func newRunRequest(ctx context.Context, command structs.StartRun) (*http.Request, error) {
	if command.Call.Kind == structs.CallChat {
		return newChatRequest(ctx, command)
	}
	return newPlainRequest(ctx, command)
}

func newChatRequest(ctx context.Context, command structs.StartRun) (*http.Request, error) {
	body, err := streamingBody(command.Call.Body)
	if err != nil {
		return nil, err
	}
	address := joinURL(command.Target.Address, wire.ChatRoute)
	request, err := newSendOnce(ctx, http.MethodPost, address, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set(wire.HeaderStream, string(command.Run))
	request.Header.Set(wire.HeaderProgram, string(command.Call.Program))
	if command.Fencing > 0 {
		request.Header.Set(wire.HeaderFencing, strconv.FormatUint(command.Fencing, 10))
	}
	return request, nil
}

// streamingBody sets "stream" to true in the body of a chat completion and leaves
// the other fields unchanged.
func streamingBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, errors.Wrap(ErrInvalidRequest, "the body of a chat completion must be a JSON object")
	}
	fields["stream"] = json.RawMessage("true")
	var streaming bytes.Buffer
	encoder := json.NewEncoder(&streaming)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(fields); err != nil {
		return nil, errors.Mark(err, ErrInvalidRequest)
	}
	return streaming.Bytes(), nil
}

func newPlainRequest(ctx context.Context, command structs.StartRun) (*http.Request, error) {
	call := command.Call
	if !slices.Contains(methods, call.Method) {
		return nil, errors.Wrapf(ErrInvalidRequest, "method %q is not allowed", call.Method)
	}
	path, err := url.ParseRequestURI(call.Path)
	if err != nil || !strings.HasPrefix(call.Path, "/") || strings.HasPrefix(call.Path, "//") {
		return nil, errors.Wrap(ErrInvalidRequest, "the path must begin with one / and be a valid request path")
	}
	request, err := newSendOnce(ctx, call.Method, joinURL(command.Target.Address, path.RequestURI()), call.Body)
	if err != nil {
		return nil, err
	}
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	request.Header.Set(wire.HeaderProgram, string(call.Program))
	if key := call.TargetKey(); key != "" {
		request.Header.Set(wire.HeaderIdempotencyKey, key)
	}
	return request, nil
}

// newSendOnce returns a request that the HTTP transport cannot resend, since its
// body is not nil and cannot be rewound.
func newSendOnce(ctx context.Context, method, address string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, errors.Mark(err, ErrInvalidRequest)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("User-Agent", userAgent)
	return request, nil
}

func joinURL(base, path string) string {
	return strings.TrimSuffix(base, "/") + path
}
