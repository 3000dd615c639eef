package gate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/standin/backend"
)

// member is one agent with its backend server.
type member struct {
	*Gate
	server *backend.Server
	relay  *httptest.Server
	front  *httptest.Server
	state  atomic.Value
	load   atomic.Value // Load as last reported
	down   atomic.Bool
	denies atomic.Bool // rejects the certificates of its peers
	// transport keeps enough idle connections that relays need not dial.
	transport *http.Transport
}

// fleet is the agents of one service. It implements Peers for each of them.
type fleet struct {
	members []*member
	peers   map[netip.AddrPort]*member
	ring    *keyring.Ring
	service config.Service
}

type memberPeers struct {
	*fleet
	self *member
}

// Candidates implements Peers.
func (p memberPeers) Candidates() []PeerLoad {
	var out []PeerLoad
	for addr, m := range p.peers {
		if m != p.self {
			l := m.load.Load().(Load)
			out = append(out, PeerLoad{m.opts.BackendID, addr, l.InProgress, l.Limit, m.state.Load().(State).Leaving})
		}
	}
	return out
}

// Relay implements Peers.
func (p memberPeers) Relay(ctx context.Context, peer netip.AddrPort, r *http.Request) (*http.Response, error) {
	m, ok := p.peers[peer]
	if !ok || m.down.Load() {
		return nil, errkind.New(errkind.PeerDown, "down")
	}
	if m.denies.Load() {
		return nil, errkind.New(errkind.PeerUnauthorized, "certificate rejected")
	}
	out := r.WithContext(ctx)
	out.URL.Scheme, out.URL.Host = "http", peer.String()
	resp, err := m.transport.RoundTrip(out)
	return resp, errkind.Wrap(err, errkind.Internal, "relay")
}

// newFleet starts n members. Their backend servers are warm at once if
// opts.WarmUp is 0.
func newFleet(t testing.TB, n int, policy Policy, opts backend.Options) *fleet {
	t.Helper()
	ring, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{ring: ring, peers: map[netip.AddrPort]*member{}, service: config.Service{
		Name: "comptoir", FeedPaths: []string{"/feed"}, RequestTimeout: 2 * time.Second,
		Limits: config.Limits{Slots: 9, ColdSlots: 9, Connections: 50, WarmUp: opts.WarmUp},
	}}
	if opts.WarmUp > 0 {
		f.service.Limits.ColdSlots = backend.DefaultColdSlots
	}
	for i := range n {
		opts.ID, opts.Seed = "b"+string(rune('1'+i)), uint64(i)
		f.add(t, policy, opts)
	}
	return f
}

// processLoopbackIP returns a loopback address that depends on the process ID.
// With an address of its own, the port of a closed backend server is not taken by
// another test process.
func processLoopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 100+pid>>8%25, pid%256)
}

func (f *fleet) add(t testing.TB, policy Policy, opts backend.Options) {
	m := &member{server: backend.New(opts), transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
	m.state.Store(State{})
	addr, err := m.server.Start(processLoopbackIP() + ":0")
	if err != nil {
		t.Fatal(err)
	}
	m.relay = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.RelayHandler().ServeHTTP(w, r) }))
	peer := netip.MustParseAddrPort(m.relay.Listener.Addr().String())
	m.Gate = New(Options{
		BackendID: opts.ID, RelayAddress: peer, BackendAddress: addr, Incarnation: 1, Policy: policy,
		Service: func() (config.Service, bool) { return f.service, true },
		KeyRing: func() *keyring.Ring { return f.ring }, Peers: memberPeers{f, m},
		State: func() State { return m.state.Load().(State) }, Log: event.Discard(),
	})
	m.load.Store(m.Gate.Load())
	m.front = httptest.NewServer(m.Gate)
	f.peers[peer] = m
	f.members = append(f.members, m)
	t.Cleanup(func() {
		m.transport.CloseIdleConnections()
		m.front.Close()
		m.relay.Close()
		m.Gate.Close()
		m.server.Close()
	})
}

// refreshLoads updates the reported load of each member every interval until ctx
// ends, as hello packets do.
func (f *fleet) refreshLoads(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		for _, m := range f.members {
			m.load.Store(m.Gate.Load())
		}
		time.Sleep(interval)
	}
}

// reply is an answer as a caller sees it.
type reply struct {
	status int
	header http.Header
	body   string
}

func (r reply) outcome() string { return r.header.Get(OutcomeHeader) }
func (r reply) kind() string    { return r.header.Get(ErrorHeader) }

// call sends one request through the gate's handler, with the header as
// pairs of name and value.
func (m *member) call(method, path, body string, header ...string) reply {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	m.ServeHTTP(w, r)
	return reply{w.Code, w.Header(), w.Body.String()}
}

// occupySlots takes n slots of the backend server until release is called.
func (m *member) occupySlots(n int) (release func()) {
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	m.server.Freeze(time.Hour)
	for range n {
		wg.Go(func() {
			r := httptest.NewRequestWithContext(ctx, "GET", "/catalogue", nil)
			defer func() { _ = recover() }() // the caller leaves
			m.ServeHTTP(httptest.NewRecorder(), r)
		})
	}
	for m.inProgress() < n {
		time.Sleep(time.Millisecond)
	}
	return func() { m.server.Freeze(0); cancel(); wg.Wait() }
}

func (m *member) inProgress() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limiter.InProgress()
}

// becomesIdle waits for up to a second and reports whether no request is in
// progress any more.
func (m *member) becomesIdle() bool {
	for end := time.Now().Add(time.Second); m.inProgress() > 0; {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(time.Millisecond)
	}
	return true
}

func readAll(t testing.TB, resp *http.Response) string {
	t.Helper()
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
