package caller

import (
	"slices"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Outcome is the outcome of one request or attempt, as far as its caller knows.
type Outcome string

// Done, NotRun and Unknown are reported by an answer; the caller determines the
// others itself.
const (
	Done        = Outcome(errkind.OutcomeDone)
	NotRun      = Outcome(errkind.OutcomeNotRun)
	Unknown     = Outcome(errkind.OutcomeUnknown)
	Lost        = Outcome("lost")     // sent, but no complete answer arrived
	NotSent     = Outcome("not-sent") // no flow accepted the request
	WrongAnswer = Outcome("wrong")    // the answer belongs to another request
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	KindCatalogue Kind = "catalogue" // short and idempotent
	KindOrder     Kind = "order"     // not idempotent
	KindFeed      Kind = "feed"      // opens a long feed
)

// Request is one request with its final outcome.
type Request struct {
	Kind     Kind          `json:"kind"`
	Service  string        `json:"service"`
	At       time.Time     `json:"at"`
	Latency  time.Duration `json:"latency"` // nanoseconds until the final outcome
	Outcome  Outcome       `json:"outcome"`
	Attempts int           `json:"attempts"` // number of times it was sent
	Backend  string        `json:"backend,omitempty"`
	Domain   string        `json:"domain,omitempty"`
	Flow     int           `json:"flow"` // ID of the flow of the last attempt; NoFlow if it was not sent
}

// NoFlow is the flow ID of a request that was not sent.
const NoFlow = -1

// Attempt is one attempt of an order with the outcome that its caller observed.
type Attempt struct {
	Ticket  int       `json:"ticket"`  // number of the ticket among those used for this order, from 1
	Attempt int       `json:"attempt"` // number of the attempt with this ticket, from 1
	Outcome Outcome   `json:"outcome"`
	At      time.Time `json:"at"`
}

// Order is one order with all its attempts, in order.
type Order struct {
	ID       string    `json:"id"`
	Service  string    `json:"service"`
	Attempts []Attempt `json:"attempts"`
}

// Reason is how a flow or feed ended.
type Reason string

// Reasons from ApplicationError on count as breaks.
const (
	NotEnded         Reason = ""
	CallerClosed     Reason = "caller-closed"     // closed by its caller
	Graceful         Reason = "graceful"          // after a GOAWAY, with no request or feed interrupted
	ApplicationError Reason = "application-error" // closed with an error code, or by the far end with requests or feeds in progress
	IdleTimeout      Reason = "idle-timeout"
	StatelessReset   Reason = "stateless-reset"
	TransportError   Reason = "transport-error"
	FeedEnded        Reason = "feed-ended"  // the far end completed the answer without a GOAWAY
	FeedCut          Reason = "feed-cut"    // the answer ended incomplete
	FeedSilent       Reason = "feed-silent" // no line for maxFeedSilence
)

func (r Reason) isBreak() bool {
	return r != NotEnded && r != CallerClosed && r != Graceful
}

// Feed is one feed on a flow.
type Feed struct {
	OpenedAt time.Time     `json:"opened_at"`
	EndedAt  time.Time     `json:"ended_at"`
	Reason   Reason        `json:"reason"`
	Lines    int           `json:"lines"`
	MaxGap   time.Duration `json:"max_gap"` // longest time between two lines, in nanoseconds
}

// Flow is one QUIC connection. Backend and Domain are taken from its last answer. The
// Domain of a flow without an answer is the one that the far end named as out when it
// closed the flow, if it did.
type Flow struct {
	ID       int       `json:"id"`
	Caller   string    `json:"caller"`
	Service  string    `json:"service"`
	OpenedAt time.Time `json:"opened_at"`
	EndedAt  time.Time `json:"ended_at"`
	Reason   Reason    `json:"reason"`
	Detail   string    `json:"detail,omitempty"` // error text, if the flow broke
	Backend  string    `json:"backend,omitempty"`
	Domain   string    `json:"domain,omitempty"`
	GoAway   bool      `json:"go_away"`
	Answers  int       `json:"answers"`
	Feeds    []*Feed   `json:"feeds,omitempty"`
}

// Breaks returns the times at which feeds of the flow broke, or the flow itself
// if none of its feeds did. A flow without any answer counts as never established
// and has no breaks.
func (f Flow) Breaks() []time.Time {
	if f.Answers == 0 {
		return nil
	}
	var times []time.Time
	for _, feed := range f.Feeds {
		if feed.Reason.isBreak() {
			times = append(times, feed.EndedAt)
		}
	}
	if len(times) == 0 && f.Reason.isBreak() {
		times = append(times, f.EndedAt)
	}
	return times
}

// Ledger is the record of everything that the callers of a load observed.
type Ledger struct {
	Requests       []Request `json:"requests"`
	Orders         []Order   `json:"orders"`
	Flows          []Flow    `json:"flows"`
	WrongAnswers   int       `json:"wrong_answers"`
	DialFailures   int       `json:"dial_failures"`
	TicketRequests int       `json:"ticket_requests"`
	RetriesDenied  int       `json:"retries_spared"` // retries not made because the retry budget was exhausted
	Overruns       int       `json:"overruns"`       // requests not sent because maxInFlight of their caller were in progress
}

// recorder holds the ledger while callers write to it.
type recorder struct {
	mu       sync.Mutex
	ledger   Ledger
	answered int // requests with outcome Done
}

func (rec *recorder) update(change func(*Ledger)) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	change(&rec.ledger)
}

func (rec *recorder) recordRequest(r Request) {
	rec.update(func(l *Ledger) {
		l.Requests = append(l.Requests, r)
		if r.Outcome == Done {
			rec.answered++
		}
	})
}

func (rec *recorder) recordFlow(caller, service string) (id int) {
	rec.update(func(l *Ledger) {
		id = len(l.Flows)
		l.Flows = append(l.Flows, Flow{ID: id, Caller: caller, Service: service, OpenedAt: time.Now()})
	})
	return id
}

func (rec *recorder) updateFlow(id int, change func(*Flow)) {
	rec.update(func(l *Ledger) { change(&l.Flows[id]) })
}

// snapshot returns a copy of the ledger that callers no longer change.
func (rec *recorder) snapshot() Ledger {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	l := rec.ledger
	l.Requests = slices.Clone(l.Requests)
	l.Orders = slices.Clone(l.Orders)
	l.Flows = slices.Clone(l.Flows)
	for i, f := range l.Flows {
		l.Flows[i].Feeds = make([]*Feed, len(f.Feeds))
		for j, feed := range f.Feeds {
			clone := *feed
			l.Flows[i].Feeds[j] = &clone
		}
	}
	return l
}
