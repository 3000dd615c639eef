package balancer

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
)

// Guards against a balancer that goes on sending packets on a UDP flow that a
// device on the path has lost, and against a new socket while the agent answers.
func TestSilentTunnelIsReopened(t *testing.T) {
	is := is.New(t)
	keyRing, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	is.NoErr(err)
	f, err := NewForwarder(ForwarderOptions{
		TunnelListen: netip.MustParseAddrPort("127.0.0.1:0"),
		ListenUDP:    udp.Listen,
		Logger:       event.Discard(),
		Metrics:      metrics.NewBalancer(metrics.New()),
	})
	is.NoErr(err)
	defer f.Close()
	agent, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	defer agent.Close()
	address := udp.LocalAddress(agent)
	is.NoErr(f.Apply(Plan{KeyRing: keyRing, Services: []ServicePlan{{
		Address:    netip.MustParseAddrPort("127.0.0.1:0"),
		Candidates: []Candidate{{ID: "a", Tunnel: address}},
	}}}))
	now := time.Now()
	observed := f.observations[address]

	observed.Sent.Store(now.UnixNano())
	observed.Heard.Store(now.Add(-time.Second).UnixNano())
	f.CheckTunnel(now)
	is.Equal(*f.tunnel.sender.Load(), f.tunnel.primary)

	observed.Heard.Store(now.Add(-3 * time.Second).UnixNano())
	f.CheckTunnel(now)
	is.True(*f.tunnel.sender.Load() != f.tunnel.primary)

	// The agent's answers arrive at the new socket.
	f.tunnel.send([]byte("probe"), address)
	buf := make([]byte, 100)
	_, from, err := agent.ReadFromUDPAddrPort(buf)
	is.NoErr(err)
	is.True(from != f.TunnelAddress())
	hello := make([]byte, tunnel.MaxSize)
	at := tunnel.NewCodec(keyRing).Prepend(hello, tunnel.MaxSize, &tunnel.Header{Type: tunnel.Hello})
	before := observed.Heard.Load()
	_, err = agent.WriteToUDPAddrPort(hello[at:], from)
	is.NoErr(err)
	for range 100 {
		if observed.Heard.Load() > before {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the agent's answer to the new socket was not received within 1 s")
}
