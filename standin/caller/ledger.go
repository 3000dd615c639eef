package caller

import (
	"slices"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Outcome is what a caller knows about one request or attempt.
type Outcome string

// The outcomes. Lost and NotSent are the caller's own observations; the others
// are told by an answer.
const (
	Done    = Outcome(errkind.OutcomeDone)
	NotRun  = Outcome(errkind.OutcomeNotRun)
	Unknown = Outcome(errkind.OutcomeUnknown)
	Lost    = Outcome("lost")     // sent, and no complete answer came
	NotSent = Outcome("not-sent") // no flow took the request
	Wrong   = Outcome("wrong")    // an answer to something else
)

// Kind says what a request is for.
type Kind string

// The kinds of requests.
const (
	Catalogue Kind = "catalogue" // short and idempotent
	Ordering  Kind = "order"     // not idempotent
	Feeding   Kind = "feed"      // opens a long feed
)

// Request is one request with its final outcome.
type Request struct {
	Kind     Kind          `json:"kind"`
	Service  string        `json:"service"`
	At       time.Time     `json:"at"`
	Latency  time.Duration `json:"latency"` // nanoseconds until the final outcome
	Outcome  Outcome       `json:"outcome"`
	Attempts int           `json:"attempts"` // times it was sent
	Backend  string        `json:"backend,omitempty"`
	Domain   string        `json:"domain,omitempty"`
	Flow     int           `json:"flow"` // of the last attempt, NoFlow if it was not sent
}

// NoFlow is the flow of a request that was not sent.
const NoFlow = -1

// Attempt is one attempt of an order with the outcome that its caller was told.
type Attempt struct {
	Ticket  int       `json:"ticket"` // counts the tickets used for this order, from 1
	Attempt int       `json:"attempt"`
	Outcome Outcome   `json:"outcome"`
	At      time.Time `json:"at"`
}

// Order is one order with everything its caller was told, in order.
type Order struct {
	ID       string    `json:"id"`
	Service  string    `json:"service"`
	Attempts []Attempt `json:"attempts"`
}

// Reason says how a flow or feed ended.
type Reason string

// The reasons. The ones from Application on break a flow.
const (
	Open            Reason = ""                  // not ended
	CallerClosed    Reason = "caller-closed"     // by this load
	Graceful        Reason = "graceful"          // after a GOAWAY, nothing cut off
	Application     Reason = "application-error" // closed by the far end
	IdleTimeout     Reason = "idle-timeout"
	StatelessReset  Reason = "stateless-reset"
	TransportFailed Reason = "transport-error"
	FeedEnded       Reason = "feed-ended" // complete answer, without a GOAWAY
	FeedCut         Reason = "feed-cut"   // incomplete answer
	FeedSilent      Reason = "feed-silent"
)

func (r Reason) breaks() bool {
	return r != Open && r != CallerClosed && r != Graceful
}

// Feed is the feed on a flow.
type Feed struct {
	OpenedAt time.Time     `json:"opened_at"`
	EndedAt  time.Time     `json:"ended_at"`
	Reason   Reason        `json:"reason"`
	Lines    int           `json:"lines"`
	MaxGap   time.Duration `json:"max_gap"` // nanoseconds between two lines
}

// Flow is one QUIC connection. Backend and Domain are those of the last
// answer.
type Flow struct {
	ID       int       `json:"id"`
	Caller   string    `json:"caller"`
	Service  string    `json:"service"`
	OpenedAt time.Time `json:"opened_at"`
	EndedAt  time.Time `json:"ended_at"`
	Reason   Reason    `json:"reason"`
	Detail   string    `json:"detail,omitempty"` // error text of the end
	Backend  string    `json:"backend,omitempty"`
	Domain   string    `json:"domain,omitempty"`
	GoAway   bool      `json:"go_away"`
	Answers  int       `json:"answers"`
	Feeds    []*Feed   `json:"feeds,omitempty"`
}

// Breaks returns the times at which the flow's feeds were broken, or the flow
// itself if no feed was. A flow that never carried an answer was not
// established and has none.
func (f Flow) Breaks() []time.Time {
	if f.Answers == 0 {
		return nil
	}
	var times []time.Time
	for _, feed := range f.Feeds {
		if feed.Reason.breaks() {
			times = append(times, feed.EndedAt)
		}
	}
	if len(times) == 0 && f.Reason.breaks() {
		times = append(times, f.EndedAt)
	}
	return times
}

// Ledger is what all callers of a load saw.
type Ledger struct {
	Requests       []Request `json:"requests"`
	Orders         []Order   `json:"orders"`
	Flows          []Flow    `json:"flows"`
	WrongAnswers   int       `json:"wrong_answers"`
	DialFailures   int       `json:"dial_failures"`
	TicketRequests int       `json:"ticket_requests"`
	RetriesSpared  int       `json:"retries_spared"` // not made because the budget was spent
	Overruns       int       `json:"overruns"`       // not sent because the caller had too many in flight
}

// recorder is the ledger while callers write it.
type recorder struct {
	mu       sync.Mutex
	ledger   Ledger
	answered int
}

func (b *recorder) update(change func(*Ledger)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.ledger)
}

func (b *recorder) request(r Request) {
	b.update(func(l *Ledger) {
		l.Requests = append(l.Requests, r)
		if r.Outcome == Done {
			b.answered++
		}
	})
}

func (b *recorder) openFlow(caller, service string) (id int) {
	b.update(func(l *Ledger) {
		id = len(l.Flows)
		l.Flows = append(l.Flows, Flow{ID: id, Caller: caller, Service: service, OpenedAt: time.Now()})
	})
	return id
}

func (b *recorder) flow(id int, change func(*Flow)) {
	b.update(func(l *Ledger) { change(&l.Flows[id]) })
}

// copy returns a ledger that shares nothing with the recorder.
func (b *recorder) copy() Ledger {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.ledger
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
