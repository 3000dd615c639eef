package distribution

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// firstPort is the port of the first listener of a memoryNetwork.
const firstPort = 10001

// memoryNetwork connects the nodes of a fleet without sockets, so that a test
// can run on the fake clock of testing/synctest.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener // by address
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: map[string]*memoryListener{}}
}

// listen opens a listener with an address of its own.
func (m *memoryNetwork) listen() *memoryListener {
	m.mu.Lock()
	defer m.mu.Unlock()
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+len(m.listeners)))
	l := &memoryListener{addr: net.TCPAddrFromAddrPort(addr), accepted: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[addr.String()] = l
	return l
}

// dial connects to a listener of the network. Closed and unknown listeners
// refuse the connection.
func (m *memoryNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	m.mu.Lock()
	l, ok := m.listeners[address]
	m.mu.Unlock()
	if !ok {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// memoryListener implements net.Listener.
type memoryListener struct {
	addr      net.Addr
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.addr }
