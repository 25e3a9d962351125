package node

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

// PeerTLS names the PEM files of mutual TLS between instances. All are given or
// none.
type PeerTLS struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

func (p PeerTLS) empty() bool { return p == PeerTLS{} }

// load reads the files. The configuration serves both directions: each side
// demands a certificate of the other that the authority signed. The name in it
// is not compared with the address, since an instance may be replaced at
// another address at any time; the handshake names the instance.
func (p PeerTLS) load() (*tls.Config, error) {
	if p.empty() {
		return nil, nil
	}
	if p.CertFile == "" || p.KeyFile == "" || p.CAFile == "" {
		return nil, errors.Wrap(ErrConfig, "mutual TLS between instances needs a certificate, a key and an authority")
	}
	pair, err := tls.LoadX509KeyPair(p.CertFile, p.KeyFile)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "certificate of the instance"), ErrConfig)
	}
	pem, err := os.ReadFile(p.CAFile)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "certificate authority"), ErrConfig)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Wrapf(ErrConfig, "certificate authority: %s holds no certificate", p.CAFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
		// The chain is verified below, without the name.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyChain(state, roots) },
	}, nil
}

// verifyChain demands a certificate that the authority signed.
func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the instance showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	return errors.Wrap(err, "certificate of the instance")
}

// wrap makes the listener for other instances speak TLS if it is configured.
func wrapTLS(listener net.Listener, cfg *tls.Config) net.Listener {
	if cfg == nil {
		return listener
	}
	return tls.NewListener(listener, cfg)
}
