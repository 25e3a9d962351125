package target

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 1024
	maxIdlePerHost  = 64
	maxHeaderBytes  = 64 << 10
	userAgent       = "banyanglade"
)

// clients are the HTTP clients of a Runner.
type clients struct {
	// repeatable sends the runs of repeatable calls. single sends those of
	// not-repeatable calls and orders, each on a new connection. Both are gated.
	repeatable *http.Client
	single     *http.Client
	// control sends all other requests.
	control *http.Client
}

func newClients(cfg Config) clients {
	dialer := &net.Dialer{Timeout: cfg.ControlTimeout}
	gated := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn}, nil
	}
	single := newTransport(cfg, gated)
	single.DisableKeepAlives = true
	return clients{
		repeatable: newClient(newTransport(cfg, gated)),
		single:     newClient(single),
		control:    newClient(newTransport(cfg, dialer.DialContext)),
	}
}

func (c clients) close() {
	c.repeatable.CloseIdleConnections()
	c.single.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newTransport returns a transport limited to HTTP/1.1, where a connection serves
// one request at a time, as the gate requires.
func newTransport(cfg Config, dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		TLSClientConfig:        cfg.TLS.Clone(),
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
		TLSHandshakeTimeout:    cfg.ControlTimeout,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// newClient returns a client that does not follow redirects.
func newClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// withGate binds the gate to the connection that the request is assigned.
func withGate(ctx context.Context, g *gate) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			gated, ok := unwrapGatedConn(info.Conn)
			if !ok {
				panic(errors.AssertionFailedf("connection of type %T without a gate", info.Conn))
			}
			gated.bind(g)
		},
	})
}

// drainLimit is the number of unread body bytes to discard so that the connection
// can be reused.
const drainLimit = 64 << 10

func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, drainLimit)
	_ = body.Close()
}
