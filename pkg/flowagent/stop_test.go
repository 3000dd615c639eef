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
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
	"github.com/knapweedpier/knapweedpier/platform"
)

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

// Guards against balancers that take a restarting agent for dead after 2 s, because the
// store answers its announcement late or no report has come yet, and against balancers that
// wait for an agent whose backend server has ended.
func TestStopNotifiesBalancers(t *testing.T) {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	for name, running := range map[string]bool{"running": true, "ended": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			backend, err := net.Listen("tcp4", loopback.String())
			is.NoErr(err)
			defer backend.Close()
			balancer, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
			is.NoErr(err)
			defer balancer.Close()
			a := New(platform.Settings{
				Address: loopback.Addr(), PacketAddress: loopback, BackendPacketAddress: loopback, ProbeAddress: loopback, ReportAddress: loopback,
				PeerAddress: loopback, MetricsAddress: loopback, BackendAddress: backend.Addr().(*net.TCPAddr).AddrPort(), FirstStart: true,
			}, unavailableStore{}, event.Discard())
			is.NoErr(a.Start(t.Context()))
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
