package flowsteer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

const (
	narrowRate = 1.25e6
	// windowData is the length of the data in each packet of a window.
	windowData = 1200
)

// linkedSteerer returns a steerer of a balancer with the given link rate.
func linkedSteerer(agents int, linkRate float64) *Steerer {
	s := New(self, "a", Options{LinkRate: linkRate})
	s.SetView(testView(agents), view.Confirmations{Members: start})
	return s
}

// dataPacket returns a packet of a flow with data, and its encoding.
func dataPacket(port, number int) (flow.Packet, []byte) {
	p := callerPacket(port, flow.Ack)
	p.Length, p.Seq = windowData, uint32(number*windowData)
	raw := make([]byte, headerLen+windowData)
	raw[0], raw[1] = byte(port), byte(number)
	return p, raw
}

// sendWindow passes a window of 16 packets of a flow to s and returns its decisions.
func sendWindow(s *Steerer, at time.Time, port int) []Action {
	var out []Action
	for number := range 16 {
		p, raw := dataPacket(port, number)
		out = append(out, s.FromCaller(at, p, raw))
	}
	return out
}

// sentBytes returns the bytes of the forwarded packets and queries among actions.
func sentBytes(actions []Action) int {
	n := 0
	for _, a := range forwardActions(actions) {
		packetLen := len(a.Message.Packet)
		if a.Message.Query {
			packetLen = headerLen
		}
		n += hop.ForwardSize(len(a.Message.Candidates), packetLen)
	}
	return n
}

// runLookups runs the timers of s until the given time after start.
func runLookups(s *Steerer, until time.Duration) []Action {
	var out []Action
	for at := time.Duration(0); at <= until; at += 20 * time.Millisecond {
		out = append(out, s.Tick(start.Add(at))...)
	}
	return out
}

// Guards against a link that stays saturated after a burst, because lookups that nobody
// answers repeat whole packets: each unknown flow cost up to 50 kB. A wide balancer sends
// what it sent before.
func TestUnansweredLookupOfNarrowBalancerSendsNoData(t *testing.T) {
	const before = 43_308 // measured at commit f818494
	for rate, want := range map[float64]int{0: before, 12.5e6: before, narrowRate: 5000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			is := is.New(t)
			s := linkedSteerer(37, rate)
			actions := append(sendWindow(s, start, 1), runLookups(s, lookupTimeout)...)
			p, raw := dataPacket(1, 0)
			actions = append(actions, s.FromCaller(start.Add(lookupTimeout), p, raw)) // a retransmission
			sent := sentBytes(actions)
			t.Log(sent, "bytes")
			if rate != narrowRate {
				is.Equal(sent, want)
				return
			}
			is.True(sent <= want)
			for i, a := range forwardActions(actions) {
				is.True(a.Message.Query && a.Message.ReportHolder && a.Message.KnownOnly)
				is.Equal(a.Repeated, i > 0)
			}
		})
	}
}

// Guards against data that passes a narrow link twice when an agent answers, or never: the
// packets that wait, their retransmissions, and the packet that was asked for.
func TestNarrowBalancerForwardsEachPacketOnce(t *testing.T) {
	is := is.New(t)
	s := linkedSteerer(37, narrowRate)
	sendWindow(s, start, 1)
	p, raw := dataPacket(1, 0)
	is.Equal(s.FromCaller(start.Add(200*time.Millisecond), p, raw).Verdict, Keep)
	s.Tick(start.Add(200 * time.Millisecond)) // asks again
	delivered := placed(p, agentAddress(3), hop.Load{})
	delivered.Opening = true
	is.Equal(len(s.Placed(start, delivered)), 0) // another agent may have delivered the opening too
	due := s.Placed(start, placed(p, agentAddress(4), hop.Load{}))
	is.Equal(len(due), 16)
	for number, a := range due {
		_, raw := dataPacket(1, number)
		is.Equal(a.To, agentAddress(4))
		is.Equal(a.Message.Packet, raw)
		is.True(!a.Message.Query && !a.Repeated)
	}
	is.Equal(len(s.Placed(start, placed(p, agentAddress(4), hop.Load{}))), 0) // the answer to the second query
}

// Guards against a packet that only an agent without its flow has got: it was offered there
// while the holder had not answered. The agent that took the offer must not get it twice.
func TestOfferedPacketIsForwardedToAnotherHolder(t *testing.T) {
	for _, byOffer := range []bool{false, true} {
		is := is.New(t)
		s := linkedSteerer(20, narrowRate)
		p, raw := dataPacket(1, 0)
		first := s.FromCaller(start, p, raw)
		offers := s.Declined(start, p, unsureAnswer(first, 0))
		is.Equal(len(offers), 1)
		is.Equal(offers[0].Message.Packet, raw)
		is.True(!offers[0].Message.Query && !offers[0].Repeated)
		holder := first.Message.Candidates[1]
		if byOffer {
			holder = offers[0].To
		}
		due := s.Placed(start, placed(p, holder, hop.Load{}))
		is.Equal(len(due) == 0, byOffer)
		for _, a := range due {
			is.True(a.Message.Offered && a.Repeated) // it must not wait for a slot there
		}
	}
}

// Guards against data that replaces an acknowledgement in a lookup and then is repeated with
// each list.
func TestReplacingPacketIsLookedUpByQuery(t *testing.T) {
	is := is.New(t)
	s := linkedSteerer(20, narrowRate)
	is.True(!s.FromCaller(start, callerPacket(1, flow.Ack), make([]byte, headerLen)).Message.Query) // nothing to save
	s.retryBudget.left = 0
	p, raw := dataPacket(1, 0)
	is.Equal(s.FromCaller(start, p, raw).Verdict, Keep)
	sent := forwardActions(s.Tick(start))
	is.Equal(len(sent), 1) // at once, because its caller has just sent it
	is.True(sent[0].Message.Query && !sent[0].Repeated)
	is.Equal(len(s.Placed(start, placed(p, agentAddress(4), hop.Load{}))), 1)
}

// Guards against flows that are dropped or reset, or never asked for again, because the retry
// budget is empty.
func TestLookupWaitsForRetryBudget(t *testing.T) {
	is := is.New(t)
	s := linkedSteerer(37, 1250) // earns 62 bytes in a second
	p, raw := dataPacket(1, 0)
	s.FromCaller(start, p, raw)
	for _, a := range runLookups(s, lookupTimeout) {
		is.True(a.Verdict == Send && a.Message.Type == hop.Hello)
	}
	is.Equal(s.lookups[p.CallerKey()].retries, 0)
	s.retryBudget = retryBudget{perSecond: 200, left: 200, refilledAt: start.Add(lookupTimeout)}
	likeliest := s.agents.rankForLookup(p.CallerKey().Hash(), s.targets(p.To))[:hop.MaxCandidates]
	sent := forwardActions(s.Tick(start.Add(lookupTimeout)))
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Message.Candidates, likeliest)
	dropped := s.Tick(start.Add(lookupTimeout + time.Millisecond))
	is.True(slices.ContainsFunc(dropped, func(a Action) bool { return a.Verdict == Drop }))
	is.Equal(countResets(dropped), 0)
}

// Guards against openings that fill a narrow link after a burst: each was repeated every
// 80 ms. A copy of the caller must ask a further agent whatever the budget.
func TestNarrowBalancerRepeatsOpeningsRarely(t *testing.T) {
	for _, c := range []struct {
		name     string
		linkRate float64
		repeats  int // in 2 s with copies after 200 ms and 600 ms
	}{{"wide", 0, 23}, {"narrow", narrowRate, 3}, {"without budget", 1250, 0}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := linkedSteerer(37, c.linkRate)
			p := callerPacket(1, flow.Open)
			var repeats int
			var asked []Action
			for at := time.Duration(0); at <= 2*time.Second; at += 20 * time.Millisecond {
				if at == 0 || at == 200*time.Millisecond || at == 600*time.Millisecond {
					asked = append(asked, s.FromCaller(start.Add(at), p, make([]byte, headerLen)))
				}
				for _, a := range forwardActions(s.Tick(start.Add(at))) {
					is.True(a.Repeated)
					repeats++
				}
			}
			is.Equal(repeats, c.repeats)
			for i, a := range asked {
				is.True(!a.Repeated)
				is.True(!slices.ContainsFunc(asked[:i], func(earlier Action) bool { return earlier.To == a.To }))
			}
			runLookups(s, 5*time.Second)
			is.Equal(len(s.openings), 0)
		})
	}
}

// Guards against agents that get a hello with each timer while a lookup or an opening waits for
// the budget: 90 kB in a second for 37 agents, which the budget doesn't limit.
func TestWaitingForRetryBudgetSendsFewHellos(t *testing.T) {
	is := is.New(t)
	s := linkedSteerer(37, 1250)
	p, raw := dataPacket(1, 0)
	s.FromCaller(start, p, raw)
	s.FromCaller(start, callerPacket(2, flow.Open), make([]byte, headerLen))
	hellos := map[netip.AddrPort]int{}
	for at := time.Duration(0); at <= time.Second; at += 20 * time.Millisecond {
		for _, a := range s.Tick(start.Add(at)) {
			hellos[a.To]++
			s.HelloAck(start.Add(at), &hop.Message{Type: hop.HelloAck, Agent: a.To})
		}
	}
	for _, n := range hellos {
		is.True(n <= 4) // 2 by the usual interval, 1 for the opening, 1 for the lookup
	}
}

// Guards against a budget that grows without bounds while a link is idle, and against one
// that answers don't fill.
func TestRetryBudgetIsBounded(t *testing.T) {
	is := is.New(t)
	b := newRetryBudget(Options{LinkRate: narrowRate})
	is.True(b.spend(start, 62_500))
	is.True(!b.spend(start, 1))
	for range 4 {
		b.earnAnswer()
	}
	is.True(b.spend(start, 132)) // one message for four answers
	is.True(!b.spend(start, 1))
	is.True(b.spend(start.Add(100*time.Millisecond), 6_250))
	is.True(!b.spend(start.Add(time.Hour), 62_501))
	is.True(b.spend(start.Add(time.Hour), 62_500))
}

// Guards against a retry budget that stays at a tenth of what the link allows after the
// configured rate turned out to be too low, and against a limit on a link that isn't narrow.
func TestRaisedLinkRateRaisesTheRetryBudget(t *testing.T) {
	is := is.New(t)
	s := New(self, "a", Options{LinkRate: 125_000})
	s.SetLinkRate(1_250_000)
	s.retryBudget.refill(start)
	s.retryBudget.refill(start.Add(time.Second))
	is.Equal(s.RetryBudget(), int64(retryShare*1_250_000))
	s.SetLinkRate(12.5e6)
	is.True(s.retryBudget.spend(start, 1<<30))
}

// Guards against a packet that its holder never gets: the offer to the holder was lost, and the
// caller's retransmission was taken for a packet that is kept and will be sent.
func TestRetransmissionAfterLostOfferIsForwarded(t *testing.T) {
	is := is.New(t)
	s := linkedSteerer(20, narrowRate)
	p, raw := dataPacket(1, 0)
	first := s.FromCaller(start, p, raw)
	offers := s.Declined(start, p, unsureAnswer(first, 0))
	is.Equal(len(offers), 1)
	is.Equal(s.FromCaller(start.Add(200*time.Millisecond), p, raw).Verdict, Keep)
	due := s.Placed(start.Add(210*time.Millisecond), placed(p, offers[0].To, hop.Load{})) // answers the next query
	is.Equal(len(due), 1)
	is.Equal(due[0].Message.Packet, raw)
	is.True(!due[0].Repeated) // the caller has sent it again
}
