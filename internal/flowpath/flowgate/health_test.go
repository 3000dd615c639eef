package flowgate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// request plays one request on a flow of its own, which the backend server
// answers with a status, resets (status 0) or leaves alone (-1).
func request(g *Gate, now time.Time, port, status int) {
	established(g, now, port, orders)
	g.FromPeer(now, forward(self), data(port, orders, 101, 100))
	p := answers(port, orders, flow.Ack, 200)
	p.Status = status
	switch status {
	case -1:
		return
	case 0:
		p.Flags, p.Length = flow.Reset, 0
	}
	g.FromBackend(now, p)
}

// passedOn reports whether an opening with another candidate left is passed on.
// The server answers it otherwise.
func passedOn(g *Gate, now time.Time, port int) bool {
	a := g.FromPeer(now, forward(self, other), opens(port))
	if a.Verdict == Deliver {
		g.FromBackend(now, answers(port, orders, flow.Open|flow.Ack, 0))
	}
	return a.Verdict == PassOn
}

// The load pattern: a server whose reports are good fails all or two fifths of
// its requests, by errors, resets or silence. Guards against new flows that
// still go there.
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
					request(g, now, port, result)
				}
				if status < 0 {
					now = now.Add(overdueAfter)
				}
				g.Tick(now)
				is.True(g.Load(now).Refusing)
				passed := 0
				for port := range 50 {
					now = now.Add(20 * time.Millisecond)
					if passedOn(g, now, 1000+port) {
						passed++
					}
				}
				is.True(passed >= 47) // in a second
				if status >= 0 {
					// Never none; a server that hangs is busy as well until callers give up.
					is.True(passed < 50)
				}
			})
		}
	}
}

// Guards against a server that is left alone for good after it has recovered.
func TestRecoveredServerGetsAllFlowsAgain(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	now := start
	for port := 1; port <= 6; port++ {
		request(g, now, port, 500)
	}
	is.True(g.Load(now).Refusing)
	for port := 101; port <= 105; port++ {
		now = now.Add(failingTrial)
		is.True(!passedOn(g, now, port+1000)) // a trial
		g.FromPeer(now, forward(self), data(port+1000, orders, 101, 100))
		p := answers(port+1000, orders, flow.Ack, 200)
		p.Status = 200
		g.FromBackend(now, p)
	}
	is.True(!g.Load(now).Refusing)
}

// Guards against single failures that take a server out, and against open flows
// that a failing one loses.
func TestFewFailuresAreBorne(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	now := start
	for port := 1; port <= 60; port++ {
		now = now.Add(20 * time.Millisecond)
		status := 200
		if port%10 == 0 {
			status = 500
		}
		request(g, now, port, status)
	}
	is.True(!g.Load(now).Refusing)
	for port := 201; port <= 206; port++ {
		request(g, now, port, 500)
	}
	is.True(g.Load(now).Refusing)
	is.Equal(g.FromPeer(now, forward(self), data(1, orders, 201, 10)).Verdict, Deliver)
}

// Guards against a flow that nobody takes because all servers fail.
func TestFailingServerTakesWhatNobodyElseTakes(t *testing.T) {
	is := is.New(t)
	g := readyGate(t, false)
	for port := 1; port <= 6; port++ {
		request(g, start, port, 500)
	}
	g.FromPeer(start, forward(self), opens(10)) // the trial
	is.Equal(g.FromPeer(start, forward(self), opens(11)).Verdict, Deliver)
	m := forward(other, self)
	m.Position, m.Final = 1, true
	is.Equal(g.FromPeer(start, m, opens(12)).Verdict, Deliver)
	m = forward(other, self)
	m.Position, m.Best, m.BestLoad = 1, 1, 640
	a := g.FromPeer(start, m, opens(13))
	is.Equal(a.To, other) // a busy server goes before a failing one
	is.Equal(a.Message.Type, hop.Forward)
}

// The load pattern: a server goes down and up every second. Guards against new
// flows that it loses each time.
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
