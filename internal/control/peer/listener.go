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

// tlsListener completes the handshake of each connection before it hands it
// out, so that a refusal is seen with its typed error and a slow peer blocks
// nobody else.
type tlsListener struct {
	net.Listener
	config *tls.Config
	failed func(remote net.Addr, err error)

	ready chan *tls.Conn
	ctx   context.Context
	stop  context.CancelFunc
	once  sync.Once
	err   error
	ended chan struct{}
}

func newTLSListener(l net.Listener, config *tls.Config, failed func(net.Addr, error)) *tlsListener {
	ctx, stop := context.WithCancel(context.Background())
	t := &tlsListener{
		Listener: l,
		config:   config,
		failed:   failed,
		ready:    make(chan *tls.Conn),
		ctx:      ctx,
		stop:     stop,
		ended:    make(chan struct{}),
	}
	go t.run()
	return t
}

func (t *tlsListener) run() {
	defer close(t.ended)
	for {
		conn, err := t.Listener.Accept()
		if err != nil {
			t.err = err
			return
		}
		go t.shake(tls.Server(conn, t.config))
	}
}

func (t *tlsListener) shake(conn *tls.Conn) {
	ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		t.failed(conn.RemoteAddr(), err)
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
	case <-t.ended:
		return nil, t.err
	}
}

// Close stops the listener and open handshakes.
func (t *tlsListener) Close() error {
	var err error
	t.once.Do(func() {
		t.stop()
		err = t.Listener.Close()
	})
	return err
}
