package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// maxUnusedTickets is the number of unused tickets that a caller keeps.
const maxUnusedTickets = 8

const ticketPath = "/.knapweedpier/ticket"

// orderBody is the body of an order. The answer repeats it.
type orderBody struct {
	ID string `json:"order"`
}

// orderRun is the state of one order while it is placed.
type orderRun struct {
	caller        *caller
	body          orderBody
	attempts      []Attempt
	ticket        string
	ticketsUsed   int           // number of tickets used so far
	ticketAttempt int           // number of the attempt with the current ticket, from 1
	sent          int           // attempts sent, with any ticket
	lostResult    attemptResult // of the last attempt with the current ticket, if its answer was lost
}

// order places one order. If the answer is lost, it retries with the same ticket,
// so that the order cannot run twice. If the answer says that the order did not
// run, it retries with a new ticket.
func (c *caller) order(n int) {
	began := time.Now()
	run := &orderRun{caller: c, body: orderBody{fmt.Sprintf("%d-%s-%d", c.load.opts.Seed, c.id, n)}}
	last := run.place()
	c.recordOutcome(KindOrder, began, last, run.sent)
	order := Order{ID: run.body.ID, Service: c.service.Name, Attempts: run.attempts}
	c.load.recorder.update(func(l *Ledger) { l.Orders = append(l.Orders, order) })
}

// place makes attempts until one gives a final outcome, or no retry is allowed.
func (o *orderRun) place() attemptResult {
	for try := 1; ; try++ {
		r := o.makeAttempt()
		if r.outcome == Done || r.outcome == WrongAnswer || r.outcome == Unknown {
			return r
		}
		if try >= o.caller.load.opts.MaxAttempts || !o.caller.spendRetry() {
			return o.finalResult(r)
		}
		if r.outcome == NotRun {
			o.ticket = ""
		}
		time.Sleep(r.retryDelay())
	}
}

// finalResult returns the result of the order, given that of the last attempt. If
// that could not be sent, an earlier attempt whose answer was lost may still have
// run, so the order counts as lost.
func (o *orderRun) finalResult(r attemptResult) attemptResult {
	if r.outcome != NotSent {
		return r
	}
	if o.lostResult.outcome == Lost {
		return o.lostResult
	}
	return r
}

// makeAttempt makes one attempt, with a new ticket if there is none.
func (o *orderRun) makeAttempt() attemptResult {
	if o.ticket == "" {
		ticket, r := o.caller.takeTicket()
		if ticket == "" {
			return r
		}
		o.ticket, o.ticketAttempt, o.lostResult = ticket, 0, attemptResult{}
		o.ticketsUsed++
	}
	o.ticketAttempt++
	r := o.caller.attempt(o.newPost)
	if r.outcome == NotSent {
		o.ticketAttempt--
		return r
	}
	o.sent++
	if r.outcome == Done && !echoesRequest(r, o.body) {
		r.outcome = WrongAnswer
	}
	o.lostResult = attemptResult{}
	if r.outcome == Lost {
		o.lostResult = r
	}
	o.attempts = append(o.attempts, Attempt{o.ticketsUsed, o.ticketAttempt, r.outcome, time.Now()})
	o.caller.storeNextTicket(r)
	return r
}

func (o *orderRun) newPost(ctx context.Context) (*http.Request, error) {
	body, err := json.Marshal(o.body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, o.caller.url("/orders"), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerTicket, o.ticket)
	req.Header.Set(headerAttempt, strconv.Itoa(o.ticketAttempt))
	return req, nil
}

// takeTicket returns an unused ticket, or requests one. If there is none, it
// returns "" and the result of the order: an order without a ticket is not sent.
func (c *caller) takeTicket() (string, attemptResult) {
	c.mu.Lock()
	if last := len(c.unusedTickets) - 1; last >= 0 {
		ticket := c.unusedTickets[last]
		c.unusedTickets = c.unusedTickets[:last]
		c.mu.Unlock()
		return ticket, attemptResult{}
	}
	c.mu.Unlock()
	c.load.recorder.update(func(l *Ledger) { l.TicketRequests++ })
	r := c.attempt(func(ctx context.Context) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodPost, c.url(ticketPath), nil)
	})
	if ticket := r.header.Get(headerTicket); r.outcome == Done && ticket != "" {
		return ticket, r
	}
	return "", attemptResult{outcome: NotSent, flow: NoFlow}
}

// storeNextTicket stores the ticket for a later order that came with an answer.
func (c *caller) storeNextTicket(r attemptResult) {
	next := r.header.Get(headerNextTicket)
	c.mu.Lock()
	defer c.mu.Unlock()
	if next != "" && len(c.unusedTickets) < maxUnusedTickets {
		c.unusedTickets = append(c.unusedTickets, next)
	}
}
