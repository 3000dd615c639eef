package flowagent

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowgate"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
	"github.com/knapweedpier/knapweedpier/platform"
)

// loopback lets the system choose a port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// unavailableStore is a store that refuses all calls.
type unavailableStore struct{ Store }

func (unavailableStore) refuse() error { return errkind.New(errkind.PlatformDown, "no answer") }

func (s unavailableStore) List(context.Context, view.Section) ([]follow.Change, view.Revision, error) {
	return nil, 0, s.refuse()
}

func (s unavailableStore) WriteMember(context.Context, view.Member) (view.Revision, error) {
	return 0, s.refuse()
}

func (s unavailableStore) DeleteMember(context.Context, string, view.Revision) error {
	return s.refuse()
}

// receiveLoads returns the loads that an agent has sent to a socket.
func receiveLoads(t *testing.T, socket *net.UDPConn) []hop.Load {
	t.Helper()
	var loads []hop.Load
	buffer := make([]byte, 1500)
	_ = socket.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	for {
		n, err := socket.Read(buffer)
		if err != nil {
			return loads // all that were sent on loopback have arrived
		}
		var m hop.Message
		if err := hop.Decode(buffer[:n], &m); err != nil {
			t.Fatal(err)
		}
		loads = append(loads, m.Load)
	}
}

// startAgent starts an agent on loopback beside a backend server.
func startAgent(t *testing.T, backend netip.AddrPort) *Agent {
	t.Helper()
	a := New(platform.Settings{
		Address: loopback.Addr(), PacketAddress: loopback, BackendPacketAddress: loopback, ProbeAddress: loopback, ReportAddress: loopback,
		PeerAddress: loopback, MetricsAddress: loopback, BackendAddress: backend, FirstStart: true,
	}, unavailableStore{}, event.Discard())
	if err := a.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return a
}

// Guards against balancers that take a restarting agent for dead after 2 s, because the
// store answers its announcement late or no report has come yet, and against balancers that
// wait for an agent whose backend server has ended.
func TestStopNotifiesBalancers(t *testing.T) {
	for name, running := range map[string]bool{"running": true, "ended": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			backend, err := net.Listen("tcp4", loopback.String())
			is.NoErr(err)
			defer backend.Close()
			balancer, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
			is.NoErr(err)
			defer balancer.Close()
			a := startAgent(t, backend.Addr().(*net.TCPAddr).AddrPort())
			a.node.Board.Apply(view.Delta{Section: view.MembersSection, To: 1, Full: true, Members: []view.Member{
				{Name: "balancer-1", Role: view.BalancerRole, Address: balancer.LocalAddr().(*net.UDPAddr).AddrPort()},
			}})
			a.followView()
			if !running {
				is.NoErr(backend.Close())
			}
			receiveLoads(t, balancer) // of the start
			is.NoErr(a.Stop(t.Context()))
			stopping := 0
			for _, l := range receiveLoads(t, balancer) {
				if l.Stopping {
					stopping++
				}
			}
			if running {
				is.True(stopping >= 2) // at the begin and just before the silence
			} else {
				is.Equal(stopping, 0)
			}
		})
	}
}

// Guards against a stopping agent that takes its own refusal of new flows for the state of
// its backend server: it withdraws the member on the late end of an earlier run, and accepts
// new flows again with the first report.
func TestReportsWhileTheAgentStops(t *testing.T) {
	for name, reportedBefore := range map[string]bool{"report before": true, "first report": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			backend, err := net.Listen("tcp4", loopback.String())
			is.NoErr(err)
			defer backend.Close()
			a := startAgent(t, backend.Addr().(*net.TCPAddr).AddrPort())
			report := func(sequence uint64) {
				_, err := a.applyReport(flowgate.Report{Instance: "i-1", Started: time.Unix(1, 0), Sequence: sequence, State: view.Ready, Slots: 9})
				is.NoErr(err)
			}
			if reportedBefore {
				report(1)
			}
			is.NoErr(a.Stop(t.Context()))
			is.True(errkind.Is(a.applyBackendLeft("i-1"), errkind.ReportStale))
			is.True(!a.backendLeft)
			report(2)
			is.Equal(a.gate.Refusal(time.Now()), errkind.BackendLeaving)
		})
	}
}
