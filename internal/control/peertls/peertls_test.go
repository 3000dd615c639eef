package peertls

import (
	"crypto/tls"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
)

var keyA, keyB = "1:" + strings.Repeat("a1", 32), "2:" + strings.Repeat("b2", 32)

func ring(t *testing.T, keys ...string) *keyring.Ring {
	t.Helper()
	r, err := keyring.Parse(strings.Join(keys, ","))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// identity returns an identity whose clock is off by clockOffset.
func identity(r *keyring.Ring, clockOffset time.Duration) *Identity {
	return New(func() *keyring.Ring { return r }, func() time.Time { return time.Now().Add(clockOffset) })
}

// handshake connects a client to a server, and returns the server's connection state
// and the errors on both sides.
func handshake(t *testing.T, client *tls.Config, server *tls.Config) (state tls.ConnectionState, clientErr, serverErr error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		defer conn.Close()
		_, err = conn.Write([]byte{1}) // a client sees that the server rejected it when it reads
		state = conn.(*tls.Conn).ConnectionState()
		done <- err
	}()
	conn, clientErr := tls.Dial("tcp", l.Addr().String(), client)
	if clientErr == nil {
		defer conn.Close()
		_, clientErr = conn.Read(make([]byte, 1))
	}
	serverErr = <-done
	return state, clientErr, serverErr
}

// Guards against a peer that is accepted without an accepted key, and against one
// that is rejected during a step of a key rotation or because its clock is wrong.
func TestHandshake(t *testing.T) {
	for name, tc := range map[string]struct {
		client, server []string
		clockOffset    time.Duration
		ok             bool
	}{
		"same key":                   {[]string{keyA}, []string{keyA}, 0, true},
		"new key added at client":    {[]string{keyA, keyB}, []string{keyA}, 0, true},
		"new key added at server":    {[]string{keyA}, []string{keyA, keyB}, 0, true},
		"new key signs at client":    {[]string{keyB, keyA}, []string{keyA, keyB}, 0, true},
		"new key signs at server":    {[]string{keyA, keyB}, []string{keyB, keyA}, 0, true},
		"old key removed at server":  {[]string{keyB, keyA}, []string{keyB}, 0, true},
		"client without the key":     {[]string{keyB}, []string{keyA}, 0, false},
		"clock of client an hour on": {[]string{keyA}, []string{keyA}, time.Hour, true},
		"clock of client behind":     {[]string{keyA}, []string{keyA}, -time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, err := identity(ring(t, tc.client...), tc.clockOffset).ClientConfig("p")
			is.NoErr(err)
			_, clientErr, serverErr := handshake(t, client, identity(ring(t, tc.server...), 0).ServerConfig("p"))
			is.Equal(clientErr == nil && serverErr == nil, tc.ok)
			if !tc.ok {
				is.True(IsCertificateRejection(clientErr))
				is.True(IsCertificateRejection(serverErr))
			}
		})
	}
}

// Guards against a client that is accepted without a certificate, and against
// connections that stay trusted after their key was removed.
func TestTrust(t *testing.T) {
	is := is.New(t)
	var current atomic.Pointer[keyring.Ring]
	current.Store(ring(t, keyA, keyB))
	server := New(current.Load, time.Now)
	client, err := identity(ring(t, keyA), 0).ClientConfig("p")
	is.NoErr(err)
	state, _, serverErr := handshake(t, client, server.ServerConfig("p"))
	is.NoErr(serverErr)
	is.True(server.Trusts(state))
	current.Store(ring(t, keyB))
	is.True(!server.Trusts(state))

	client.Certificates = nil
	_, _, serverErr = handshake(t, client, server.ServerConfig("p"))
	is.True(IsCertificateRejection(serverErr))
}
