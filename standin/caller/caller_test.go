package caller

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

func countOutcomes(l Ledger) map[Outcome]int {
	counts := map[Outcome]int{}
	for _, r := range l.Requests {
		counts[r.Outcome]++
	}
	return counts
}

func brokenFlowsByReason(l Ledger) map[Reason]int {
	counts := map[Reason]int{}
	for _, f := range l.Flows {
		if len(f.Breaks()) > 0 {
			counts[f.Reason]++
		}
	}
	return counts
}

// answeredFlows returns the number of flows with an answer.
func answeredFlows(flows []Flow) int {
	return countFlows(flows, func(f Flow) bool { return f.Answers > 0 })
}

// followedFeeds returns the number of flows whose first feed has had a line.
func followedFeeds(flows []Flow) int {
	return countFlows(flows, func(f Flow) bool { return len(f.Feeds) > 0 && f.Feeds[0].Lines > 0 })
}

// endedFlows returns the number of flows that have ended with all their feeds.
func endedFlows(flows []Flow) int {
	return countFlows(flows, func(f Flow) bool {
		isOpen := func(feed *Feed) bool { return feed.Reason == NotEnded }
		return f.Reason != NotEnded && !slices.ContainsFunc(f.Feeds, isOpen)
	})
}

func countFlows(flows []Flow, ok func(Flow) bool) int {
	n := 0
	for _, f := range flows {
		if ok(f) {
			n++
		}
	}
	return n
}

// Guards against failures that the callers themselves cause: while the server is
// healthy and one of two relays is removed, each request must be answered on the
// first attempt and no flow may break.
func TestHealthyPath(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.serve()
	l := s.load("gel", 800*time.Millisecond, 0.3)
	time.Sleep(400 * time.Millisecond)
	s.fabric.Remove("a")
	l.Wait()
	got := l.Ledger()
	is.True(len(got.Requests) > 80)
	is.Equal(countOutcomes(got), map[Outcome]int{Done: len(got.Requests)})
	is.Equal(got.WrongAnswers, 0)
	is.Equal(len(got.Flows), 4)
	is.Equal(len(brokenFlowsByReason(got)), 0)
	is.Equal(got.Flows[0].Reason, CallerClosed)
	for _, o := range got.Orders {
		is.Equal(len(o.Attempts), 1)
		is.Equal(s.runs[o.ID], 1)
	}
	is.True(len(got.Orders) > 10)
	is.True(got.TicketRequests < len(got.Orders)) // tickets that came with answers are used
	for _, b := range s.fabric.Ledger().Balancers {
		is.True(b.Forwarded > 50)
	}
}

// Guards against new requests on a flow after a GOAWAY, against abandoning the
// feed that continues on it, and against counting the later end of that flow as
// broken.
func TestGoAway(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	first := s.serve()
	l := s.load("gel", 1200*time.Millisecond, 0.3)
	time.Sleep(300 * time.Millisecond)
	s.serve()
	done := make(chan error, 1)
	go func() { done <- first.Shutdown(t.Context()) }()
	time.Sleep(400 * time.Millisecond)
	mid := l.Ledger()
	s.endFeeds()
	is.NoErr(<-done)
	l.Close()
	open := 0
	for _, f := range mid.Flows[:4] {
		is.True(f.GoAway || f.Reason == Graceful)
		if len(f.Feeds) == 1 && f.Feeds[0].Reason == NotEnded && f.Feeds[0].Lines > 20 {
			open++
		}
	}
	is.Equal(open, 2)
	is.Equal(len(mid.Flows), 8)
	got := l.Ledger()
	is.Equal(countOutcomes(got), map[Outcome]int{Done: len(got.Requests)})
	for _, f := range got.Flows[:4] {
		is.Equal(f.Reason, Graceful)
		is.Equal(len(f.Breaks()), 0)
	}
}

// Guards against recording the end of a feed without a GOAWAY as graceful.
func TestFeedEndWithoutGoAwayIsBreak(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.serve()
	l := s.load("gel", 900*time.Millisecond, 0)
	time.Sleep(200 * time.Millisecond)
	s.endFeeds()
	l.Wait()
	got := l.Ledger()
	is.Equal(brokenFlowsByReason(got), map[Reason]int{CallerClosed: 2})
	is.Equal(len(got.Flows), 4)
	for _, f := range got.Flows {
		if len(f.Feeds) > 0 {
			is.Equal(f.Feeds[0].Reason, FeedEnded)
			is.Equal(f.Feeds[1].Reason, CallerClosed)
		}
	}
}

// Guards against missing broken flows when the far end closes the connection:
// with an error code (all 4 flows break), or without one while a feed is in
// progress (the 2 flows with a feed break).
func TestClosedFlowsAreBroken(t *testing.T) {
	for code, broken := range map[quic.ApplicationErrorCode]int{7: 4, noError: 2} {
		t.Run(fmt.Sprintf("code %#x", uint64(code)), func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			closeConns := s.serveClosable()
			l := s.load("gel", closedLater, 0)
			// A flow without an answer can't break, and a close before the end of its
			// handshake reaches the caller as a transport error.
			s.waitForLedger(l, "answers on 4 flows and lines of 2 feeds", func(l Ledger) bool {
				return answeredFlows(l.Flows) == 4 && followedFeeds(l.Flows) == 2
			})
			closeConns(code)
			s.waitForLedger(l, "end of the 4 flows and answers on their successors", func(l Ledger) bool {
				return len(l.Flows) >= 8 && endedFlows(l.Flows[:4]) == 4 && answeredFlows(l.Flows[4:]) >= 4 && countOutcomes(l)[Done] > 60
			})
			l.Close()
			got := l.Ledger()
			is.True(brokenFlowsByReason(got)[ApplicationError] >= broken)
			feeds := 0
			for _, f := range got.Flows[:4] {
				for _, feed := range f.Feeds {
					feeds++
					is.Equal(feed.Reason, FeedCut)
					is.Equal(f.Reason, ApplicationError)
				}
			}
			is.Equal(feeds, 2)
			is.True(countOutcomes(got)[Done] > 60)
		})
	}
}

// Guards against a flow that counts as gracefully closed although its close cut
// off a feed: the reader of the feed learns of the close before the flow does.
func TestEachCutFeedBreaksItsFlow(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	closeConns := s.serveClosable()
	const callers = 48
	service := ServiceLoad{Name: "gel", Address: s.addr, Callers: callers, Feeds: callers}
	l := s.start(service, closedLater)
	s.waitForLedger(l, "lines of all feeds", func(l Ledger) bool { return followedFeeds(l.Flows) == callers })
	// A flow whose handshake failed on a busy machine has no feed; its successor has.
	opened := len(l.Ledger().Flows)
	closeConns(noError)
	s.waitForLedger(l, "end of the flows", func(l Ledger) bool { return endedFlows(l.Flows[:opened]) == opened })
	l.Close()
	cut := 0
	for _, f := range l.Ledger().Flows[:opened] {
		for _, feed := range f.Feeds {
			cut++
			is.Equal(feed.Reason, FeedCut)
			is.Equal(f.Reason, ApplicationError)
		}
	}
	is.Equal(cut, callers)
}

// Guards against orders that run twice. After a lost answer, the retry must use
// the same ticket with a higher attempt number on another flow; an order that did
// not run must be retried with a new ticket. Also guards against more retries than
// the budget allows.
func TestOrderRetries(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	type try struct{ ticket, attempt, from string }
	tries := map[string][]try{}
	s.order = func(w http.ResponseWriter, r *http.Request, id string) {
		s.mu.Lock()
		seen := append(tries[id], try{r.Header.Get(headerTicket), r.Header.Get(headerAttempt), r.RemoteAddr})
		tries[id] = seen
		orders := len(tries)
		s.mu.Unlock()
		switch {
		case len(seen) > 1:
			s.runOrder(w, r, id)
		case orders%2 == 0:
			panic(http.ErrAbortHandler)
		default:
			w.Header().Set(headerOutcome, string(errkind.OutcomeNotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	s.serve()
	l := s.load("gel", 400*time.Millisecond, 1)
	l.Wait()
	got, retried := l.Ledger(), 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range got.Orders {
		seen := tries[o.ID]
		is.Equal(len(seen), len(o.Attempts))
		if len(seen) < 2 {
			continue
		}
		retried++
		lost := o.Attempts[0].Outcome == Lost
		is.Equal(lost, seen[0].ticket == seen[1].ticket)
		is.Equal(lost, seen[1].attempt == "2")
		is.True(!lost || seen[0].from != seen[1].from)
		is.Equal(o.Attempts[1].Outcome, Done)
	}
	is.True(retried >= initialRetries && retried <= initialRetries+len(got.Requests)/10+1)
	is.True(got.RetriesDenied > 0)
}

// Guards against a dial for each request that waited for an earlier dial: when
// handshakes take longer than requests, these dials add load and never succeed.
func TestRequestsShareDial(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	silent := s.listen()
	const requestTimeout, duration = 100 * time.Millisecond, 2 * time.Second
	l, err := New(Options{
		Services: []ServiceLoad{{Name: "a", Address: silent.LocalAddr().(*net.UDPAddr).AddrPort(), Callers: 1, Rate: 50}},
		Seed:     5, Duration: duration, TLS: s.tls, RequestTimeout: requestTimeout,
	})
	is.NoErr(err)
	l.Start(t.Context())
	l.Wait()
	got := l.Ledger()
	is.Equal(countOutcomes(got), map[Outcome]int{NotSent: len(got.Requests)})
	is.True(len(got.Requests) > 50)
	const maxDials = int(duration/(requestTimeout+answerGrace)) + 2 // one may start at each end
	is.True(got.DialFailures > 1 && got.DialFailures <= maxDials)
	for _, r := range got.Requests {
		is.True(r.Latency < duration)
	}
}

// Guards against accepting an answer to another request.
func TestWrongAnswers(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.serve()
	l := s.load("mismatch", 300*time.Millisecond, 0)
	l.Wait()
	got := l.Ledger()
	is.True(got.WrongAnswers > 5)
	is.Equal(countOutcomes(got)[WrongAnswer], got.WrongAnswers)
}

// Guards against options that exceed the bounds of a load, or lack TLS settings.
func TestInvalidOptionsAreRejected(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	good := ServiceLoad{Name: "a", Address: s.addr, Callers: 1, Rate: 1}
	for _, change := range []func(*Options){
		func(o *Options) { o.Duration = MaxDuration + 1 },
		func(o *Options) { o.Services[0].Callers = MaxCallers + 1 },
		func(o *Options) { o.Services[0].Rate = MaxRate + 1 },
		func(o *Options) { o.Services[0].Feeds = 2 },
		func(o *Options) { o.TLS = nil },
	} {
		opts := Options{Services: []ServiceLoad{good}, Duration: time.Second, TLS: s.tls}
		change(&opts)
		_, err := New(opts)
		is.True(errkind.Is(err, errkind.SettingInvalid))
	}
}
