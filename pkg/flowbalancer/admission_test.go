package flowbalancer

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flownode"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/linkbudget"
	"github.com/knapweedpier/knapweedpier/platform"
)

// rawPacket encodes a packet of a caller at 127.0.0.1.
func rawPacket(port uint16, service netip.AddrPort, flags byte, copies uint32, data int) []byte {
	raw := make([]byte, platform.HeaderBytes+data)
	binary.BigEndian.PutUint16(raw[4:], service.Port())
	binary.BigEndian.PutUint16(raw[6:], port)
	copy(raw[8:], []byte{127, 0, 0, 1})
	octets := service.Addr().As4()
	copy(raw[12:], octets[:])
	binary.BigEndian.PutUint16(raw[20:], uint16(data))
	binary.BigEndian.PutUint32(raw[26:], copies)
	raw[30] = flags
	return raw
}

const synFlag, finFlag, ackFlag = 128, 1, 4

// linkTest is a balancer without goroutines, with one agent and two routes.
type linkTest struct {
	*Balancer
	*is.I
	out          *bytes.Buffer // the log
	fabric       udp.Socket    // gets the resets
	heavy, small netip.AddrPort
	now          time.Time
	nextPort     uint16
}

func newLinkTest(t *testing.T, linkRate float64) *linkTest {
	b := &linkTest{I: is.New(t), out: &bytes.Buffer{}, now: time.Now(), nextPort: 20000}
	socket, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	b.NoErr(err)
	b.fabric, err = udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	b.NoErr(err)
	t.Cleanup(func() { _, _ = socket.Close(), b.fabric.Close() })
	logger, err := event.New(b.out, "json")
	b.NoErr(err)
	b.heavy, b.small = netip.MustParseAddrPort("198.18.0.1:1"), netip.MustParseAddrPort("198.18.0.1:2")
	b.Balancer = New(platform.Settings{
		PeerAddress: netip.MustParseAddrPort("127.0.0.1:7720"), Domain: "a", LinkRate: linkRate,
		PacketAddress: udp.LocalAddress(b.fabric),
	}, nil, logger)
	b.nodeSocket, b.callerSocket, b.node = socket, socket, &flownode.Node{Board: view.NewBoard(), Logger: logger}
	var routes []view.Route
	for _, address := range []netip.AddrPort{b.heavy, b.small} {
		routes = append(routes, view.Route{
			Address: address, Targets: []view.Target{{Service: "comptoir", Weight: 1}}, Objective: 400 * time.Millisecond, Timeout: 2 * time.Second,
		})
	}
	agent := view.Member{Name: "agent-1", Role: view.AgentRole, Domain: "a", Address: udp.LocalAddress(socket), Service: "comptoir", Slots: 4, State: view.Ready}
	b.node.Board.Apply(view.Delta{Section: view.ConfigurationSection, To: 1, Full: true, Configuration: &view.ConfigurationDelta{Version: 1, Routes: routes}})
	b.node.Board.Apply(view.Delta{Section: view.EvacuationsSection, To: 1, Full: true})
	b.node.Board.Apply(view.Delta{Section: view.MembersSection, To: 1, Full: true, Members: []view.Member{agent}})
	b.updateView()
	return b
}

// open opens a flow, which the agent places, and sends some data, and returns the caller's port.
func (b *linkTest) open(service netip.AddrPort, packets int) uint16 {
	b.nextPort++
	b.NoErr(b.forward(b.now, rawPacket(b.nextPort, service, synFlag, 0, 0)))
	key := flow.Key{Caller: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), b.nextPort), Service: service}
	b.executeAll(b.steerer.Placed(b.now, &hop.Message{Type: hop.Placed, Key: key, Agent: udp.LocalAddress(b.nodeSocket)}))
	for number := range packets {
		raw := rawPacket(b.nextPort, service, ackFlag, 0, 1200)
		binary.BigEndian.PutUint32(raw[22:], uint32(1+1200*number)) // data that was sent before is no progress
		b.NoErr(b.forward(b.now, raw))
	}
	return b.nextPort
}

// overload opens flows of the heavy route until one is refused, and returns its caller's port.
func (b *linkTest) overload() uint16 {
	b.open(b.heavy, 40)
	b.open(b.small, 1)
	for range 100 {
		b.now = b.now.Add(20 * time.Millisecond)
		b.tick(b.now)
		port := b.open(b.heavy, 0)
		b.open(b.small, 1)
		if b.linkBudget.Snapshot().Refused[linkbudget.WorkExceedsAllowance] > 0 {
			return port
		}
	}
	return 0
}

// Guards against a refusal without a reset that its caller can read, without its line and its
// count, and against a refused flow that a copy of the opening opens.
func TestOpeningIsRefusedWhenLinkIsFull(t *testing.T) {
	b := newLinkTest(t, 10e6/8)
	port := b.overload()
	b.True(port != 0)
	b.Equal(b.metrics.Resets.Counts(), []metrics.KindCount{{Kind: errkind.LinkFull, Count: 1}})
	b.True(strings.Contains(b.out.String(), `"event":1520`))
	b.True(strings.Contains(b.out.String(), `"reason":"link-full"`))
	datagram := make([]byte, 100)
	n, _, err := b.fabric.ReadFromUDPAddrPort(datagram)
	b.NoErr(err)
	b.Equal(n, platform.HeaderBytes)
	b.Equal(binary.BigEndian.Uint16(datagram[4:]), port)
	b.Equal(datagram[30], byte(16))

	openings := b.metrics.Openings.Count()
	b.NoErr(b.forward(b.now, rawPacket(port, b.heavy, synFlag, 1, 0)))
	b.Equal(b.metrics.Openings.Count(), openings)
	b.Equal(b.metrics.Drops.Counts(), []metrics.KindCount{{Kind: errkind.LinkFull, Count: 1}})
	b.NoErr(b.forward(b.now, rawPacket(port+1000, b.heavy, synFlag, 1, 0))) // of a flow that another balancer may have opened
	b.Equal(b.metrics.Openings.Count(), openings+1)
}

// Guards against refusals by a balancer whose settings lack a usable rate, and against a start
// without the line that says so.
func TestUnknownLinkRateRefusesNothing(t *testing.T) {
	for _, rate := range []float64{0, 100e6 / 8, 1e9} {
		b := newLinkTest(t, rate)
		b.Equal(b.overload(), uint16(0))
		b.Equal(len(b.metrics.Resets.Counts()), 0)
		b.logUnknownLinkRate()
		b.Equal(strings.Count(b.out.String(), `"event":1009`) == 1, rate == 0)
	}
}

// Guards against traffic that is missing in the metrics, and against label values that differ
// from the names of package linkbudget.
func TestLinkMetrics(t *testing.T) {
	b := newLinkTest(t, 10e6/8)
	b.open(b.small, 2)
	b.updateLinkGauges()
	m := b.metrics.Link
	b.Equal(m.ReceivedMessages.Value(), int64(3))
	b.Equal(m.ReceivedBytes.Value(), int64(3*(36+28)+2*1200))
	b.Equal(m.SentMessages.Value("opening"), int64(1))
	b.Equal(m.SentMessages.Value("forward"), int64(2))
	b.True(m.SentBytes.Value("forward") > 2400)
	b.Equal(m.Rate.Value(), int64(1_250_000))
	b.Equal(m.RetryBudget.Value(), int64(62_500))
	b.Equal(len(metrics.LinkKinds), int(linkbudget.Kinds))
	b.Equal(len(metrics.LinkReasons), int(linkbudget.Reasons))
}

// Guards against a rate of the link that is raised by the packets held until the first view:
// the link took up to a second for them.
func TestHeldPacketsRaiseNoRate(t *testing.T) {
	b := newLinkTest(t, 10e6/8)
	b.node.Announcer = follow.NewAnnouncer(nil, b.node.Board, b.logger)
	held := rawPacket(20000, b.small, ackFlag, 0, 1200)
	for range maxHeldPackets {
		b.NoErr(b.handleCallerPacket(held))
	}
	b.applyView()
	b.True(b.viewComplete)
	b.now = time.Now()
	for range 1100 {
		b.now = b.now.Add(time.Millisecond)
		b.linkBudget.Tick(b.now)
		b.NoErr(b.forward(b.now, held)) // 1.26 MB/s, the rate of the link
	}
	b.Equal(b.linkBudget.Rate(), 10e6/8)
}

// Guards against a reset of a flow that this balancer has forwarded: its first opening comes
// after a copy, or a duplicate of it comes after the caller has closed its side.
func TestForwardedFlowIsNotRefused(t *testing.T) {
	b := newLinkTest(t, 10e6/8)
	halfClosed := b.open(b.heavy, 1)
	b.NoErr(b.forward(b.now, rawPacket(halfClosed, b.heavy, ackFlag|finFlag, 0, 0)))
	refused := b.overload()
	b.True(refused != 0)
	for _, port := range []uint16{halfClosed, 30000} {
		b.NoErr(b.forward(b.now, rawPacket(port, b.heavy, synFlag, 1, 0)))
		b.NoErr(b.forward(b.now, rawPacket(port, b.heavy, synFlag, 0, 0)))
		b.Equal(b.metrics.Resets.Counts(), []metrics.KindCount{{Kind: errkind.LinkFull, Count: 1}})
	}
}

// Guards against a refused opening that a duplicate of it, or a copy, opens although its caller
// was told that nothing has run.
func TestRefusedOpeningStaysRefused(t *testing.T) {
	for name, change := range map[string]func(b *linkTest){
		"room again": func(b *linkTest) { b.now = b.now.Add(300 * time.Millisecond); b.tick(b.now) }, // the heavy flows are idle
		"panic":      func(b *linkTest) { b.replaceSteerer() },
	} {
		t.Run(name, func(t *testing.T) {
			b := newLinkTest(t, 10e6/8)
			port := b.overload()
			b.True(port != 0)
			change(b)
			openings := b.metrics.Openings.Count()
			for copies := range uint32(2) {
				b.NoErr(b.forward(b.now, rawPacket(port, b.heavy, synFlag, copies, 0)))
				b.Equal(b.metrics.Openings.Count(), openings)
			}
		})
	}
}
