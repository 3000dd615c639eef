package caller

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/knapweedpier/knapweedpier/standin/fabric"
)

// site is an HTTP/3 server that callers reach through a fabric and two relays.
type site struct {
	t        *testing.T
	fabric   *fabric.Fabric
	addr     netip.AddrPort
	tls      *tls.Config
	target   atomic.Pointer[net.UDPAddr] // server to which relays send packets of new flows
	order    func(w http.ResponseWriter, r *http.Request, id string)
	feedsEnd chan struct{} // closed to end all open feeds

	mu         sync.Mutex
	upstreams  map[netip.AddrPort]*net.UDPConn // socket to the server, by source address at the relay
	runs       map[string]int
	lastTicket int
}

func newSite(t *testing.T) *site {
	s := &site{t: t, feedsEnd: make(chan struct{}), upstreams: map[netip.AddrPort]*net.UDPConn{}, runs: map[string]int{}}
	s.order = s.runOrder
	s.makeCertificate()
	s.addr = s.freeAddr()
	relays := []fabric.Balancer{s.relay("a"), s.relay("b")}
	f, err := fabric.New(fabric.Options{Seed: 1, Services: []netip.AddrPort{s.addr}, Balancers: relays})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	s.fabric = f
	return s
}

func (s *site) listen() *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	return conn
}

func (s *site) freeAddr() netip.AddrPort {
	conn := s.listen()
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// relay starts a relay that forwards packets between the fabric and the server.
// The server sees the same source address for all packets of a flow, whichever
// relay they pass through.
func (s *site) relay(id string) fabric.Balancer {
	conn := s.listen()
	go func() {
		buf := make([]byte, 2048)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			_, _ = s.upstreamFor(conn, from).Write(buf[:n])
		}
	}()
	addr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return fabric.Balancer{ID: id, Addr: func(netip.AddrPort) netip.AddrPort { return addr }}
}

// upstreamFor returns the socket to the server for packets from the given address,
// and opens one if needed. Answers are sent back through relay.
func (s *site) upstreamFor(relay *net.UDPConn, from netip.AddrPort) *net.UDPConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if upstream, ok := s.upstreams[from]; ok {
		return upstream
	}
	upstream, err := net.DialUDP("udp4", nil, s.target.Load())
	if err != nil {
		panic(err)
	}
	s.upstreams[from] = upstream
	s.t.Cleanup(func() { upstream.Close() })
	go func() {
		buf := make([]byte, 2048)
		for {
			n, err := upstream.Read(buf)
			if err != nil {
				return
			}
			_, _ = relay.WriteToUDPAddrPort(buf[:n], from)
		}
	}()
	return upstream
}

// serve starts a server. Packets of new flows are sent to it from now on.
func (s *site) serve(change ...func(*http3.Server)) *http3.Server {
	conn := s.listen()
	server := &http3.Server{Handler: s.routes(), TLSConfig: http3.ConfigureTLSConfig(s.tls)}
	for _, c := range change {
		c(server)
	}
	go func() { _ = server.Serve(conn) }()
	s.t.Cleanup(func() { server.Close() })
	s.target.Store(conn.LocalAddr().(*net.UDPAddr))
	return server
}

func (s *site) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalogue", func(w http.ResponseWriter, r *http.Request) {
		n := r.URL.Query().Get("n")
		if r.URL.Query().Get("caller") == "mismatch-0" {
			n += "0"
		}
		fmt.Fprintf(w, `{"caller":%q,"n":%q,"backend":"b1"}`, r.URL.Query().Get("caller"), n)
	})
	mux.HandleFunc("POST "+ticketPath, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headerTicket, s.newTicket()) })
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, r *http.Request) {
		var body orderBody
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set(headerNextTicket, s.newTicket())
		s.order(w, r, body.ID)
	})
	mux.HandleFunc("GET /feed", s.feed)
	return mux
}

func (s *site) newTicket() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastTicket++
	return fmt.Sprint(s.lastTicket)
}

func (s *site) runOrder(w http.ResponseWriter, _ *http.Request, id string) {
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	w.Header().Set(headerDomain, "shawi")
	fmt.Fprintf(w, `{"order":%q}`, id)
}

// endFeeds ends all open feeds.
func (s *site) endFeeds() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.feedsEnd)
	s.feedsEnd = make(chan struct{})
}

func (s *site) feed(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	end := s.feedsEnd
	s.mu.Unlock()
	for n := 1; ; n++ {
		fmt.Fprintf(w, "data: b1 %d\n\n", n)
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-end:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (s *site) makeCertificate() {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		s.t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		s.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		s.t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	s.tls = &tls.Config{RootCAs: roots, Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

const (
	// waitLimit is how long these tests wait for a condition before they fail.
	waitLimit = 10 * time.Second
	// closedLater is the duration of a load that its test closes earlier.
	closedLater = 3 * waitLimit
)

// load starts 4 callers, 2 of them with a feed, for d. share is the share of
// orders.
func (s *site) load(name string, d time.Duration, share float64) *Load {
	return s.start(ServiceLoad{Name: name, Address: s.addr, Callers: 4, Feeds: 2, Rate: 200, OrderShare: share}, d)
}

// start starts the callers of service for d.
func (s *site) start(service ServiceLoad, d time.Duration) *Load {
	l, err := New(Options{Services: []ServiceLoad{service}, Seed: 5, Duration: d, TLS: s.tls})
	if err != nil {
		s.t.Fatal(err)
	}
	l.Start(s.t.Context())
	return l
}

// serveClosable starts a server as serve does. The returned function closes all
// its connections with an error code.
func (s *site) serveClosable() func(quic.ApplicationErrorCode) {
	var mu sync.Mutex
	var conns []*quic.Conn
	s.serve(func(server *http3.Server) {
		server.ConnContext = func(ctx context.Context, c *quic.Conn) context.Context {
			mu.Lock()
			defer mu.Unlock()
			conns = append(conns, c)
			return ctx
		}
	})
	return func(code quic.ApplicationErrorCode) {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			_ = c.CloseWithError(code, "cut")
		}
	}
}

// waitForLedger waits until the ledger of l meets the condition, and fails the test
// after waitLimit.
func (s *site) waitForLedger(l *Load, condition string, ok func(Ledger) bool) {
	s.t.Helper()
	for end := time.Now().Add(waitLimit); !ok(l.Ledger()); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not met within %s: %s", waitLimit, condition)
		}
	}
}
