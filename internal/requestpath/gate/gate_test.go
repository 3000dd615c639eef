package gate

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/requestpath/ticket"
	"github.com/knapweedpier/knapweedpier/standin/backend"
)

const orderBody = `{"order":"o1"}`

// Guards against an answer without its outcome, and against a not-run refusal of
// an order that ran.
func TestErrorKindsAndOutcomes(t *testing.T) {
	for _, c := range []struct {
		kind    string
		outcome string
		status  int
		runs    int
		prepare func(f *fleet, m *member)
		header  []string
		body    string
	}{
		{kind: "", outcome: "done", status: 200, runs: 1},
		{kind: "backend-full", outcome: "not-run", status: 503, prepare: func(f *fleet, m *member) { f.service.Limits.Slots = 0 }},
		{kind: "backend-leaving", outcome: "not-run", status: 503, prepare: func(_ *fleet, m *member) { m.state.Store(State{Leaving: true}) }},
		{kind: "backend-down", outcome: "not-run", status: 502, prepare: func(_ *fleet, m *member) { m.server.Close() }},
		{kind: "backend-shed", outcome: "not-run", status: 503, prepare: func(_ *fleet, m *member) { m.server.Drain() }},
		{kind: "backend-lost", outcome: "unknown", status: 502, runs: 1, prepare: func(_ *fleet, m *member) { restartOnStart(m) }},
		{kind: "deadline-not-run", outcome: "not-run", status: 504, header: []string{TimeoutHeader, "0"}},
		{kind: "deadline-unknown", outcome: "unknown", status: 504, prepare: func(_ *fleet, m *member) { m.server.Freeze(time.Second) }, header: []string{TimeoutHeader, "30"}},
		{kind: "ticket-invalid", outcome: "not-run", status: 400, header: []string{TicketHeader, "x"}},
		{kind: "domain-out", outcome: "not-run", status: 503, prepare: func(_ *fleet, m *member) { m.state.Store(State{DomainOut: true}) }},
		{kind: "agent-fenced", outcome: "not-run", status: 503, prepare: func(_ *fleet, m *member) { m.state.Store(State{Fenced: true}) }},
		{kind: "request-too-large", outcome: "not-run", status: 413, header: []string{TicketHeader, "x"}, body: strings.Repeat("x", maxBufferedBodyBytes+1)},
	} {
		t.Run(c.kind, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, PolicyAdaptive, backend.Options{WorkMean: 50 * time.Millisecond})
			m := f.members[0]
			if c.prepare != nil {
				c.prepare(f, m)
			}
			if c.body == "" {
				c.body = orderBody
			}
			got := m.call("POST", "/orders", c.body, c.header...)
			is.Equal(got.kind(), c.kind)
			is.Equal(got.outcome(), c.outcome)
			is.Equal(got.status, c.status)
			is.True(got.header.Get(NextTicketHeader) != "")
			is.Equal(m.server.Ledger().Runs["o1"], c.runs)
		})
	}
}

// restartOnStart restarts the backend server as soon as a request has started.
func restartOnStart(m *member) {
	go func() {
		for len(m.server.Ledger().Starts) == 0 {
			time.Sleep(100 * time.Microsecond)
		}
		m.server.Restart()
	}()
}

// Guards against a full or leaving agent that refuses although a peer has free
// slots, and against a relayed request that is relayed again.
func TestRelay(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, PolicyAdaptive, backend.Options{WorkMean: time.Millisecond})
	a, b := f.members[0], f.members[1]
	a.state.Store(State{Leaving: true})
	got := a.call("POST", "/orders", orderBody)
	is.Equal(got.outcome(), "done")
	is.True(strings.Contains(got.body, `"backend":"b2"`))

	b.state.Store(State{Leaving: true})
	got = a.call("POST", "/orders", orderBody)
	is.Equal(got.kind(), "backend-leaving")

	a.state.Store(State{})
	release := a.occupySlots(9)
	b.state.Store(State{})
	got = a.call("GET", "/catalogue", "")
	is.True(strings.Contains(got.body, `"backend":"b2"`))
	resp, err := http.Get(a.relay.URL + "/catalogue")
	is.NoErr(err)
	readAll(t, resp)
	is.Equal(resp.Header.Get(ErrorHeader), "relay-not-possible")
	release()
	is.True(a.becomesIdle()) // the server confirms the cancellations first
}

// Guards against an order that is reported as possibly run although a peer
// rejected the certificate, as peers do during a key rotation.
func TestRejectedCertificateMeansNotRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, PolicyAdaptive, backend.Options{WorkMean: time.Millisecond})
	a, b := f.members[0], f.members[1]
	text := b.call("POST", TicketPath, "").header.Get(TicketHeader)
	b.denies.Store(true)
	is.Equal(a.call("POST", "/orders", orderBody, TicketHeader, text, AttemptHeader, "1").outcome(), "not-run")
	is.Equal(a.call("POST", "/orders", orderBody, TicketHeader, text, AttemptHeader, "2").outcome(), "unknown")
	a.state.Store(State{Leaving: true})
	is.Equal(a.call("POST", "/orders", orderBody).outcome(), "not-run")
	is.Equal(a.server.Ledger().Runs["o1"]+b.server.Ledger().Runs["o1"], 0)
}

// Guards against a caller's retry that runs again, at the issuer or through
// another agent, and against a wrong outcome when the issuer is gone.
func TestTickets(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, PolicyAdaptive, backend.Options{WorkMean: time.Millisecond})
	a, b := f.members[0], f.members[1]
	text := a.call("POST", TicketPath, "").header.Get(TicketHeader)
	first := a.call("POST", "/orders", orderBody, TicketHeader, text, AttemptHeader, "1")
	is.Equal(first.status, 200)
	for _, m := range []*member{a, b} {
		again := m.call("POST", "/orders", orderBody, TicketHeader, text, AttemptHeader, "2")
		is.Equal(again.body, first.body)
		is.Equal(again.outcome(), "done")
	}
	is.Equal(a.server.Ledger().Runs["o1"]+b.server.Ledger().Runs["o1"], 1)

	text = b.call("POST", "/orders", orderBody, TicketHeader, text).header.Get(NextTicketHeader)
	b.down.Store(true)
	is.Equal(a.call("POST", "/orders", orderBody, TicketHeader, text, AttemptHeader, "1").kind(), "ticket-expired")
	is.Equal(a.call("POST", "/orders", orderBody, TicketHeader, text, AttemptHeader, "2").kind(), "ticket-unknown")
	is.Equal(a.call("POST", "/orders", orderBody, TicketHeader, text).outcome(), "unknown")

	old := ticket.Ticket{Issuer: a.opts.RelayAddress, Incarnation: 9, Serial: 1, IssuedAt: time.Now()}.Encode(f.ring.SigningKey())
	is.Equal(a.call("POST", "/orders", orderBody, TicketHeader, old, AttemptHeader, "1").outcome(), "not-run")
	is.Equal(a.server.Ledger().Runs["o1"]+b.server.Ledger().Runs["o1"], 1)
}

// Guards against a feed that holds a slot, that ends with its deadline, or
// that keeps its connection after the caller has disconnected.
func TestFeedHoldsNoSlot(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, PolicyAdaptive, backend.Options{FeedInterval: 10 * time.Millisecond})
	f.service.RequestTimeout = 50 * time.Millisecond
	m := f.members[0]
	resp, err := http.Get(m.front.URL + "/feed")
	is.NoErr(err)
	lines := bufio.NewScanner(resp.Body)
	for range 30 { // several times the deadline
		is.True(lines.Scan())
	}
	is.Equal(m.inProgress(), 0)
	is.Equal(m.server.Ledger().FeedsOpen, 1)
	resp.Body.Close()
	for end := time.Now().Add(time.Second); m.server.Ledger().FeedsOpen > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(m.server.Ledger().FeedsOpen, 0)
}

// Guards against flows above the connection limit, and against a second call of
// the release function that is counted.
func TestFlowsAreCounted(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, PolicyAdaptive, backend.Options{})
	f.service.Limits.Connections = 1
	release, err := f.members[0].OpenFlow()
	is.NoErr(err)
	_, err = f.members[0].OpenFlow()
	is.True(err != nil)
	release()
	release()
	is.Equal(f.members[0].Gate.Load().Flows, 0)
}

// Guards against a feed that runs at a peer's backend server: it would end
// when the peer's failure domain fails, although its flow is in another one.
func TestFeedIsNeverRelayed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, PolicyAdaptive, backend.Options{FeedInterval: 10 * time.Millisecond})
	a, b := f.members[0], f.members[1]
	a.state.Store(State{Leaving: true})
	refused := a.call("GET", "/feed", "")
	is.Equal(refused.outcome(), "not-run")
	is.Equal(refused.kind(), "backend-leaving")

	a.state.Store(State{})
	a.server.Freeze(200 * time.Millisecond) // all slots are in use meanwhile
	for range f.service.Limits.Slots {
		go a.call("GET", "/catalogue?caller=c&n=1", "")
	}
	for a.inProgress() < f.service.Limits.Slots {
		time.Sleep(time.Millisecond)
	}
	resp, err := http.Get(a.front.URL + "/feed")
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(b.server.Ledger().FeedsStarted, 0)
	is.Equal(a.server.Ledger().FeedsStarted, 1)
}

// Guards against an attempt that was delayed in the network and runs after a
// later attempt got the outcome not-run, and against a not-run answer of an agent
// that cannot know whether other attempts run.
func TestNotRunIsFinalForATicket(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, PolicyAdaptive, backend.Options{WorkMean: time.Millisecond})
	a, b := f.members[0], f.members[1]
	text := a.call("POST", TicketPath, "").header.Get(TicketHeader)
	for _, m := range f.members {
		m.state.Store(State{Leaving: true})
		m.load.Store(Load{})
	}
	refused := a.call("POST", "/orders", orderBody, TicketHeader, text, AttemptHeader, "2")
	is.Equal(refused.outcome(), "not-run")
	is.True(refused.header.Get(NextTicketHeader) != "")

	a.state.Store(State{})
	delayed := b.call("POST", "/orders", orderBody, TicketHeader, text, AttemptHeader, "1")
	is.Equal(delayed.outcome(), "not-run")
	is.Equal(a.server.Ledger().Runs["o1"]+b.server.Ledger().Runs["o1"], 0)

	b.state.Store(State{Fenced: true})
	next := refused.header.Get(NextTicketHeader)
	is.Equal(b.call("POST", "/orders", orderBody, TicketHeader, next, AttemptHeader, "2").outcome(), "unknown")
	is.Equal(b.call("POST", "/orders", orderBody, TicketHeader, next, AttemptHeader, "1").outcome(), "not-run")
}
