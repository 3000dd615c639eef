package flowbalancer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flownode"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowsteer"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
	"github.com/knapweedpier/knapweedpier/platform"
)

// Guards against a stopping balancer that ends while the fabric still sends it
// packets, and against one that runs longer than its grace period.
func TestDrainEndsWhenCallerPacketsStop(t *testing.T) {
	is := is.New(t)
	b := New(platform.Settings{GracePeriod: 6 * time.Second}, nil, event.Discard())
	began := time.Unix(1_790_000_000, 0)
	after := func(d time.Duration) time.Time { return began.Add(d) }
	b.lastCallerPacket = after(-time.Minute)
	is.True(!b.isDrained(began, after(time.Second))) // minDrainTime has not passed: the fabric may not have noticed
	is.True(b.isDrained(began, after(1200*time.Millisecond)))
	b.lastCallerPacket = after(1800 * time.Millisecond)
	is.True(!b.isDrained(began, after(2*time.Second))) // a packet came within quietPeriod
	is.True(b.isDrained(began, after(2200*time.Millisecond)))
	b.lastCallerPacket = after(5 * time.Second)
	is.True(b.isDrained(began, after(5*time.Second)))
}

// Guards against a timer that takes a new confirmation of the view before the view
// itself has reached the steerer: the balancer resets a flow of an agent that the
// confirmed view names and that was never asked (issue 17).
func TestConfirmationComesWithItsView(t *testing.T) {
	is := is.New(t)
	socket, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	defer func() { _ = socket.Close() }()
	b := New(platform.Settings{PeerAddress: netip.MustParseAddrPort("127.0.0.1:7720"), Domain: "a"}, nil, event.Discard())
	b.nodeSocket, b.node = socket, &flownode.Node{Board: view.NewBoard(), Logger: event.Discard()}
	service := netip.MustParseAddrPort("198.18.0.1:8443")
	route := view.Route{Address: service, Targets: []view.Target{{Service: "comptoir", Weight: 1}}}
	known := view.Member{Name: "agent-1", Role: view.AgentRole, Domain: "a", Address: netip.MustParseAddrPort("127.0.0.1:8172"), Service: "comptoir", Slots: 4, State: view.Ready}
	added := known
	added.Name, added.Address = "agent-2", netip.MustParseAddrPort("127.0.0.1:8173")
	now := time.Now()

	b.node.Board.Apply(view.Delta{Section: view.ConfigurationSection, To: 1, Full: true, Configuration: &view.ConfigurationDelta{Version: 1, Routes: []view.Route{route}}})
	b.node.Board.Apply(view.Delta{Section: view.EvacuationsSection, To: 1, Full: true})
	b.node.Board.Apply(view.Delta{Section: view.MembersSection, To: 1, Full: true, Members: []view.Member{known}})
	b.updateView()
	b.node.Board.Apply(view.Delta{Section: view.MembersSection, From: 1, To: 2, Members: []view.Member{added}})
	b.node.Board.Confirm(view.MembersSection, now)
	b.tick(now)

	p := flow.Packet{From: netip.MustParseAddrPort("100.64.0.7:40001"), To: service, Flags: flow.Ack}
	first := b.steerer.FromCaller(now, p, []byte("data"))
	is.Equal(first.Verdict, flowsteer.Send)
	is.Equal(len(first.Message.Candidates), 2)
}

// Guards against a query that carries its packet's data over a narrow link, and against an
// answer to it that is refused as malformed because it lacks the data: the flow is then looked
// up until the packet is dropped.
func TestQueryCarriesHeaderOnly(t *testing.T) {
	is := is.New(t)
	listen := func() udp.Socket {
		socket, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		is.NoErr(err)
		t.Cleanup(func() { _ = socket.Close() })
		return socket
	}
	agent := listen()
	b := New(platform.Settings{PeerAddress: netip.MustParseAddrPort("127.0.0.1:7720"), Domain: "a", LinkRate: 1.25e6}, nil, event.Discard())
	b.nodeSocket, b.node = listen(), &flownode.Node{Board: view.NewBoard(), Logger: event.Discard()}
	b.viewComplete = true
	service := netip.MustParseAddrPort("198.18.0.1:8443")
	route := view.Route{Address: service, Targets: []view.Target{{Service: "comptoir", Weight: 1}}}
	member := view.Member{Name: "agent-1", Role: view.AgentRole, Domain: "a", Address: udp.LocalAddress(agent), Service: "comptoir", Slots: 4, State: view.Ready}
	b.node.Board.Apply(view.Delta{Section: view.ConfigurationSection, To: 1, Full: true, Configuration: &view.ConfigurationDelta{Version: 1, Routes: []view.Route{route}}})
	b.node.Board.Apply(view.Delta{Section: view.EvacuationsSection, To: 1, Full: true})
	b.node.Board.Apply(view.Delta{Section: view.MembersSection, To: 1, Full: true, Members: []view.Member{member}})
	b.updateView()
	key := flow.Key{Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: service}
	packet := append(platform.AppendReset(nil, flow.Key{Caller: key.Service, Service: key.Caller}, 7), make([]byte, 1024)...)
	packet[20], packet[30] = 4, 4 // 1,024 bytes of data and an acknowledgement
	var m hop.Message
	receive := func() {
		buffer := make([]byte, udp.MaxDatagramBytes)
		n, _, err := agent.ReadFromUDPAddrPort(buffer)
		is.NoErr(err)
		is.NoErr(hop.Decode(buffer[:n], &m))
	}
	is.NoErr(b.handleCallerPacket(packet))
	receive()
	is.True(m.Query)
	is.Equal(m.Packet, packet[:platform.HeaderBytes])
	m.Type, m.Unsure = hop.Declined, 1
	is.NoErr(b.handleMessage(&m))
	receive()
	is.True(!m.Query && !m.KnownOnly) // the offer
	is.Equal(m.Packet, packet)
}

// Guards against a balancer that goes on with a half-changed steerer after a panic, or with
// one that has no view.
func TestSteererIsReplacedAfterPanic(t *testing.T) {
	is := is.New(t)
	b := New(platform.Settings{PeerAddress: netip.MustParseAddrPort("127.0.0.1:7720"), Domain: "a"}, nil, event.Discard())
	b.node = &flownode.Node{Board: view.NewBoard(), Logger: event.Discard()}
	service := netip.MustParseAddrPort("198.18.0.1:8443")
	route := view.Route{Address: service, Targets: []view.Target{{Service: "comptoir", Weight: 1}}}
	agent := view.Member{Name: "agent-1", Role: view.AgentRole, Domain: "a", Address: netip.MustParseAddrPort("127.0.0.1:8172"), Service: "comptoir", Slots: 4, State: view.Ready}
	b.node.Board.Apply(view.Delta{Section: view.ConfigurationSection, To: 1, Full: true, Configuration: &view.ConfigurationDelta{Version: 1, Routes: []view.Route{route}}})
	b.node.Board.Apply(view.Delta{Section: view.EvacuationsSection, To: 1, Full: true})
	b.node.Board.Apply(view.Delta{Section: view.MembersSection, To: 1, Full: true, Members: []view.Member{agent}})
	b.steerer = nil // what a panic left behind
	b.replaceSteerer()
	opening := flow.Packet{From: netip.MustParseAddrPort("100.64.0.7:40001"), To: service, Flags: flow.Open}
	action := b.steerer.FromCaller(time.Now(), opening, []byte("packet"))
	is.Equal(action.Verdict, flowsteer.Send)
	is.Equal(action.To, agent.Address)
	is.Equal(b.metrics.Panics.Count(), int64(1))
}
