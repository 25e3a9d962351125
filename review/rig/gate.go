package rig

import (
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
)

// Gate is the store as one machine sees it. It passes calls on or refuses them.
type Gate struct {
	listener net.Listener
	server   *http.Server
	refuse   atomic.Bool
}

// newGate starts a gate to the store.
func newGate(store string) (*Gate, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &Gate{listener: listener}
	pass := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	pass.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	g.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.refuse.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		pass.ServeHTTP(w, r)
	})}
	go func() { _ = g.server.Serve(listener) }()
	return g, nil
}

// Refuse makes the store refuse the machine's calls with 503, or serve them again.
func (g *Gate) Refuse(refuse bool) { g.refuse.Store(refuse) }
