package flowgate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// playRequest sends one request on a new flow, which the backend server answers
// with a status, resets (status 0) or leaves unanswered (-1).
func playRequest(g *Gate, now time.Time, port, status int) {
	establishFlow(g, now, port, orders)
	g.FromPeer(now, forward(self), dataPacket(port, orders, 101, 100))
	p := backendPacket(port, orders, flow.Ack, 200)
	p.Status = status
	switch status {
	case -1:
		return
	case 0:
		p.Flags, p.Length = flow.Reset, 0
	}
	g.FromBackend(now, p)
}

// openingIsPassedOn reports whether an opening that has another candidate left is
// passed on. Otherwise the backend server answers it.
func openingIsPassedOn(g *Gate, now time.Time, port int) bool {
	a := g.FromPeer(now, forward(self, other), openingPacket(port))
	if a.Verdict == Deliver {
		g.FromBackend(now, backendPacket(port, orders, flow.Open|flow.Ack, 0))
	}
	return a.Verdict == PassOn
}

// Guards against new flows for a backend server that reports itself ready but
// fails all or half of its requests with errors, resets or no answer.
func TestFailingServerGetsFewNewFlows(t *testing.T) {
	for name, status := range map[string]int{"errors": 500, "busy": 503, "resets": 0, "hangs": -1} {
		for _, every := range []int{1, 2} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				g := readyGate(t, false)
				now := start
				for port := 1; port <= 12; port++ {
					now = now.Add(40 * time.Millisecond)
					result := 200
					if port%every == 0 {
						result = status
					}
					playRequest(g, now, port, result)
				}
				if status < 0 {
					now = now.Add(overdueAfter)
				}
				g.Tick(now)
				is.True(g.Load(now).Refusing)
				passedOn := 0
				for port := range 50 {
					now = now.Add(20 * time.Millisecond)
					if openingIsPassedOn(g, now, 1000+port) {
						passedOn++
					}
				}
				is.True(passedOn >= 47) // in a second
				if status >= 0 {
					// Some are always accepted, except that a backend server which hangs is
					// also busy until callers give up.
					is.True(passedOn < 50)
				}
			})
		}
	}
}

// Guards against a backend server that gets few new flows even after it has
// recovered.
func TestRecoveredServerGetsAllFlowsAgain(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	now := start
	for port := 1; port <= 6; port++ {
		playRequest(g, now, port, 500)
	}
	is.True(g.Load(now).Refusing)
	for port := 101; port <= 105; port++ {
		now = now.Add(failingTrialInterval)
		is.True(!openingIsPassedOn(g, now, port+1000)) // a trial
		g.FromPeer(now, forward(self), dataPacket(port+1000, orders, 101, 100))
		p := backendPacket(port+1000, orders, flow.Ack, 200)
		p.Status = 200
		g.FromBackend(now, p)
	}
	is.True(!g.Load(now).Refusing)
}

// Guards against single failures that make a backend server count as failing, and
// against a failing one that loses its open flows.
func TestFewFailuresAreTolerated(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	now := start
	for port := 1; port <= 60; port++ {
		now = now.Add(20 * time.Millisecond)
		status := 200
		if port%10 == 0 {
			status = 500
		}
		playRequest(g, now, port, status)
	}
	is.True(!g.Load(now).Refusing)
	for port := 201; port <= 206; port++ {
		playRequest(g, now, port, 500)
	}
	is.True(g.Load(now).Refusing)
	is.Equal(g.FromPeer(now, forward(self), dataPacket(1, orders, 201, 10)).Verdict, Deliver)
}

// Guards against a flow that no agent accepts because all backend servers fail.
func TestFailingServerTakesFlowsAsLastResort(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	for port := 1; port <= 6; port++ {
		playRequest(g, start, port, 500)
	}
	g.FromPeer(start, forward(self), openingPacket(10)) // the trial
	is.Equal(g.FromPeer(start, forward(self), openingPacket(11)).Verdict, Deliver)
	m := forward(other, self)
	m.Position, m.LastRound = 1, true
	is.Equal(g.FromPeer(start, m, openingPacket(12)).Verdict, Deliver)
	m = forward(other, self)
	m.Position, m.LeastLoaded, m.LeastLoad = 1, 1, 640
	a := g.FromPeer(start, m, openingPacket(13))
	is.Equal(a.To, other) // a busy backend server is preferred to a failing one
	is.Equal(a.Message.Type, hop.Forward)
}

// Guards against new flows for a backend server that restarts again and again, here
// every 2 s, and loses its flows each time.
func TestFlappingServerGetsFewNewFlows(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	now := start
	for run := 1; run <= 3; run++ {
		now = now.Add(2 * time.Second)
		_, err := g.Report(now, Report{Instance: "i-1", Started: now, Sequence: 1, State: view.Ready, Slots: 2})
		is.NoErr(err)
		is.Equal(g.Load(now).Refusing, run > 1)
	}
}

// Guards against servers that get almost no new flows in the overload after a power cut,
// because they refuse the requests that a full queue delivers beyond their slots.
func TestRefusalsUnderOverloadAreNoFailures(t *testing.T) {
	for name, c := range map[string]struct {
		beyondSlots int
		kind        errkind.Kind
	}{
		"beyond the slots": {2 * minFailures, 0},
		"within the slots": {0, errkind.BackendFailing},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(t, time.Hour)
			for port := 1; port <= backlogSize+c.beyondSlots; port++ {
				s.arrive(port, feeds)
			}
			delivered := []int{1, 2, 3}
			if c.beyondSlots > 0 {
				delivered = nil
				for _, d := range s.gate.Release(s.now) {
					delivered = append(delivered, int(d.Key.Caller.Port()))
				}
				is.Equal(len(delivered), c.beyondSlots)
			}
			for _, port := range delivered {
				refusal := backendPacket(port, feeds, flow.Ack, 100)
				refusal.Status = unavailableStatus
				s.gate.FromBackend(s.now, refusal)
			}
			is.Equal(s.gate.Refusal(s.now), c.kind)
		})
	}
}
