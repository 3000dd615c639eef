package hop

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

func drawAddress(t *rapid.T, label string) netip.AddrPort {
	ip := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), rapid.Uint16().Draw(t, label+" port"))
}

func drawMessage(t *rapid.T) Message {
	m := Message{Type: Type(rapid.IntRange(int(Forward), int(HelloAck)).Draw(t, "type")), Balancer: drawAddress(t, "balancer")}
	load := Load{Flows: rapid.Uint16().Draw(t, "flows"), InProgress: rapid.Uint16().Draw(t, "requests"), Slots: 9, Refusing: rapid.Bool().Draw(t, "refusing"), Stopping: rapid.Bool().Draw(t, "stopping")}
	switch m.Type {
	case Forward, Declined:
		for range rapid.IntRange(1, MaxCandidates).Draw(t, "candidates") {
			m.Candidates = append(m.Candidates, drawAddress(t, "candidate"))
		}
		m.Position = uint8(rapid.IntRange(0, len(m.Candidates)-1).Draw(t, "position"))
		m.Service, m.ReportHolder = rapid.Uint32().Draw(t, "service"), rapid.Bool().Draw(t, "ask")
		m.LastRound, m.LeastLoaded, m.LeastLoad = rapid.Bool().Draw(t, "final"), uint8(rapid.IntRange(0, len(m.Candidates)).Draw(t, "best")), rapid.Uint16().Draw(t, "best load")
		m.KnownOnly, m.Unsure = rapid.Bool().Draw(t, "known only"), rapid.Byte().Draw(t, "unsure")
		m.Offered = rapid.Bool().Draw(t, "offered")
		m.Query = m.ReportHolder && m.KnownOnly && rapid.Bool().Draw(t, "query")
		m.Packet = rapid.SliceOf(rapid.Byte()).Draw(t, "packet")
	case Placed:
		m.Opening = rapid.Bool().Draw(t, "opening")
		m.Key = flow.Key{Caller: drawAddress(t, "caller"), Service: drawAddress(t, "service address")}
		m.Agent, m.Load = drawAddress(t, "agent"), load
	case HelloAck:
		m.Agent, m.Load = drawAddress(t, "agent"), load
	}
	return m
}

var compareAddresses = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

// Guards against a field that Append writes at one offset and Decode reads at
// another, which would corrupt every message between nodes.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		sent := drawMessage(t)
		var got Message
		if err := Decode(sent.Append(nil), &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(sent, got, compareAddresses, cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against agents that offer a header without its data to their backend servers.
func TestQueryIsForKnownFlowsOnly(t *testing.T) {
	is := is.New(t)
	for _, m := range []Message{{Type: Forward, Query: true, ReportHolder: true}, {Type: Forward, Query: true, KnownOnly: true}} {
		is.True(errkind.Is(Decode(m.Append(nil), &Message{}), errkind.TunnelMalformed))
	}
}

// Guards against a header that is longer than MaxHeader, which callers use to
// reserve space before a forwarded packet.
func TestForwardHeaderFitsMaxHeader(t *testing.T) {
	is := is.New(t)
	m := Message{Type: Forward, Candidates: make([]netip.AddrPort, MaxCandidates)}
	is.Equal(len(m.Append(nil)), MaxHeader)
	is.Equal(ForwardSize(MaxCandidates, 36), 132) // a query or an opening, with the IP and UDP headers
}

// Guards against a panic or a wrong error kind on datagrams that no node sent.
func FuzzDecode(f *testing.F) {
	placed := Message{Type: Placed}
	f.Add(placed.Append(nil))
	f.Add([]byte{magic, byte(Forward), 0, 7, 9})
	query := Message{Type: Forward, Query: true, ReportHolder: true, KnownOnly: true, Candidates: make([]netip.AddrPort, 2), Packet: make([]byte, 36)}
	f.Add(query.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if err := Decode(b, &m); err != nil && !errkind.Is(err, errkind.TunnelMalformed) {
			t.Fatal(err)
		}
	})
}
