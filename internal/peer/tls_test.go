package peer

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/structs"
)

// mutualTLS returns a configuration with a self-signed certificate that both
// sides trust.
func mutualTLS(t *testing.T) *tls.Config {
	t.Helper()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(encoded)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{encoded}, PrivateKey: private}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

func TestMutualTLSWithoutKey(t *testing.T) {
	cfg := mutualTLS(t)
	edit := func(c *Config) { c.TLS, c.Key = cfg, nil }
	a, b := newNode(t, "a", edit), newNode(t, "b", edit)
	listener := httptest.NewUnstartedServer(b.Handler())
	listener.TLS = cfg
	listener.StartTLS()
	t.Cleanup(listener.Close)
	a.peers.Store(structs.InstanceID("b"), strings.TrimPrefix(listener.URL, "https://"))
	a.Send("b", withdraw(1))
	b.awaitMessage("a")
	// Connections without TLS are rejected.
	c := newNode(t, "c", func(c *Config) { c.Key = testKey })
	c.peers.Store(structs.InstanceID("b"), b.address)
	c.Send("b", withdraw(1))
	c.awaitEvent(structs.PeerDown{Peer: "b"})
	b.awaitCount("handshakes_refused")
}

func TestConfigWithoutAuthenticationIsRejected(t *testing.T) {
	self := structs.Peer{ID: "a"}
	for _, cfg := range []Config{
		{Self: self, Incarnation: "i"}, {Self: self, Incarnation: "i", Key: []byte("short")},
		{Self: self, Incarnation: "i", TLS: &tls.Config{}}, {Self: self, Key: testKey}, {Incarnation: "i", Key: testKey},
	} {
		if _, err := New(t.Context(), cfg, nil, nil, nil, nil); !errors.Is(err, ErrInvalidConfig) {
			t.Errorf("%+v: %v", cfg, err)
		}
	}
}
