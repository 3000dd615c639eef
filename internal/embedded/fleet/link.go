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

// link is how one process reaches its peers and the platform. A cut link
// carries nothing; a silenced connection carries nothing while new ones work.
type link struct {
	mu    sync.Mutex
	isCut bool
	conns []*linkConn
}

func (l *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return l.add(conn, err)
}

func (l *link) listener(inner net.Listener) net.Listener { return linkListener{inner, l} }

func (l *link) add(conn net.Conn, err error) (net.Conn, error) {
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

func (l *link) cut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = on
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}

func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.silent.Store(true)
	}
	l.conns = nil
}

func (l *link) down() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isCut {
		return errkind.New(errkind.PlatformDown, "the link of this process is cut")
	}
	return nil
}

type linkListener struct {
	net.Listener
	link *link
}

// Accept implements net.Listener.
func (l linkListener) Accept() (net.Conn, error) { return l.link.add(l.Listener.Accept()) }

// linkConn loses what it carries once it is silent. It stays open.
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

// linkedStore is the platform as a process behind a link reaches it.
type linkedStore struct {
	store objectstore.Store
	link  *link
}

// Get implements objectstore.Store.
func (s linkedStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if err := s.link.down(); err != nil {
		return objectstore.Object{}, err
	}
	return s.store.Get(ctx, key)
}

// Put implements objectstore.Store.
func (s linkedStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectstore.Object, error) {
	if err := s.link.down(); err != nil {
		return objectstore.Object{}, err
	}
	return s.store.Put(ctx, key, value, ifVersion)
}

// Delete implements objectstore.Store.
func (s linkedStore) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if err := s.link.down(); err != nil {
		return err
	}
	return s.store.Delete(ctx, key, ifVersion)
}

// List implements objectstore.Store.
func (s linkedStore) List(ctx context.Context, prefix string) (objectstore.Listing, error) {
	if err := s.link.down(); err != nil {
		return objectstore.Listing{}, err
	}
	return s.store.List(ctx, prefix)
}

// Watch implements objectstore.Store. An answer that comes after the cut is lost.
func (s linkedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (objectstore.Listing, error) {
	if err := s.link.down(); err != nil {
		return objectstore.Listing{}, err
	}
	listing, err := s.store.Watch(ctx, prefix, after, wait)
	if cut := s.link.down(); cut != nil {
		return objectstore.Listing{}, cut
	}
	return listing, err
}
