package flowagent

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
	"github.com/knapweedpier/knapweedpier/platform"
)

// Guards against an agent that denies flows of a running backend server which is
// silent, and against one that keeps packets for a backend server which is down.
func TestSilentBackendServerIsDialled(t *testing.T) {
	for name, running := range map[string]bool{"running": true, "down": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			settings := platform.Settings{BackendAddress: listener.Addr().(*net.TCPAddr).AddrPort(), FlowLifetime: time.Minute}
			if !running {
				is.NoErr(listener.Close())
			}
			a := New(settings, nil, event.Discard())
			p := flow.Packet{From: netip.MustParseAddrPort("100.64.0.7:40001"), To: netip.MustParseAddrPort("198.18.0.1:8443"), Flags: flow.Ack}
			m := &hop.Message{Type: hop.Forward, Candidates: []netip.AddrPort{{}}, Packet: []byte("packet")}
			a.gate.FromPeer(time.Now().Add(-time.Second), m, p)
			is.True(a.gate.OffersUnanswered(time.Now()))
			a.checkBackend()
			is.True(!a.gate.OffersUnanswered(time.Now()))
			is.Equal(len(a.gate.PassOnUnanswered(time.Now())) > 0, !running)
		})
	}
}
