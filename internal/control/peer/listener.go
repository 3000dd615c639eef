package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"
)

// handshakeTimeout bounds a TLS handshake on either side.
const handshakeTimeout = 2 * time.Second

// tlsListener completes the handshake of each connection before Accept returns it,
// so that a failed handshake is reported with its typed error and a slow peer does
// not delay others.
type tlsListener struct {
	net.Listener
	config           *tls.Config
	onHandshakeError func(remote net.Addr, err error)

	ready       chan *tls.Conn
	ctx         context.Context
	cancel      context.CancelFunc
	closeOnce   sync.Once
	acceptErr   error
	acceptEnded chan struct{}
}

func newTLSListener(l net.Listener, config *tls.Config, onHandshakeError func(net.Addr, error)) *tlsListener {
	ctx, cancel := context.WithCancel(context.Background())
	t := &tlsListener{
		Listener:         l,
		config:           config,
		onHandshakeError: onHandshakeError,
		ready:            make(chan *tls.Conn),
		ctx:              ctx,
		cancel:           cancel,
		acceptEnded:      make(chan struct{}),
	}
	go t.acceptLoop()
	return t
}

func (t *tlsListener) acceptLoop() {
	defer close(t.acceptEnded)
	for {
		conn, err := t.Listener.Accept()
		if err != nil {
			t.acceptErr = err
			return
		}
		go t.handshake(tls.Server(conn, t.config))
	}
}

func (t *tlsListener) handshake(conn *tls.Conn) {
	ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		t.onHandshakeError(conn.RemoteAddr(), err)
		conn.Close()
		return
	}
	select {
	case t.ready <- conn:
	case <-t.ctx.Done():
		conn.Close()
	}
}

// Accept returns the next connection with a completed handshake.
func (t *tlsListener) Accept() (net.Conn, error) {
	select {
	case conn := <-t.ready:
		return conn, nil
	case <-t.acceptEnded:
		return nil, t.acceptErr
	}
}

// Close closes the listener and cancels handshakes in progress.
func (t *tlsListener) Close() error {
	var err error
	t.closeOnce.Do(func() {
		t.cancel()
		err = t.Listener.Close()
	})
	return err
}
