package settings

import (
	"bytes"
	"context"
	"crypto/tls"
	"sync/atomic"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
)

// CertificateSource holds the certificate for callers' TLS and follows its
// files. Open flows keep the certificate they were opened with. It is safe for
// concurrent use.
type CertificateSource struct {
	certFile, keyFile string
	log               *event.Logger
	current           atomic.Pointer[pair]
}

// pair is a certificate with the bytes it was parsed from.
type pair struct {
	certPEM, keyPEM []byte
	cert            tls.Certificate
}

// OpenCertificate returns the source for --tls-cert-file and --tls-key-file.
// Its errors have kind CertificateFailed.
func (a *Agent) OpenCertificate(log *event.Logger) (*CertificateSource, error) {
	p, err := readPair(a.TLSCertFile, a.TLSKeyFile)
	if err != nil {
		return nil, err
	}
	s := &CertificateSource{certFile: a.TLSCertFile, keyFile: a.TLSKeyFile, log: log}
	s.use(p)
	return s, nil
}

// GetCertificate has the form that tls.Config.GetCertificate needs.
func (s *CertificateSource) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &s.current.Load().cert, nil
}

// Run re-reads the files every 5 s until ctx ends. Broken files, or a
// certificate and key that do not match, keep the previous pair and are logged
// as ReloadFailed.
func (s *CertificateSource) Run(ctx context.Context) {
	every(ctx, reloadInterval, s.reload)
}

func (s *CertificateSource) reload() {
	p, err := readPair(s.certFile, s.keyFile)
	if err != nil {
		s.log.Failure(event.ReloadFailed, err, event.Fields{"file": s.certFile})
		return
	}
	if !p.equal(s.current.Load()) {
		s.use(p)
	}
}

func (s *CertificateSource) use(p *pair) {
	s.current.Store(p)
	s.log.Emit(event.CertificateLoaded, event.Fields{"file": s.certFile, "not_after": p.cert.Leaf.NotAfter})
}

func (p *pair) equal(other *pair) bool {
	return bytes.Equal(p.certPEM, other.certPEM) && bytes.Equal(p.keyPEM, other.keyPEM)
}

func readPair(certFile, keyFile string) (*pair, error) {
	certPEM, err := readFile(certFile)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.CertificateFailed, "read certificate")
	}
	keyPEM, err := readSecret(keyFile)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.CertificateFailed, "read key")
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.CertificateFailed, "parse")
	}
	return &pair{certPEM, keyPEM, cert}, nil
}
