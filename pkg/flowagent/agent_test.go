package flowagent

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowgate"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flownode"
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
			is.True(a.gate.ConnAttemptDue(time.Now()))
			a.checkBackend()
			is.True(!a.gate.ConnAttemptDue(time.Now()))
			passedOn := a.gate.PassOnUnanswered(time.Now())
			is.Equal(len(passedOn), 1)
			is.Equal(passedOn[0].Message.Unsure == 0, !running) // denied
		})
	}
}

// listen opens a socket on a free port.
func listen(t *testing.T) udp.Socket {
	t.Helper()
	socket, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// Guards against an agent that refuses a query as malformed because it lacks the data, that
// delivers it, or that denies a flow which it may hold without knowing it.
func TestQueryIsAnsweredAndNotDelivered(t *testing.T) {
	is := is.New(t)
	balancer, backend := listen(t), listen(t)
	a := New(platform.Settings{BackendAddress: udp.LocalAddress(backend), FlowLifetime: time.Minute}, nil, event.Discard())
	a.nodeSocket, a.backendSocket = listen(t), listen(t)
	key := flow.Key{Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: netip.MustParseAddrPort("198.18.0.1:8443")}
	ask := func() (answer hop.Message) {
		header := platform.AppendReset(nil, flow.Key{Caller: key.Service, Service: key.Caller}, 7)
		header[20], header[30] = 4, 4 // 1,024 bytes of data, which were cut off, and an acknowledgement
		is.NoErr(a.handleMessage(&hop.Message{
			Type: hop.Forward, Query: true, ReportHolder: true, KnownOnly: true,
			Balancer: udp.LocalAddress(balancer), Candidates: []netip.AddrPort{{}}, Packet: header,
		}))
		buffer := make([]byte, udp.MaxDatagramBytes)
		n, _, err := balancer.ReadFromUDPAddrPort(buffer)
		is.NoErr(err)
		is.NoErr(hop.Decode(buffer[:n], &answer))
		return answer
	}
	unknown := ask()
	is.Equal(unknown.Type, hop.Declined)
	is.True(unknown.Query)
	is.Equal(unknown.Unsure, uint8(1))
	is.Equal(len(unknown.Packet), platform.HeaderBytes)
	for range 2 { // shows that the backend server holds the flow
		a.gate.FromBackend(time.Now(), flow.Packet{From: key.Service, To: key.Caller, Flags: flow.Ack, Length: 10})
	}
	known := ask()
	is.Equal(known.Type, hop.Placed)
	is.Equal(known.Key, key)
	is.NoErr(backend.(*net.UDPConn).SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
	_, _, err := backend.ReadFromUDPAddrPort(make([]byte, udp.MaxDatagramBytes))
	is.True(err != nil) // nothing was delivered
}

// memberStore is a store that sends the members that are written to a channel.
type memberStore struct {
	Store
	written chan view.Member
}

func (s memberStore) WriteMember(_ context.Context, m view.Member) (view.Revision, error) {
	s.written <- m
	return m.Revision + 10, nil
}

// newAnnouncingAgent returns an agent that writes its member, and nothing else. The store
// holds no members.
func newAnnouncingAgent(t *testing.T, backend netip.AddrPort, store memberStore) *Agent {
	t.Helper()
	a := New(platform.Settings{BackendAddress: backend}, store, event.Discard())
	board := view.NewBoard()
	board.Apply(view.Delta{Section: view.MembersSection, To: 1, Full: true})
	a.node = &flownode.Node{Board: board, Announcer: follow.NewAnnouncer(store, board, event.Discard()), Logger: event.Discard()}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.node.Announcer.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return a
}

// Guards against a handover that isn't used because a report changed the member after the
// announcement of the restart, to which the handover belongs otherwise.
func TestHandoverBelongsToTheLatestAnnouncement(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	const takenOver = 5
	a := newAnnouncingAgent(t, listener.Addr().(*net.TCPAddr).AddrPort(), memberStore{written: make(chan view.Member, 10)})
	a.takenOverMember = takenOver
	is.Equal(a.announceRestart(), view.Revision(takenOver))
	is.Equal(a.latestAnnouncement(takenOver), view.Revision(takenOver)) // no report meanwhile
	_, err = a.applyReport(flowgate.Report{Instance: "i-1", Started: time.Unix(1, 0), Sequence: 1, State: view.Leaving, Slots: 9})
	is.NoErr(err)
	is.True(a.latestAnnouncement(takenOver) > takenOver)
	is.Equal(a.latestAnnouncement(takenOver), a.node.Announcer.Revision())
}

// Guards against balancers that take a restarting agent for dead, and against
// agents that announce a restart although their backend server is gone.
func TestStopAnnouncesRestart(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	store := memberStore{written: make(chan view.Member, 10)}
	a := newAnnouncingAgent(t, listener.Addr().(*net.TCPAddr).AddrPort(), store)
	a.announceRestart()
	is.Equal(len(store.written), 0) // no report yet
	report := func(sequence uint64) {
		stored, err := a.applyReport(flowgate.Report{Instance: "i-1", Started: time.Unix(1, 0), Sequence: sequence, State: view.Ready, Slots: 9})
		is.NoErr(err)
		<-stored
	}
	report(1)
	for _, known := range []bool{false, true} { // the creation, and that the store holds it
		m := <-store.written
		is.True(!m.Restarting)
		is.Equal(m.StoredMS > 0, known)
	}
	a.announceRestart()
	m := <-store.written
	is.True(m.Restarting)
	is.Equal(m.State, view.Ready)
	report(2)
	is.Equal(len(store.written), 0) // a report doesn't take the announcement back
	is.NoErr(listener.Close())
	a.restarting = false
	a.announceRestart()
	is.Equal(len(store.written), 0) // the backend server is gone
}

// busyListener returns the address of a listener that lets connection attempts time
// out, as its queue of new connections is full.
func busyListener(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port))
	for range 4 {
		conn, err := net.DialTimeout("tcp4", address.String(), 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the listener accepts all connection attempts")
	return address
}

// Guards against an agent that removes its member, so that balancers reset the flows of
// its backend server, because a connection attempt to the leaving server timed out. The
// server, or the agent itself, may only be busy.
func TestBusyBackendServerHasNotEnded(t *testing.T) {
	is := is.New(t)
	a := New(platform.Settings{BackendAddress: busyListener(t)}, nil, event.Discard())
	_, err := a.gate.Report(time.Now(), flowgate.Report{Instance: "i-1", Started: time.Unix(1, 0), Sequence: 1, State: view.Leaving})
	is.NoErr(err)
	is.True(!a.backendEnded())
}

// Guards against an agent that goes on with a half-changed gate after a panic, that forgets
// the state of its backend server, and that denies the flows which the server holds.
func TestGateIsReplacedAfterPanic(t *testing.T) {
	is := is.New(t)
	service := netip.MustParseAddrPort("198.18.0.1:8443")
	a := New(platform.Settings{Service: "orders", FlowLifetime: time.Minute, FirstStart: true}, nil, event.Discard())
	board := view.NewBoard()
	a.node = &flownode.Node{Board: board, Announcer: follow.NewAnnouncer(nil, board, event.Discard()), Logger: event.Discard()}
	_, err := a.applyReport(flowgate.Report{Instance: "i-1", Started: time.Now(), Sequence: 1, State: view.Leaving, Slots: 9})
	is.NoErr(err)
	a.gate = nil // what a panic left behind
	a.replaceGate()
	is.Equal(a.gate.Load(time.Now()).Slots, uint16(9))
	is.True(a.gate.Leaving())
	is.Equal(a.metrics.Panics.Count(), int64(1))
	p := flow.Packet{From: netip.MustParseAddrPort("100.64.0.7:40001"), To: service, Flags: flow.Ack}
	m := &hop.Message{Type: hop.Forward, Candidates: []netip.AddrPort{{}}, Packet: []byte("packet")}
	is.Equal(a.gate.FromPeer(time.Now(), m, p).Verdict, flowgate.Deliver) // offered, not denied
}

// Guards against an agent that denies flows after a panic by a former lifetime of flows: the
// operator had raised it in the settings.
func TestReplacedGateKeepsReloadedSettings(t *testing.T) {
	is := is.New(t)
	s := platform.Settings{FlowLifetime: time.Minute}
	a := New(s, nil, event.Discard())
	board := view.NewBoard()
	a.node = &flownode.Node{Board: board, Announcer: follow.NewAnnouncer(nil, board, event.Discard()), Logger: event.Discard()}
	s.FlowLifetime = 2 * time.Minute
	a.Reload(s)
	a.replaceGate()
	is.True(a.gate.LearnFor(time.Now()) > time.Minute)
}

// Guards against a member that is withdrawn, so that balancers reset the open flows of its
// backend server, because the end of an earlier run under the same id is received after the
// present run has registered (review/2).
func TestLateEndOfAnEarlierRunIsRefused(t *testing.T) {
	is := is.New(t)
	a := New(platform.Settings{}, nil, event.Discard())
	board := view.NewBoard()
	a.node = &flownode.Node{Board: board, Announcer: follow.NewAnnouncer(nil, board, event.Discard()), Logger: event.Discard()}
	report := func(run int64, sequence uint64, state view.State) {
		_, err := a.applyReport(flowgate.Report{Instance: "i-1", Started: time.Unix(run, 0), Sequence: sequence, State: state, Slots: 9})
		is.NoErr(err)
	}
	report(1, 1, view.Ready)
	report(1, 2, view.Leaving)
	report(2, 1, view.Ready)
	is.True(errkind.Is(a.BackendLeft("i-1"), errkind.ReportStale))
	is.True(!a.backendLeft)
	is.True(!a.gate.Leaving())
	report(2, 2, view.Leaving)
	is.NoErr(a.BackendLeft("i-1"))
	is.True(a.backendLeft)
}

// Guards against a member that is withdrawn, so that balancers reset the open flows of its
// backend server, because the end of an earlier run is received by an agent that has
// restarted and has no report of the present run yet, and against a member that stays after
// the true end of a backend server, which the agent took for that.
func TestLateEndBeforeFirstReport(t *testing.T) {
	for name, c := range map[string]struct {
		announced view.State // by the earlier process of the agent
		running   bool
		accepted  bool
		ended     bool
	}{
		"unknown state":   {running: true},
		"ready":           {announced: view.Ready, running: true},
		"ready and ended": {announced: view.Ready, ended: true},
		"leaving":         {announced: view.Leaving, running: true, accepted: true, ended: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			if !c.running {
				is.NoErr(listener.Close())
			}
			a := New(platform.Settings{BackendAddress: listener.Addr().(*net.TCPAddr).AddrPort()}, nil, event.Discard())
			board := view.NewBoard()
			a.node = &flownode.Node{Board: board, Announcer: follow.NewAnnouncer(nil, board, event.Discard()), Logger: event.Discard()}
			if c.announced != "" {
				a.gate.RestoreAnnounced(flowgate.Report{State: c.announced, Slots: 9})
			}
			err = a.BackendLeft("i-of-an-earlier-run")
			is.Equal(err == nil, c.accepted)
			is.Equal(errkind.Is(err, errkind.ReportStale), !c.accepted)
			is.Equal(a.backendLeft, c.accepted)
			is.Equal(a.backendEnded(), c.ended)
			_, err = a.applyReport(flowgate.Report{Instance: "i-1", Started: time.Now(), Sequence: 1, State: view.Ready, Slots: 9})
			is.NoErr(err)
			is.True(!a.backendEnded())
		})
	}
}
