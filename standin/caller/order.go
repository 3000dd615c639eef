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

// maxTickets bounds the unused tickets that a caller keeps.
const maxTickets = 8

const ticketPath = "/.knapweedpier/ticket"

// orderBody is the body of an order; its answer repeats it.
type orderBody struct {
	ID string `json:"order"`
}

// orderRun is the progress of one order.
type orderRun struct {
	caller   *caller
	body     orderBody
	attempts []Attempt
	ticket   string
	tickets  int // used so far
	attempt  int // with the present ticket
	sent     int
	lost     reply // of the last attempt with the present ticket, if it was lost
}

// order places one order. A lost answer is asked for again with the same
// ticket; an order that was told not to have run may be placed again with a
// new one.
func (c *caller) order(n int) {
	began := time.Now()
	run := &orderRun{caller: c, body: orderBody{fmt.Sprintf("%d-%s-%d", c.load.opt.Seed, c.id, n)}}
	last := run.toEnd()
	c.record(Ordering, began, last, run.sent)
	order := Order{ID: run.body.ID, Service: c.service.Name, Attempts: run.attempts}
	c.load.recorder.update(func(l *Ledger) { l.Orders = append(l.Orders, order) })
}

func (o *orderRun) toEnd() reply {
	for try := 1; ; try++ {
		r := o.next()
		if r.outcome == Done || r.outcome == Wrong || r.outcome == Unknown {
			return r
		}
		if try >= o.caller.load.opt.MaxAttempts || !o.caller.mayRetry() {
			return o.final(r)
		}
		if r.outcome == NotRun {
			o.ticket = ""
		}
		time.Sleep(r.pause())
	}
}

// final turns the last reply into the order's outcome. An attempt that could
// not be sent says nothing about an earlier one that was lost.
func (o *orderRun) final(r reply) reply {
	if r.outcome != NotSent {
		return r
	}
	if o.lost.outcome == Lost {
		return o.lost
	}
	return r
}

// next makes one attempt, with a new ticket if there is none.
func (o *orderRun) next() reply {
	if o.ticket == "" {
		ticket, r := o.caller.takeTicket()
		if ticket == "" {
			return r
		}
		o.ticket, o.attempt, o.lost = ticket, 0, reply{}
		o.tickets++
	}
	o.attempt++
	r := o.caller.attempt(o.post)
	if r.outcome == NotSent {
		o.attempt--
		return r
	}
	o.sent++
	if r.outcome == Done && !repeats(r, o.body) {
		r.outcome = Wrong
	}
	o.lost = reply{}
	if r.outcome == Lost {
		o.lost = r
	}
	o.attempts = append(o.attempts, Attempt{o.tickets, o.attempt, r.outcome, time.Now()})
	o.caller.keepTicket(r)
	return r
}

func (o *orderRun) post(ctx context.Context) (*http.Request, error) {
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
	req.Header.Set(headerAttempt, strconv.Itoa(o.attempt))
	return req, nil
}

// takeTicket returns a kept ticket or asks for one. Without a ticket, the
// reply says why; an order without a ticket was not sent.
func (c *caller) takeTicket() (string, reply) {
	c.mu.Lock()
	if last := len(c.tickets) - 1; last >= 0 {
		ticket := c.tickets[last]
		c.tickets = c.tickets[:last]
		c.mu.Unlock()
		return ticket, reply{}
	}
	c.mu.Unlock()
	c.load.recorder.update(func(l *Ledger) { l.TicketRequests++ })
	r := c.attempt(func(ctx context.Context) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodPost, c.url(ticketPath), nil)
	})
	if ticket := r.header.Get(headerTicket); r.outcome == Done && ticket != "" {
		return ticket, r
	}
	return "", reply{outcome: NotSent, flow: NoFlow}
}

// keepTicket keeps the ticket that came with an answer.
func (c *caller) keepTicket(r reply) {
	next := r.header.Get(headerNextTicket)
	c.mu.Lock()
	defer c.mu.Unlock()
	if next != "" && len(c.tickets) < maxTickets {
		c.tickets = append(c.tickets, next)
	}
}
