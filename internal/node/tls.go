package node

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

// PeerTLS holds the paths of the PEM files for mutual TLS between instances. Either
// all or none are set.
type PeerTLS struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

func (p PeerTLS) empty() bool { return p == PeerTLS{} }

// load reads the files and returns a configuration for clients and servers, or nil
// if none are set. Both sides require a certificate signed by the CA. Its name is
// not matched with the address, since an instance may be replaced at another
// address; instances are identified in the peer handshake.
func (p PeerTLS) load() (*tls.Config, error) {
	if p.empty() {
		return nil, nil
	}
	if p.CertFile == "" || p.KeyFile == "" || p.CAFile == "" {
		return nil, errors.Wrap(ErrConfig, "mutual TLS between instances requires a certificate, a key and a certificate authority")
	}
	pair, err := tls.LoadX509KeyPair(p.CertFile, p.KeyFile)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "load the certificate of the instance"), ErrConfig)
	}
	pem, err := os.ReadFile(p.CAFile)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read the certificate authority"), ErrConfig)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Wrapf(ErrConfig, "certificate authority file %s contains no certificate", p.CAFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
		// VerifyConnection verifies the chain without the host name.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyChain(state, roots) },
	}, nil
}

// verifyChain verifies that the peer's certificate is signed by one of the roots.
func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer instance presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	return errors.Wrap(err, "verify the certificate of the peer instance")
}

// wrapTLS wraps a listener in TLS if it is configured.
func wrapTLS(listener net.Listener, cfg *tls.Config) net.Listener {
	if cfg == nil {
		return listener
	}
	return tls.NewListener(listener, cfg)
}
