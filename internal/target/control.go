package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
	"github.com/banyanglade/banyanglade/internal/wire"
)

// get sends a GET request and returns the status and the body.
func (r *Runner) get(ctx context.Context, address string) (status int, body []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, nil, err
	}
	return r.do(request)
}

func (r *Runner) do(request *http.Request) (status int, body []byte, err error) {
	request.Header.Set("User-Agent", userAgent)
	response, err := r.clients.control.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer closeBody(response.Body)
	body, err = readBounded(response.Body, r.cfg.MaxResponseBytes)
	return response.StatusCode, body, err
}

// getJSON sends a GET request and decodes the response, which must have status 200.
func (r *Runner) getJSON(ctx context.Context, address string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ControlTimeout)
	defer cancel()
	status, body, err := r.get(ctx, address)
	if err != nil {
		return err
	}
	return decodeOK(status, body, target)
}

// postJSON posts value, nil for no body, and decodes the response, which must have
// status 200, into reply unless that is nil.
func (r *Runner) postJSON(address string, value, reply any) error {
	ctx, cancel := context.WithTimeout(r.ctx, r.cfg.ControlTimeout)
	defer cancel()
	var body io.Reader
	if value != nil {
		encoded, err := json.Marshal(value)
		if err != nil {
			return err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, body)
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	status, responseBody, err := r.do(request)
	if err != nil {
		return err
	}
	return decodeOK(status, responseBody, reply)
}

func decodeOK(status int, body []byte, target any) error {
	if status != http.StatusOK {
		return errors.Newf("status %d", status)
	}
	if target == nil {
		return nil
	}
	return json.Unmarshal(body, target)
}

// releaseKey identifies a cache release in flight.
type releaseKey struct {
	target  structs.TargetID
	program structs.ProgramID
}

// ReleaseCache requests a target to drop a program's cache and delivers the result
// as CacheReleased. A command while the same release is in flight is ignored.
func (r *Runner) ReleaseCache(command structs.ReleaseCache) {
	key := releaseKey{target: command.Target.ID, program: command.Program}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, releasing := r.releasing[key]; releasing {
		return
	}
	r.releasing[key] = struct{}{}
	r.spawn(func() { r.release(key, command) })
}

func (r *Runner) release(key releaseKey, command structs.ReleaseCache) {
	select {
	case <-r.ctx.Done():
		return
	case r.releases <- struct{}{}:
	}
	var reply struct {
		HeldTokens *int64 `json:"held_tokens"`
	}
	request := wire.CacheRelease{Program: string(command.Program)}
	err := r.postJSON(joinURL(command.Target.Address, wire.CacheReleaseRoute), request, &reply)
	<-r.releases
	r.mu.Lock()
	delete(r.releasing, key)
	r.mu.Unlock()
	done := err == nil && reply.HeldTokens != nil && *reply.HeldTokens == 0
	if !done {
		r.metrics.releasesFailed.Inc(1)
	}
	r.sink.Deliver(r.ctx, structs.CacheReleased{Target: command.Target.ID, Program: command.Program, Done: done})
}
