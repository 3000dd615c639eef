// Package peertls builds mutual TLS between the processes of the fleet from
// the key ring: a process proves that it holds an accepted key by presenting a
// certificate signed with the certificate authority derived from that key.
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
	"strconv"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
)

// ServerName is the name in every certificate. Processes are distinguished by
// their records, not by their certificates: whoever holds a key is trusted.
const ServerName = "peer.knapweedpier"

// purpose names the seed of the certificate authority in key derivation.
const purpose = "peer-ca"

// Certificates are valid from well before they are signed, because a process
// whose clock is off must still be able to join and to show that.
const (
	validBefore = 24 * time.Hour
	validAfter  = 48 * time.Hour
	renewAfter  = 12 * time.Hour
)

// Certificate authorities exist only in memory and are rebuilt by each process.
// Their validity is not what limits trust; the key ring is.
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
	ringUsed *keyring.Ring
	signedAt time.Time
	cert     *tls.Certificate
	pool     *x509.CertPool
}

// New returns an identity that follows ring as it is reloaded. Now is the wall
// clock.
func New(ring func() *keyring.Ring, now func() time.Time) *Identity {
	return &Identity{ring: ring, now: now}
}

// Client returns a configuration for one outgoing connection that offers the
// given application protocol.
func (i *Identity) Client(protocol string) (*tls.Config, error) {
	cert, pool, err := i.current()
	if err != nil {
		return nil, err
	}
	config := i.base(cert, protocol)
	config.RootCAs = pool
	config.ServerName = ServerName
	return config, nil
}

// Server returns a configuration for a listener that accepts the given
// application protocols. Each handshake uses the key ring of its time.
func (i *Identity) Server(protocols ...string) *tls.Config {
	perConn := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool, err := i.current()
		if err != nil {
			return nil, err
		}
		config := i.base(cert, protocols...)
		config.ClientCAs = pool
		config.ClientAuth = tls.RequireAndVerifyClientCert
		return config, nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		GetConfigForClient: perConn,
	}
}

func (i *Identity) base(cert *tls.Certificate, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{*cert},
		Time:         i.now,
		// A resumed session would outlive the removal of its key.
		SessionTicketsDisabled: true,
	}
}

// Trusts reports whether a connection's peer certificate is still backed by a
// key of the ring, so that long connections do not outlive a removed key.
func (i *Identity) Trusts(state tls.ConnectionState) bool {
	_, pool, err := i.current()
	if err != nil || len(state.PeerCertificates) == 0 {
		return false
	}
	leaf := state.PeerCertificates[0]
	_, err = leaf.Verify(x509.VerifyOptions{
		Roots:       pool,
		CurrentTime: leaf.NotBefore.Add(validBefore),
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err == nil
}

// current returns the certificate and the accepted authorities, made anew
// after the key ring changed or the certificate grew old.
func (i *Identity) current() (*tls.Certificate, *x509.CertPool, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	ring, now := i.ring(), i.now()
	if ring == nil {
		return nil, nil, errkind.New(errkind.KeyRingInvalid, "no key ring is loaded")
	}
	if ring == i.ringUsed && now.Sub(i.signedAt).Abs() < renewAfter {
		return i.cert, i.pool, nil
	}
	cert, pool, err := build(ring, now)
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.Internal, "sign peer certificate")
	}
	i.ringUsed, i.signedAt, i.cert, i.pool = ring, now, cert, pool
	return cert, pool, nil
}

func build(ring *keyring.Ring, now time.Time) (*tls.Certificate, *x509.CertPool, error) {
	pool := x509.NewCertPool()
	for _, key := range ring.Keys() {
		ca, _, err := authority(key)
		if err != nil {
			return nil, nil, err
		}
		pool.AddCert(ca)
	}
	cert, err := leaf(ring.Signing(), now)
	return cert, pool, err
}

// authority derives the certificate authority of a key. All holders of the key
// derive the same one.
func authority(key keyring.Key) (*x509.Certificate, ed25519.PrivateKey, error) {
	seed := key.Derive(purpose)
	private := ed25519.NewKeyFromSeed(seed[:])
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "knapweedpier peers, key " + strconv.Itoa(int(key.ID))},
		NotBefore:             caNotBefore,
		NotAfter:              caNotAfter,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		return nil, nil, err
	}
	ca, err := x509.ParseCertificate(der)
	return ca, private, err
}

func leaf(key keyring.Key, now time.Time) (*tls.Certificate, error) {
	ca, caPrivate, err := authority(key)
	if err != nil {
		return nil, err
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: ServerName},
		DNSNames:     []string{ServerName},
		NotBefore:    now.Add(-validBefore),
		NotAfter:     now.Add(validAfter),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca, public, caPrivate)
	if err != nil {
		return nil, err
	}
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// Refusal reports whether a handshake failed because a peer's certificate, or
// ours at the peer, is missing or not backed by an accepted key. Errors of the
// network are no refusals.
func Refusal(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op == "remote error" // an alert sent by the peer
	}
	var network net.Error
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, context.Canceled)
	return err != nil && !errors.As(err, &network) && !ended
}
