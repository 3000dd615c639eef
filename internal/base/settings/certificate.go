package settings

import (
	"bytes"
	"context"
	"crypto/tls"
	"sync/atomic"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
)

// CertificateSource holds the TLS certificate for callers and reloads it when
// its files change. Open flows keep the certificate they were opened with. It is
// safe for concurrent use.
type CertificateSource struct {
	certFile, keyFile string
	log               *event.Logger
	current           atomic.Pointer[keyPair]
}

// keyPair is a certificate with its private key, and the PEM files that they were
// parsed from.
type keyPair struct {
	certPEM, keyPEM []byte
	cert            tls.Certificate
}

// OpenCertificateSource loads --tls-cert-file and --tls-key-file and returns their
// source. Errors have kind CertificateFailed.
func (a *Agent) OpenCertificateSource(log *event.Logger) (*CertificateSource, error) {
	p, err := readKeyPair(a.TLSCertFile, a.TLSKeyFile)
	if err != nil {
		return nil, err
	}
	s := &CertificateSource{certFile: a.TLSCertFile, keyFile: a.TLSKeyFile, log: log}
	s.setCurrent(p)
	return s, nil
}

// GetCertificate returns the current certificate. It has the signature of
// tls.Config.GetCertificate.
func (s *CertificateSource) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &s.current.Load().cert, nil
}

// Run re-reads the files every 5 s until ctx ends. If they cannot be loaded or
// the key does not match the certificate, the previous pair stays in use and
// ReloadFailed is logged.
func (s *CertificateSource) Run(ctx context.Context) {
	callEvery(ctx, reloadInterval, s.reload)
}

func (s *CertificateSource) reload() {
	p, err := readKeyPair(s.certFile, s.keyFile)
	if err != nil {
		s.log.EmitError(event.ReloadFailed, err, event.Fields{"file": s.certFile})
		return
	}
	if !p.equal(s.current.Load()) {
		s.setCurrent(p)
	}
}

func (s *CertificateSource) setCurrent(p *keyPair) {
	s.current.Store(p)
	s.log.Emit(event.CertificateLoaded, event.Fields{"file": s.certFile, "not_after": p.cert.Leaf.NotAfter})
}

func (p *keyPair) equal(other *keyPair) bool {
	return bytes.Equal(p.certPEM, other.certPEM) && bytes.Equal(p.keyPEM, other.keyPEM)
}

func readKeyPair(certFile, keyFile string) (*keyPair, error) {
	certPEM, err := readFile(certFile)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.CertificateFailed, "read certificate file")
	}
	keyPEM, err := readSecret(keyFile)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.CertificateFailed, "read private key file")
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.CertificateFailed, "parse certificate and private key")
	}
	return &keyPair{certPEM, keyPEM, cert}, nil
}
