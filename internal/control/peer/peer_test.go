package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/control/peertls"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

func identity(t *testing.T, secret string) *peertls.Identity {
	t.Helper()
	ring, err := keyring.Parse("1:" + strings.Repeat(secret, 32))
	if err != nil {
		t.Fatal(err)
	}
	return peertls.New(func() *keyring.Ring { return ring }, time.Now)
}

func dialer(t *testing.T, secret string) *Dialer {
	return &Dialer{Identity: identity(t, secret), Registry: metrics.NewRegistry()}
}

// serve starts a server and returns its address and its registry of counters.
func serve(t *testing.T, opts ServerOptions) (netip.AddrPort, metrics.Registry) {
	t.Helper()
	opts.Identity, opts.Logger, opts.Registry = identity(t, "a1"), event.Discard(), metrics.NewRegistry()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(opts)
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
		wg.Wait()
	})
	return netip.MustParseAddrPort(l.Addr().String()), opts.Registry
}

func counterValue(r metrics.Registry, name string) int64 {
	return metrics.GetOrRegisterCounter(name, r).Count()
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met in time: " + what)
		}
	}
}

// echo answers a pull with the next generation and a large configuration.
func echo(_ context.Context, req PullRequest) (PullResponse, error) {
	config, err := json.Marshal(strings.Repeat("configuration ", 30_000))
	return PullResponse{ID: "server", Generation: req.Generation + 1, Config: config}, err
}

// status returns the request as its result, and refuses a request without a scope.
func status(_ context.Context, req StatusRequest) (any, error) {
	if req.Scope == "" {
		return nil, errkind.New(errkind.NotFound, "no scope")
	}
	return req, nil
}

// Guards against calls that lose content, also when it is large enough to be
// compressed, and against a server that accepts a peer with another key.
func TestCalls(t *testing.T) {
	is := is.New(t)
	addr, registry := serve(t, ServerOptions{Pull: echo, Status: status})
	d := dialer(t, "a1")
	c := NewClient(d, addr)
	defer c.Close()
	answer, err := c.Pull(t.Context(), PullRequest{ID: "client", Generation: 4})
	is.NoErr(err)
	is.Equal(answer.Generation, uint64(5))
	is.Equal(len(answer.Config), 30_000*len("configuration ")+2)
	is.True(counterValue(d.Registry, CounterBytesIn) < 30_000)
	var asked StatusRequest
	is.NoErr(c.Status(t.Context(), StatusRequest{Scope: ScopeFleet, Service: "comptoir"}, &asked))
	is.Equal(asked, StatusRequest{Scope: ScopeFleet, Service: "comptoir"})
	is.True(errkind.Is(c.Status(t.Context(), StatusRequest{}, &asked), errkind.NotFound))

	untrusted := NewClient(dialer(t, "b2"), addr)
	_, err = untrusted.Pull(t.Context(), PullRequest{ID: "stranger"})
	is.True(errkind.Is(err, errkind.PeerUnauthorized))
	eventually(t, "count of rejected handshakes", func() bool { return counterValue(registry, CounterUnauthorized) == 1 })
	_, err = NewRelayTransport(dialer(t, "b2")).Relay(t.Context(), addr, request(t, "GET", ""))
	is.True(err != nil)
}

// Guards against a malformed message that is accepted or not counted, or after which
// the connection stays open.
func TestMalformedMessages(t *testing.T) {
	addr, registry := serve(t, ServerOptions{Pull: echo})
	d, count := dialer(t, "a1"), int64(0)
	for name, message := range map[string][]byte{
		"too large":      {0x7f, 0xff, 0xff, 0xff},
		"not JSON":       frame(`{"jsonrpc"`),
		"no JSON-RPC":    frame(`{"a":1}`),
		"bad deflate":    {0x80, 0, 0, 2, 0xff, 0xff},
		"unknown method": frame(`{"jsonrpc":"2.0","id":1,"method":"peer.push"}`),
		"no parameters":  frame(`{"jsonrpc":"2.0","id":1,"method":"peer.pull"}`),
		"wrong type":     frame(`{"jsonrpc":"2.0","id":1,"method":"peer.pull","params":{"id":7}}`),
		"long wait":      frame(`{"jsonrpc":"2.0","id":1,"method":"peer.pull","params":{"id":"a","wait":60000000000}}`),
		"other's record": frame(`{"jsonrpc":"2.0","id":1,"method":"peer.pull","params":{"id":"a","self":{"id":"b","tunnel":"","peer":""}}}`),
	} {
		is := is.New(t)
		conn, err := d.dialTLS(t.Context(), addr, ProtocolRPC)
		is.NoErr(err)
		_, err = conn.Write(message)
		is.NoErr(err)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = io.ReadAll(conn) // the server closes the connection without a response
		is.NoErr(err)
		count++
		eventually(t, name+" is counted", func() bool { return counterValue(registry, CounterMalformed) == count })
	}
}

// frame returns an uncompressed frame of a message of less than 256 bytes.
func frame(message string) []byte {
	return append([]byte{0, 0, 0, byte(len(message))}, message...)
}

// Guards against bytes from a peer that crash the decoder or make it allocate more
// than the maximum size of a message.
func TestDecodeArbitraryBytes(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "data")
		if len(data) > 2 {
			data[1], data[2] = 0, 0 // a short length, so that the content is decoded
		}
		var v any
		_ = decodeFrame(bufio.NewReader(bytes.NewReader(data)), &v)
	})
}

// Guards against a connection that stays in use after a call without a response.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	var once sync.Once
	addr, _ := serve(t, ServerOptions{Pull: func(ctx context.Context, req PullRequest) (PullResponse, error) {
		once.Do(func() { <-ctx.Done() }) // ends when the client closes the connection
		return PullResponse{ID: "server"}, nil
	}})
	c := NewClient(dialer(t, "a1"), addr)
	defer c.Close()
	start := time.Now()
	_, err := c.Pull(t.Context(), PullRequest{ID: "client"})
	is.True(errkind.Is(err, errkind.PeerDown))
	is.True(time.Since(start) < callTimeout+time.Second)
	_, err = c.Pull(t.Context(), PullRequest{ID: "client"})
	is.NoErr(err)
}

func request(t *testing.T, method, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://service/orders", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a relay that opens a connection for each request, loses a response,
// or fails because the peer closed an idle connection.
func TestRelayReusesConnections(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	remotes := map[string]int{}
	addr, _ := serve(t, ServerOptions{Relay: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		remotes[r.RemoteAddr]++
		mu.Unlock()
		if r.Header.Get("Close") != "" {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.Copy(w, r.Body)
	})})
	relay := NewRelayTransport(dialer(t, "a1"))
	defer relay.Close()
	for i := range 6 {
		r := request(t, "POST", "order")
		if i == 2 {
			r.Header.Set("Close", "1")
		}
		resp, err := relay.Relay(t.Context(), addr, r)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), "order")
		is.NoErr(resp.Body.Close())
		if i == 4 { // the peer closes the idle connection
			relay.mu.Lock()
			relay.idle[addr][0].raw.Close()
			relay.mu.Unlock()
			eventually(t, "closed connection is recognised", func() bool { return len(relay.idle[addr][0].firstByte) == 1 })
		}
	}
	is.Equal(len(remotes), 3)
}

// Guards against an error kind that says that nothing was sent although the request
// may have run, and against a request that is sent twice.
func TestRelayErrorsTellWhatWasSent(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	runs := 0
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	addr, _ := serve(t, ServerOptions{Relay: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		runs++
		mu.Unlock()
		if r.Method == "PUT" {
			cancel()
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler) // the connection ends without an answer
	})})
	relay := NewRelayTransport(dialer(t, "a1"))
	_, err := relay.Relay(t.Context(), addr, request(t, "GET", ""))
	is.True(errkind.Is(err, errkind.BackendLost))
	_, err = relay.Relay(ctx, addr, request(t, "PUT", "x"))
	is.True(errkind.Is(err, errkind.BackendLost))
	mu.Lock()
	is.Equal(runs, 2)
	mu.Unlock()
	_, err = relay.Relay(ctx, addr, request(t, "GET", "")) // ctx has ended already
	is.True(errkind.Is(err, errkind.PeerDown))
	_, err = relay.Relay(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), request(t, "GET", ""))
	is.True(errkind.Is(err, errkind.PeerDown))
}

// Guards against PeerDown, which means that no byte was sent, for a request that
// runs. It can happen when the context ends while the request is being sent.
func TestPeerDownMeansNothingWasSent(t *testing.T) {
	is := is.New(t)
	var ran sync.Map
	addr, _ := serve(t, ServerOptions{Relay: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get("Number"), true)
	})})
	relay := NewRelayTransport(dialer(t, "a1"))
	defer relay.Close()
	kinds, unsent := map[errkind.Kind]int{}, []string{}
	for i := range 400 {
		r := request(t, "POST", "x")
		r.Header.Set("Number", strconv.Itoa(i))
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*time.Microsecond)
		_, err := relay.Relay(ctx, addr, r)
		cancel()
		if err != nil {
			kinds[errkind.Of(err)]++
		}
		if errkind.Is(err, errkind.PeerDown) {
			unsent = append(unsent, strconv.Itoa(i))
		}
		if i%2 == 0 { // for half of the requests there is an idle connection
			resp, err := relay.Relay(t.Context(), addr, request(t, "GET", ""))
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
		}
	}
	time.Sleep(100 * time.Millisecond) // requests that were sent may still arrive
	for _, number := range unsent {
		_, wrong := ran.Load(number)
		is.True(!wrong)
	}
	t.Log(kinds)
	is.True(kinds[errkind.PeerDown] > 0)
}

// Guards against a relayed request that is reported as possibly run although
// the peer rejected this process's certificate, as it does during a key rotation
// until it has the new key. A peer serves requests only after the handshake.
func TestRelayRejectedByPeerDidNotRun(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	addr, registry := serve(t, ServerOptions{Relay: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) })})
	relay := NewRelayTransport(&Dialer{Identity: rotatedIdentity(t), Registry: metrics.NewRegistry()})
	defer relay.Close()
	const requests = 20
	for range requests {
		_, err := relay.Relay(t.Context(), addr, request(t, "POST", "x"))
		is.True(errkind.Is(err, errkind.PeerUnauthorized) || errkind.Is(err, errkind.PeerDown)) // PeerDown if rejected before the write
	}
	eventually(t, "count of rejected handshakes", func() bool { return counterValue(registry, CounterUnauthorized) == requests })
	is.Equal(runs.Load(), int64(0))
}

// rotatedIdentity returns the identity of a process that already signs with a new
// key and still accepts the key of serve.
func rotatedIdentity(t *testing.T) *peertls.Identity {
	t.Helper()
	ring, err := keyring.Parse("2:" + strings.Repeat("b2", 32) + ",1:" + strings.Repeat("a1", 32))
	if err != nil {
		t.Fatal(err)
	}
	return peertls.New(func() *keyring.Ring { return ring }, time.Now)
}

// Guards against a call that outlasts its context because another call of the
// same client is opening the connection: a stopping process would wait for it.
func TestCallEndsWhileAnotherConnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := dialer(t, "a1")
		d.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done() // the peer does not answer
			return nil, ctx.Err()
		}
		c := NewClient(d, netip.MustParseAddrPort("127.0.0.1:1"))
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = c.Pull(t.Context(), PullRequest{ID: "client"}) })
		synctest.Wait()
		const limit = 100 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		start := time.Now()
		_, err := c.Pull(ctx, PullRequest{ID: "client"})
		is.True(errkind.Is(err, errkind.PeerDown))
		is.Equal(time.Since(start), limit)
		wg.Wait()
	})
}

// Guards against a message of a peer that ends the process, is decoded beyond its size
// limit, or fails with a kind that blames the network.
func FuzzDecodeFrame(f *testing.F) {
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"method":"peer.pull","params":{"id":"b-1","inc":1,"seq":2,"cur":{"i":0,"p":0},"gen":0,"fresh":-1}}`))
	f.Add([]byte{0x80, 0, 0, 2, 0xff, 0xff})
	f.Add([]byte{0x7f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		var message struct {
			Params *json.RawMessage `json:"params"`
		}
		err := decodeFrame(bufio.NewReader(bytes.NewReader(b)), &message)
		if err != nil && errkind.Is(err, errkind.Internal) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatal(err)
		}
		if err != nil {
			return
		}
		h := &rpcHandler{server: NewServer(ServerOptions{Pull: echo})}
		if _, err := h.pull(t.Context(), message.Params); err != nil && !errkind.Is(err, errkind.PeerMalformed) {
			t.Fatal(err)
		}
	})
}

// Guards against a call whose handling panics and that ends the process, or leaves the
// caller without a response.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	is := is.New(t)
	panics := true
	addr, _ := serve(t, ServerOptions{Pull: func(ctx context.Context, req PullRequest) (PullResponse, error) {
		if panics {
			panics = false
			panic("pull")
		}
		return echo(ctx, req)
	}})
	c := NewClient(dialer(t, "a1"), addr)
	defer c.Close()
	_, err := c.Pull(t.Context(), PullRequest{ID: "b-1"})
	is.True(errkind.Is(err, errkind.PeerDown))
	_, err = c.Pull(t.Context(), PullRequest{ID: "b-1"})
	is.NoErr(err)
}
