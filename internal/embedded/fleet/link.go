package fleet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
)

// controlLink injects faults into the traffic of one process with its peers and
// with the platform. While the link is cut, connections are closed and platform
// calls fail. Silenced connections stay open and lose all data; new connections
// work.
type controlLink struct {
	mu    sync.Mutex
	isCut bool
	conns []*linkConn
}

func (l *controlLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return l.track(conn, err)
}

func (l *controlLink) listener(inner net.Listener) net.Listener { return linkListener{inner, l} }

func (l *controlLink) track(conn net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &linkConn{Conn: conn}
	if l.isCut {
		_ = conn.Close()
	}
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *controlLink) setCut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}

func (l *controlLink) silenceConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.silent.Store(true)
	}
	l.conns = nil
}

func (l *controlLink) cutError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isCut {
		return errkind.New(errkind.PlatformDown, "the link of this process is cut")
	}
	return nil
}

type linkListener struct {
	net.Listener
	link *controlLink
}

// Accept implements net.Listener.
func (l linkListener) Accept() (net.Conn, error) { return l.link.track(l.Listener.Accept()) }

// linkConn discards all data in both directions once it is silent, but stays
// open.
type linkConn struct {
	net.Conn
	silent atomic.Bool
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *linkConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// linkedStore is a platform client whose calls fail while the link is cut.
type linkedStore struct {
	store objectstore.Store
	link  *controlLink
}

// Get implements objectstore.Store.
func (s linkedStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if err := s.link.cutError(); err != nil {
		return objectstore.Object{}, err
	}
	return s.store.Get(ctx, key)
}

// Put implements objectstore.Store.
func (s linkedStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectstore.Object, error) {
	if err := s.link.cutError(); err != nil {
		return objectstore.Object{}, err
	}
	return s.store.Put(ctx, key, value, ifVersion)
}

// Delete implements objectstore.Store.
func (s linkedStore) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if err := s.link.cutError(); err != nil {
		return err
	}
	return s.store.Delete(ctx, key, ifVersion)
}

// List implements objectstore.Store.
func (s linkedStore) List(ctx context.Context, prefix string) (objectstore.Listing, error) {
	if err := s.link.cutError(); err != nil {
		return objectstore.Listing{}, err
	}
	return s.store.List(ctx, prefix)
}

// Watch implements objectstore.Store. An answer that arrives after the link was
// cut is lost.
func (s linkedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (objectstore.Listing, error) {
	if err := s.link.cutError(); err != nil {
		return objectstore.Listing{}, err
	}
	listing, err := s.store.Watch(ctx, prefix, after, wait)
	if cutErr := s.link.cutError(); cutErr != nil {
		return objectstore.Listing{}, cutErr
	}
	return listing, err
}
