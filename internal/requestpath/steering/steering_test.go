package steering

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/connid"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

var (
	start    = time.Unix(1_800_000_000, 0)
	addressA = netip.MustParseAddrPort("127.0.0.1:7001")
	addressB = netip.MustParseAddrPort("127.0.0.1:7002")
)

func testRouter(t interface{ Fatal(...any) }) *Router {
	ring, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	if err != nil {
		t.Fatal(err)
	}
	return &Router{Codec: connid.NewCodec(ring), Policy: Rendezvous, Openings: NewOpenings()}
}

// fixedClock returns a clock that always returns t.
func fixedClock(t time.Time) func() time.Time { return func() time.Time { return t } }

func testAgents(n int) []Agent {
	out := make([]Agent, n)
	for i := range out {
		ip := netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)})
		out[i] = Agent{ID: fmt.Sprintf("a-%d", i), Tunnel: netip.AddrPortFrom(ip, 9000), Weight: 9, Observations: &Observations{}}
	}
	return out
}

func shortPacket(id [connid.Size]byte) []byte {
	return append([]byte{0x40}, append(id[:], "payload"...)...)
}

func initialPacket(dcid []byte) []byte {
	p := append([]byte{0xc0, 0, 0, 0, 1, byte(len(dcid))}, dcid...)
	return append(p, make([]byte, 1200)...)
}

// Guards against packets of an established flow that are steered by the current
// list of agents instead of their connection ID, and against packets that reach
// another service or a failure domain that is out.
func TestEstablishedFlows(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		r := testRouter(t)
		svc := NewService(addressA, testAgents(rapid.IntRange(0, 4).Draw(t, "agents")))
		f := connid.Fields{
			Agent:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 9, 9}), 9000),
			Domain: rapid.Uint8Range(0, 2).Draw(t, "domain"),
		}
		packet := shortPacket(r.Codec.Encode(f, addressA))
		secondsOut := rapid.IntRange(-1, 8).Draw(t, "out since s")
		if secondsOut >= 0 {
			r.Domains[1] = start.Add(DomainDropDelay).UnixNano()
		}
		now := start.Add(time.Duration(secondsOut) * time.Second)
		d := r.Steer(fixedClock(now), svc, packet)
		switch {
		case f.Domain == 1 && secondsOut >= 4:
			if d.Drop != errkind.PacketDomainOut {
				t.Fatalf("packet to a domain that is out: drop %v", d.Drop)
			}
		case d.Drop != 0 || d.Agent != f.Agent:
			t.Fatalf("steered to %v, dropped %v", d.Agent, d.Drop)
		}
		if d := r.Steer(fixedClock(now), NewService(addressB, nil), packet); d.Drop != errkind.PacketUnsteerable {
			t.Fatalf("packet with an ID of another service: drop %v", d.Drop)
		}
	})
}

// Guards against balancers that send packets of one opening to different agents
// because they list the agents in a different order, and against a candidate
// that is listed twice.
func TestOpeningCandidatesAgree(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		agents := testAgents(rapid.IntRange(1, 9).Draw(t, "agents"))
		shuffled := rapid.Permutation(agents).Draw(t, "order")
		packet := initialPacket(rapid.SliceOfN(rapid.Byte(), 8, 20).Draw(t, "dcid"))
		a := testRouter(t).Steer(fixedClock(start), NewService(addressA, agents), packet)
		b := testRouter(t).Steer(fixedClock(start), NewService(addressA, shuffled), packet)
		if a != b || a.Drop != 0 || !a.Opening {
			t.Fatalf("decisions %v and %v differ, or drop the opening", a, b)
		}
		if int(a.CandidateCount) != min(3, len(agents)) {
			t.Fatalf("%d candidates of %d agents", a.CandidateCount, len(agents))
		}
		seen := map[netip.AddrPort]bool{}
		for _, c := range a.Candidates[:a.CandidateCount] {
			if seen[c] {
				t.Fatalf("candidate %v listed twice", c)
			}
			seen[c] = true
		}
	})
}

// Guards against openings that keep going to an agent which has died without
// notice, until the membership protocol detects it.
func TestUnansweredOpeningGoesToNextCandidate(t *testing.T) {
	is := is.New(t)
	r := testRouter(t)
	svc := NewService(addressA, testAgents(3))
	packet := initialPacket([]byte("12345678"))
	first := r.Steer(fixedClock(start), svc, packet)
	is.Equal(r.Steer(fixedClock(start.Add(100*time.Millisecond)), svc, packet).Agent, first.Agent)
	second := r.Steer(fixedClock(start.Add(400*time.Millisecond)), svc, packet)
	is.Equal(second.Agent, first.Candidates[1])
	third := r.Steer(fixedClock(start.Add(800*time.Millisecond)), svc, packet)
	is.Equal(third.Agent, first.Candidates[2])
}

// Guards against openings to an agent that has become silent, and against a
// suspicion that overrides recent messages from the agent to this balancer.
func TestSilentAndSuspectedAgentsRankLast(t *testing.T) {
	is := is.New(t)
	agents := testAgents(3)
	svc := NewService(addressA, agents)
	packet := initialPacket([]byte("12345678"))
	first := testRouter(t).Steer(fixedClock(start), svc, packet)
	var preferred *Agent
	for i := range agents {
		if agents[i].Tunnel == first.Agent {
			preferred = &agents[i]
		}
	}
	preferred.Observations.Heard.Store(start.Add(-2 * silentAfter).UnixNano())
	is.Equal(testRouter(t).Steer(fixedClock(start), svc, packet).Candidates[2], preferred.Tunnel)

	preferred.Suspect = true
	preferred.Observations.Heard.Store(start.UnixNano())
	is.Equal(testRouter(t).Steer(fixedClock(start), NewService(addressA, agents), packet).Agent, preferred.Tunnel)
}

// Guards against an isolated balancer that continues to forward packets.
func TestModesDropPackets(t *testing.T) {
	is := is.New(t)
	r := testRouter(t)
	svc := NewService(addressA, testAgents(1))
	established := shortPacket(r.Codec.Encode(connid.Fields{Agent: addressA}, addressA))
	r.Mode = ForwardEstablished
	is.Equal(r.Steer(fixedClock(start), svc, initialPacket([]byte("12345678"))).Drop, errkind.PacketIsolated)
	is.Equal(r.Steer(fixedClock(start), svc, established).Drop, errkind.Kind(0))
	r.Mode = ForwardNone
	is.Equal(r.Steer(fixedClock(start), svc, established).Drop, errkind.PacketIsolated)
}

// Guards against an allocation for each packet of an established flow.
func TestSteerDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	r := testRouter(t)
	svc := NewService(addressA, testAgents(3))
	packet := shortPacket(r.Codec.Encode(connid.Fields{Agent: addressA}, addressA))
	is.Equal(testing.AllocsPerRun(100, func() { r.Steer(fixedClock(start), svc, packet) }), 0.0)
}

// Guards against a steering cost that grows with the number of agents.
func BenchmarkSteer(b *testing.B) {
	for _, n := range []int{10, 330, 3300} {
		r := testRouter(b)
		svc := NewService(addressA, testAgents(n))
		established := shortPacket(r.Codec.Encode(connid.Fields{Agent: addressA}, addressA))
		opening := initialPacket([]byte("12345678"))
		b.Run(fmt.Sprintf("established/agents=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Steer(fixedClock(start), svc, established)
			}
		})
		b.Run(fmt.Sprintf("opening/agents=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Steer(fixedClock(start), svc, opening)
			}
		})
	}
}
