// Package peertls configures mutual TLS between the processes of the fleet from the
// key ring: a process proves that it holds an accepted key by a certificate signed
// by the certificate authority that is derived from that key. The package opens no
// connections and must not depend on the transport, package peer.
package peertls

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"io"
	"math/big"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
)

// ServerName is the DNS name in every certificate. Processes are distinguished by
// their membership records, not by their certificates: every process that holds an
// accepted key is trusted.
const ServerName = "peer.knapweedpier"

// caKeyPurpose is the purpose in the derivation of a certificate authority's seed
// from a key.
const caKeyPurpose = "peer-ca"

// Certificates are valid from long before they are signed, because a process whose
// clock is wrong must still be able to join, so that the clock offset can be seen.
const (
	certBackdating = 24 * time.Hour // how long NotBefore precedes the signing
	certLifetime   = 48 * time.Hour // how long NotAfter follows the signing
	certRenewalAge = 12 * time.Hour // age at which a new certificate is signed
)

// Certificate authorities exist only in memory, and each process derives them again.
// The key ring limits trust, not their validity.
var (
	caNotBefore = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	caNotAfter  = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)
)

// Identity signs this process's certificates with the current key ring. It is
// safe for concurrent use.
type Identity struct {
	ring func() *keyring.Ring
	now  func() time.Time

	mu       sync.Mutex
	certRing *keyring.Ring
	signedAt time.Time
	cert     *tls.Certificate
	caPool   *x509.CertPool
}

// New returns an identity. The function ring returns the current key ring, which
// changes when it is reloaded, and now returns the wall clock's time.
func New(ring func() *keyring.Ring, now func() time.Time) *Identity {
	return &Identity{ring: ring, now: now}
}

// ClientConfig returns the configuration of one outgoing connection that offers
// the given application protocol.
func (i *Identity) ClientConfig(protocol string) (*tls.Config, error) {
	cert, pool, err := i.currentCredentials()
	if err != nil {
		return nil, err
	}
	config := i.baseConfig(cert, protocol)
	config.RootCAs = pool
	config.ServerName = ServerName
	return config, nil
}

// ServerConfig returns the configuration of a listener that accepts the given
// application protocols. Each handshake uses the key ring that is current when
// it begins.
func (i *Identity) ServerConfig(protocols ...string) *tls.Config {
	configForConn := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool, err := i.currentCredentials()
		if err != nil {
			return nil, err
		}
		config := i.baseConfig(cert, protocols...)
		config.ClientCAs = pool
		config.ClientAuth = tls.RequireAndVerifyClientCert
		return config, nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		GetConfigForClient: configForConn,
	}
}

func (i *Identity) baseConfig(cert *tls.Certificate, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{*cert},
		Time:         i.now,
		// A resumed session would be accepted after the removal of its key.
		SessionTicketsDisabled: true,
	}
}

// Trusts reports whether a connection's peer certificate is signed by the certificate
// authority of a key that is still in the key ring. It allows connections to be
// closed after their key was removed. The certificate's validity is not checked.
func (i *Identity) Trusts(state tls.ConnectionState) bool {
	_, pool, err := i.currentCredentials()
	if err != nil || len(state.PeerCertificates) == 0 {
		return false
	}
	leaf := state.PeerCertificates[0]
	_, err = leaf.Verify(x509.VerifyOptions{
		Roots:       pool,
		CurrentTime: leaf.NotBefore.Add(certBackdating),
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err == nil
}

// currentCredentials returns this process's certificate and the accepted certificate
// authorities. It builds new ones when the key ring has changed or the certificate
// has reached certRenewalAge.
func (i *Identity) currentCredentials() (*tls.Certificate, *x509.CertPool, error) {
	now := i.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	ring := i.ring()
	if ring == nil {
		return nil, nil, errkind.New(errkind.KeyRingInvalid, "no key ring is loaded")
	}
	if ring == i.certRing && now.Sub(i.signedAt).Abs() < certRenewalAge {
		return i.cert, i.caPool, nil
	}
	cert, pool, err := buildCredentials(ring, now)
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.Internal, "sign peer certificate")
	}
	i.certRing, i.signedAt, i.cert, i.caPool = ring, now, cert, pool
	return cert, pool, nil
}

// buildCredentials derives the certificate authorities of all keys in the ring and
// signs a certificate with that of the signing key.
func buildCredentials(ring *keyring.Ring, now time.Time) (*tls.Certificate, *x509.CertPool, error) {
	pool := x509.NewCertPool()
	for _, key := range ring.Keys() {
		ca, _, err := deriveCA(key)
		if err != nil {
			return nil, nil, err
		}
		pool.AddCert(ca)
	}
	cert, err := signLeaf(ring.SigningKey(), now)
	return cert, pool, err
}

// deriveCA derives the certificate authority of a key and its private key. All
// holders of the key derive the same one.
func deriveCA(key keyring.Key) (*x509.Certificate, ed25519.PrivateKey, error) {
	seed := key.Derive(caKeyPurpose)
	privateKey := ed25519.NewKeyFromSeed(seed[:])
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "knapweedpier peers, key " + strconv.Itoa(int(key.ID))},
		NotBefore:             caNotBefore,
		NotAfter:              caNotAfter,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, privateKey.Public(), privateKey)
	if err != nil {
		return nil, nil, err
	}
	ca, err := x509.ParseCertificate(der)
	return ca, privateKey, err
}

// signLeaf generates a key pair and signs a certificate for it with the certificate
// authority of key.
func signLeaf(key keyring.Key, now time.Time) (*tls.Certificate, error) {
	ca, caPrivateKey, err := deriveCA(key)
	if err != nil {
		return nil, err
	}
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: ServerName},
		DNSNames:     []string{ServerName},
		NotBefore:    now.Add(-certBackdating),
		NotAfter:     now.Add(certLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca, publicKey, caPrivateKey)
	if err != nil {
		return nil, err
	}
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: privateKey}, nil
}

// IsCertificateRejection reports whether a handshake failed because the certificate of
// either side is missing or not signed by the certificate authority of an accepted
// key. It returns false for network errors.
func IsCertificateRejection(err error) bool {
	var opErr *net.OpError
	if errors.As(err, &opErr) {
		return opErr.Op == "remote error" // an alert sent by the peer
	}
	var netErr net.Error
	connEnded := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, context.Canceled)
	return err != nil && !errors.As(err, &netErr) && !connEnded
}

// rejectionAlerts are the alerts with which a server rejects a client's certificate
// (RFC 8446, section 6.2).
var rejectionAlerts = []tls.AlertError{
	42,  // bad_certificate
	43,  // unsupported_certificate
	44,  // certificate_revoked
	45,  // certificate_expired
	46,  // certificate_unknown
	48,  // unknown_ca
	49,  // access_denied
	116, // certificate_required
}

// IsRejectionByPeer reports whether a client's connection failed because the server
// rejected its certificate. In TLS 1.3, a client may write before it learns this; the
// server has then processed nothing of what was written.
func IsRejectionByPeer(err error) bool {
	opErr, ok := errors.AsType[*net.OpError](err)
	if !ok || opErr.Op != "remote error" {
		return false
	}
	// The type of alerts that a peer sent is not exported.
	return slices.ContainsFunc(rejectionAlerts, func(a tls.AlertError) bool { return opErr.Err.Error() == a.Error() })
}
