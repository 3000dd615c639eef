package agent

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/embedded/testcert"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/steering"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
	"github.com/knapweedpier/knapweedpier/pkg/balancer"
	"github.com/knapweedpier/knapweedpier/standin/fabric"
)

const feedLines = 40

// testDataPath runs a fabric, balancers and agents without a control plane.
type testDataPath struct {
	is        *is.I
	service   netip.AddrPort
	keyRing   *keyring.Ring
	cert      *testcert.Pair
	fabric    *fabric.Fabric
	balancers map[string]*balancer.Forwarder
	agents    []*testAgent
	plan      balancer.Plan
	counters  *metrics.Balancer // of the balancer started last
}

type testAgent struct {
	endpoint *Endpoint
	flows    *flowServer
	open     atomic.Int64
	limit    int64 // limit on open flows; 0 for none
}

func newTestDataPath(t *testing.T, agents int) *testDataPath {
	p := &testDataPath{is: is.New(t), balancers: map[string]*balancer.Forwarder{}}
	keyRing, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	p.is.NoErr(err)
	p.keyRing = keyRing
	p.cert, err = testcert.New("service.test")
	p.is.NoErr(err)
	p.service = freeAddress(p.is)
	p.fabric, err = fabric.New(fabric.Options{Services: []netip.AddrPort{p.service}, Seed: 1})
	p.is.NoErr(err)
	p.is.NoErr(p.fabric.Start())
	t.Cleanup(p.fabric.Close)
	for i := range agents {
		p.agents = append(p.agents, p.startAgent(t, i, "127.0.0.1:0"))
	}
	p.setCandidates(true)
	return p
}

func freeAddress(is *is.I) netip.AddrPort {
	s, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	defer s.Close()
	return udp.LocalAddress(s)
}

func (p *testDataPath) setCandidates(openings bool) {
	sp := balancer.ServicePlan{Address: p.service}
	for i, a := range p.agents {
		sp.Candidates = append(sp.Candidates, balancer.Candidate{
			ID: fmt.Sprintf("a-%d", i), Tunnel: a.endpoint.Address(), Weight: 9, AcceptsOpenings: openings,
		})
	}
	p.plan = balancer.Plan{KeyRing: p.keyRing, Generation: 1, Services: []balancer.ServicePlan{sp}}
	for _, b := range p.balancers {
		p.is.NoErr(b.Apply(p.plan))
	}
}

func (p *testDataPath) startBalancer(host string) {
	counters := metrics.NewBalancer(metrics.New())
	f, err := balancer.NewForwarder(balancer.ForwarderOptions{
		TunnelListen: netip.MustParseAddrPort(host + ":0"),
		BindHost:     netip.MustParseAddr(host),
		ListenUDP:    udp.Listen,
		Logger:       event.Discard(),
		Metrics:      counters,
	})
	p.is.NoErr(err)
	p.counters = counters
	p.is.NoErr(f.Apply(p.plan))
	p.balancers[host] = f
	p.fabric.Add(fabric.Balancer{ID: host, Addr: func(s netip.AddrPort) netip.AddrPort {
		return netip.AddrPortFrom(netip.MustParseAddr(host), s.Port())
	}})
}

func (p *testDataPath) stopBalancer(host string) {
	p.balancers[host].Close()
	delete(p.balancers, host)
	p.fabric.Remove(host)
}

func (p *testDataPath) startAgent(t *testing.T, index int, address string) *testAgent {
	a := &testAgent{}
	endpoint, err := NewEndpoint(EndpointOptions{
		Listen:  netip.MustParseAddrPort(address),
		Service: p.service,
		KeyRing: p.keyRing,
		LocalState: func() LocalState {
			return LocalState{Load: tunnel.Load{Limit: 9, Flows: uint16(a.open.Load())}, Full: a.limit > 0 && a.open.Load() >= a.limit}
		},
		Paused:    func() bool { return false },
		ListenUDP: udp.Listen,
		Logger:    event.Discard(),
	})
	p.is.NoErr(err)
	a.endpoint = endpoint
	a.flows, err = newFlowServer(flowServerOptions{
		endpoint: endpoint, keyRing: p.keyRing, incarnation: uint64(time.Now().UnixNano()),
		tls:     &tls.Config{Certificates: []tls.Certificate{p.cert.Certificate}},
		handler: testHandler(index),
		openFlow: func() (func(), error) {
			a.open.Add(1)
			return func() { a.open.Add(-1) }, nil
		},
	})
	p.is.NoErr(err)
	t.Cleanup(func() { a.stop() })
	return a
}

func (a *testAgent) stop() {
	a.flows.close(errkind.BackendLeaving)
	a.endpoint.Close()
}

func testHandler(index int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/echo", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%d %s", index, r.URL.Query().Get("n"))
	})
	mux.HandleFunc("/feed", func(w http.ResponseWriter, r *http.Request) {
		for i := range feedLines {
			fmt.Fprintf(w, "line %d\n", i)
			w.(http.Flusher).Flush()
			time.Sleep(25 * time.Millisecond)
		}
	})
	return mux
}

// helloLoop sends the agents' hellos to all balancers and to each other.
func (p *testDataPath) helloLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for _, a := range p.agents {
			for _, b := range p.balancers {
				a.endpoint.SendHello(b.TunnelAddress())
			}
			for _, other := range p.agents {
				if other != a {
					a.endpoint.SendHello(other.endpoint.Address())
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (p *testDataPath) caller(t *testing.T) (*http.Client, *quic.Conn) {
	conn, err := quic.DialAddr(t.Context(), p.service.String(), &tls.Config{
		RootCAs: p.cert.Pool, ServerName: "service.test", NextProtos: []string{http3.NextProtoH3},
	}, &quic.Config{KeepAlivePeriod: keepAliveInterval})
	p.is.NoErr(err)
	t.Cleanup(func() { _ = conn.CloseWithError(0, "") })
	transport := &http3.Transport{}
	return &http.Client{Transport: transport.NewClientConn(conn)}, conn
}

func (p *testDataPath) echo(c *http.Client, n string) (string, error) {
	resp, err := c.Get("https://service.test/echo?n=" + n)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a flow that breaks with the balancer through which it was
// opened: all balancers are replaced during a feed and requests.
func TestFlowsSurviveReplacedBalancers(t *testing.T) {
	p := newTestDataPath(t, 3)
	for _, host := range []string{"127.0.0.11", "127.0.0.12"} {
		p.startBalancer(host)
	}
	defer func() {
		for host := range p.balancers {
			p.stopBalancer(host)
		}
	}()
	client, _ := p.caller(t)
	first, err := p.echo(client, "0")
	p.is.NoErr(err)
	feed, err := client.Get("https://service.test/feed")
	p.is.NoErr(err)
	defer feed.Body.Close()

	p.startBalancer("127.0.0.13")
	p.startBalancer("127.0.0.14")
	p.stopBalancer("127.0.0.11")
	p.stopBalancer("127.0.0.12")
	for i := range 20 {
		got, err := p.echo(client, fmt.Sprint(i))
		p.is.NoErr(err)
		p.is.Equal(got, fmt.Sprintf("%s %d", first[:1], i))
	}
	lines := 0
	for scan := bufio.NewScanner(feed.Body); scan.Scan(); lines++ {
		p.is.Equal(scan.Text(), fmt.Sprintf("line %d", lines))
	}
	p.is.Equal(lines, feedLines)
}

// Guards against flows that concentrate on one agent.
func TestFlowsSpreadEvenly(t *testing.T) {
	p := newTestDataPath(t, 3)
	p.startBalancer("127.0.0.11")
	defer p.stopBalancer("127.0.0.11")
	ctx, cancel := context.WithCancel(t.Context())
	var hellos sync.WaitGroup
	hellos.Go(func() { p.helloLoop(ctx) })
	defer hellos.Wait()
	defer cancel()
	time.Sleep(150 * time.Millisecond)
	for n := range 12 {
		client, _ := p.caller(t)
		_, err := p.echo(client, "1")
		p.is.NoErr(err)
		p.waitForReports(n + 1)
	}
	for _, a := range p.agents {
		p.is.True(a.open.Load() >= 3 && a.open.Load() <= 5)
	}
}

// waitForReports waits until each agent knows the number of all open flows.
func (p *testDataPath) waitForReports(flows int) {
	for _, a := range p.agents {
		for end := time.Now().Add(10 * time.Second); a.knownFlows() != flows && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		p.is.Equal(a.knownFlows(), flows)
	}
}

// knownFlows returns the number of the agent's own flows and of those that other
// agents reported.
func (a *testAgent) knownFlows() int {
	n := int(a.open.Load())
	for _, load := range a.endpoint.PeerLoads() {
		n += int(load.Flows)
	}
	return n
}

// Guards against a successor at the same address that takes over, or silently
// ignores, its predecessor's flows instead of resetting them.
func TestSuccessorResetsPredecessorsFlows(t *testing.T) {
	p := newTestDataPath(t, 1)
	p.startBalancer("127.0.0.11")
	defer p.stopBalancer("127.0.0.11")
	client, conn := p.caller(t)
	_, err := p.echo(client, "1")
	p.is.NoErr(err)

	address := p.agents[0].endpoint.Address().String()
	p.agents[0].endpoint.Close() // simulates a crash: callers are not told
	p.agents[0].flows.close(errkind.BackendLeaving)
	p.agents[0] = p.startAgent(t, 7, address)
	began := time.Now()
	_, err = p.echo(client, "2")
	p.is.True(err != nil)
	<-conn.Context().Done()
	p.is.True(time.Since(began) < 3*time.Second)

	next, _ := p.caller(t)
	got, err := p.echo(next, "3")
	p.is.NoErr(err)
	p.is.Equal(got, "7 3")
}

// Guards against openings that are lost because balancers go on sending them to
// an agent that died without notice.
func TestOpeningsAvoidDeadAgent(t *testing.T) {
	p := newTestDataPath(t, 2)
	p.startBalancer("127.0.0.11")
	defer p.stopBalancer("127.0.0.11")
	p.agents[0].stop()
	for range 6 {
		client, _ := p.caller(t) // fails after the handshake timeout of 5 s
		_, err := p.echo(client, "1")
		p.is.NoErr(err)
	}
}

// Guards against packets that a balancer still forwards to a failure domain that
// is out.
func TestOutDomainGetsNoPackets(t *testing.T) {
	p := newTestDataPath(t, 1)
	p.startBalancer("127.0.0.11")
	defer p.stopBalancer("127.0.0.11")
	client, _ := p.caller(t)
	_, err := p.echo(client, "1")
	p.is.NoErr(err)

	p.plan.Domains = steering.DomainDropTimes{0: 1}
	p.is.NoErr(p.balancers["127.0.0.11"].Apply(p.plan))
	// A packet that was being forwarded when the plan was applied may still be
	// counted.
	before := p.counters.Forward.Count()
	for last := before - 1; last != before; before = p.counters.Forward.Count() {
		last = before
		time.Sleep(100 * time.Millisecond)
	}
	client.Timeout = 300 * time.Millisecond
	_, err = p.echo(client, "2")
	p.is.True(err != nil)
	p.is.Equal(p.counters.Forward.Count(), before)
}

// Guards against a flow that is opened while its agent drains and whose caller
// is never asked to move: the caller's feeds would be refused for as long as it
// uses that flow.
func TestFlowOpenedWhileDrainingIsDrained(t *testing.T) {
	p := newTestDataPath(t, 1)
	p.startBalancer("127.0.0.11")
	defer p.stopBalancer("127.0.0.11")
	flows := p.agents[0].flows
	p.is.NoErr(flows.drain(t.Context()))
	p.is.True(!flows.hasUndrainedFlows())
	client, _ := p.caller(t)
	_, err := p.echo(client, "1")
	p.is.NoErr(err)
	p.is.True(flows.hasUndrainedFlows())
	p.is.NoErr(flows.drain(t.Context()))
	p.is.True(!flows.hasUndrainedFlows())
	for end := time.Now().Add(5 * time.Second); err == nil && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		_, err = p.echo(client, "2")
	}
	p.is.True(err != nil) // the caller was told to open a new flow
}

// Guards against flows that are closed without a reason when a drain ends with
// requests in progress: their callers can't tell a failure domain that is out from a
// failure.
func TestFlowsLeftAfterDrainAreClosedWithReason(t *testing.T) {
	p := newTestDataPath(t, 1)
	p.startBalancer("127.0.0.11")
	defer p.stopBalancer("127.0.0.11")
	client, conn := p.caller(t)
	feed, err := client.Get("https://service.test/feed")
	p.is.NoErr(err)
	defer feed.Body.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	flows := p.agents[0].flows
	p.is.True(errkind.Is(flows.drain(ctx), errkind.DeadlineUnknown))
	flows.closeFlows("failure domain out: shawi", errkind.DomainOut)
	<-conn.Context().Done()
	var closed *quic.ApplicationError
	p.is.True(errors.As(context.Cause(conn.Context()), &closed))
	p.is.Equal(closed.ErrorMessage, "failure domain out: shawi")
}
