package follow_test

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
)

// proxy forwards connections to a store until it is cut.
type proxy struct {
	address netip.AddrPort
	mu      sync.Mutex
	open    []net.Conn
	cut     bool
}

// newProxy starts a proxy that forwards connections to target.
func newProxy(t *testing.T, target netip.AddrPort) *proxy {
	t.Helper()
	listener := listen(t)
	p := &proxy{address: address(listener)}
	t.Cleanup(func() { p.setCut(true) })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return // closed at the end of the test
			}
			upstream, err := net.Dial("tcp4", target.String())
			if err != nil || !p.track(client, upstream) {
				_ = client.Close()
				continue
			}
			go func() { _, _ = io.Copy(client, upstream); _ = client.Close() }()
			go func() { _, _ = io.Copy(upstream, client); _ = upstream.Close() }()
		}
	}()
	return p
}

// track records the open connections. It returns false if the proxy is cut.
func (p *proxy) track(client, upstream net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		_ = upstream.Close()
		return false
	}
	p.open = append(p.open, client, upstream)
	return true
}

// setCut closes all connections and refuses new ones while cut is true.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	for _, c := range p.open {
		_ = c.Close()
	}
	p.open = nil
}
