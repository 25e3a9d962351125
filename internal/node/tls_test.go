package node

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// testCA is a certificate authority for tests.
type testCA struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	a := &testCA{t: t, dir: t.TempDir(), key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.cert = a.sign(template, template, &a.key.PublicKey, "ca.pem")
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *testCA) sign(template, parent *x509.Certificate, public *ecdsa.PublicKey, name string) *x509.Certificate {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name, "CERTIFICATE", der)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert
}

func (a *testCA) write(name, kind string, der []byte) {
	a.t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(a.dir, name), data, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// instance writes the certificate files of an instance.
func (a *testCA) instance() PeerTLS {
	a.t.Helper()
	key := newKey(a.t)
	a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "instance"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey, "cert.pem")
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write("key.pem", "EC PRIVATE KEY", der)
	file := func(name string) string { return filepath.Join(a.dir, name) }
	return PeerTLS{CertFile: file("cert.pem"), KeyFile: file("key.pem"), CAFile: file("ca.pem")}
}

// handshake opens a TLS connection between two configurations and returns the
// errors of both sides.
func handshake(t *testing.T, from, to PeerTLS) (client, server error) {
	t.Helper()
	clientConfig, err := from.load()
	if err != nil {
		t.Fatal(err)
	}
	serverConfig, err := to.load()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	done := make(chan error, 1)
	go func() {
		serverConn, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		done <- tls.Server(serverConn, serverConfig).HandshakeContext(ctx)
		_ = serverConn.Close()
	}()
	clientConn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn := tls.Client(clientConn, clientConfig)
	client = conn.HandshakeContext(ctx)
	if client == nil {
		// With TLS 1.3 a rejected client gets the error on its first read.
		_, client = conn.Read(make([]byte, 1))
	}
	_ = clientConn.Close()
	return client, <-done
}

func TestInstancesOfOneCATrustEachOther(t *testing.T) {
	a := newTestCA(t)
	files := a.instance()
	if _, err := handshake(t, files, files); err != nil {
		t.Fatal(err)
	}
}

func TestCertificateOfAnotherCAIsRejected(t *testing.T) {
	ours, theirs := newTestCA(t).instance(), newTestCA(t).instance()
	client, server := handshake(t, theirs, ours)
	if client == nil && server == nil {
		t.Fatal("certificate of another authority was accepted")
	}
}

func TestIncompleteTLSFilesAreRejected(t *testing.T) {
	files := newTestCA(t).instance()
	files.CAFile = ""
	if _, err := files.load(); err == nil {
		t.Fatal("accepted without a certificate authority")
	}
}
