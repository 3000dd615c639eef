// Package testcert makes self-signed TLS certificates for callers' connections
// on loopback. It is for tests and for runs that embed all roles in one process;
// no deployed process may use it.
package testcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Lifetime is how long a certificate stays valid after it is made.
const Lifetime = 24 * time.Hour

// Pair is a certificate with its private key, and a pool with the certificate
// as its only root.
type Pair struct {
	Certificate tls.Certificate
	Pool        *x509.CertPool
	CertPEM     []byte
	KeyPEM      []byte
}

// New returns a certificate for the given DNS name. Errors have kind Internal.
func New(name string) (*Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		DNSNames:              []string{name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(Lifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "create certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "encode key")
	}
	return newPair(der, keyDER)
}

func newPair(der, keyDER []byte) (*Pair, error) {
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	certificate, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "load key pair")
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(certPEM)
	return &Pair{Certificate: certificate, Pool: pool, CertPEM: certPEM, KeyPEM: keyPEM}, nil
}
