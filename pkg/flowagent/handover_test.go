package flowagent

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
	"github.com/knapweedpier/knapweedpier/platform"
)

// Offset and value of the flag that makes a packet an acknowledgement.
const flagsOffset, ackBit = 30, 4

// handoverStore is a store that counts calls and answers them with errors of a kind.
type handoverStore struct {
	Store
	kind        errkind.Kind
	calls       int
	memberReads int
}

func (s *handoverStore) WriteHandover(context.Context, string, platform.Handover) error {
	s.calls++
	return errkind.New(s.kind, "write")
}

func (s *handoverStore) TakeHandover(context.Context, string) (platform.Handover, error) {
	s.calls++
	return platform.Handover{}, errkind.New(s.kind, "take")
}

func (s *handoverStore) RestartAnnounced(context.Context, string) (bool, error) {
	s.memberReads++
	return true, nil
}

// Guards against a flow that only the process knows which has handed over its flows and
// stops.
func TestNothingIsProcessedAfterTheHandover(t *testing.T) {
	is := is.New(t)
	store := &handoverStore{kind: errkind.PlatformDown}
	a := New(platform.Settings{}, store, event.Discard())
	a.writeHandover(1)
	is.Equal(store.calls, 1)
	key := flow.Key{Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: netip.MustParseAddrPort("198.18.0.1:8443")}
	acknowledgement := platform.AppendReset(nil, key, 5001)
	acknowledgement[flagsOffset] = ackBit
	is.NoErr(a.handleBackendPacket(acknowledgement))
	m := hop.Message{Type: hop.Forward, Candidates: []netip.AddrPort{{}}, Packet: acknowledgement}
	is.NoErr(a.handleMessage(&m)) // no socket is open
	is.NoErr(a.handleMessage(&hop.Message{Type: hop.Hello}))
	is.Equal(a.gate.OpenFlows(), 0)
}

// Guards against an agent that calls a store without end, or one that has no handover
// twice: each call is priced.
func TestHandoverIsTriedTwiceAtMost(t *testing.T) {
	for kind, calls := range map[errkind.Kind]int{errkind.PlatformDown: 2, errkind.NotFound: 1} {
		is := is.New(t)
		memberReads := 2 - calls // only an answer that there is none leads to another call
		store := &handoverStore{kind: kind}
		a := New(platform.Settings{FlowLifetime: time.Minute}, store, event.Discard())
		a.takeOver(t.Context())
		is.Equal(store.calls, calls)
		is.Equal(store.memberReads, memberReads)
	}
}
