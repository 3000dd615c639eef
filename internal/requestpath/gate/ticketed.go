package gate

import (
	"bytes"
	"io"
	"net/http"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/ticket"
)

// serveTicketed runs a ticketed request at most once, or hands it to the
// ticket's issuer.
func (g *Gate) serveTicketed(j *job) {
	k, err := ticket.Parse(j.in.Header.Get(TicketHeader), g.opts.Ring())
	switch {
	case err != nil:
		g.refuse(j, err)
	case k.Issuer != g.opts.Peer:
		g.handOver(j, k)
	case k.Incarnation != g.opts.Incarnation:
		g.refuse(j, j.issuerGone())
	default:
		g.runTicket(j, k)
	}
}

// issuerGone is the answer when nobody may run the ticket any more. It is not
// run if this is the first attempt. A caller that does not number its attempts
// may have sent one before.
func (j *job) issuerGone() error {
	if j.in.Header.Get(AttemptHeader) == "1" {
		return errkind.New(errkind.TicketExpired, "nobody may run this ticket any more")
	}
	return errkind.New(errkind.TicketUnknown, "an earlier attempt may have run")
}

// truthful returns the error that may be told. For a ticketed request, only
// the issuer can say that no attempt runs, by recording it: an earlier attempt
// may still be on its way. A first attempt has no earlier one.
func (j *job) truthful(err error) error {
	first := j.in.Header.Get(AttemptHeader) == "1"
	if !j.ticketed() || j.recorded || first || errkind.Of(err).Answer().Outcome != errkind.OutcomeNotRun {
		return err
	}
	switch errkind.Of(err) {
	case errkind.TicketInvalid, errkind.RequestTooLarge: // true for every attempt
		return err
	}
	return errkind.Wrap(err, errkind.TicketUnknown, "an earlier attempt may run")
}

// handOver passes the request to its issuer.
func (g *Gate) handOver(j *job, k ticket.Ticket) {
	if j.relayed {
		g.refuse(j, errkind.New(errkind.RelayNotPossible, "the ticket's issuer is another agent"))
		return
	}
	r := j.request()
	r.Header.Set(TicketHeader, j.in.Header.Get(TicketHeader))
	if attempt := j.in.Header.Get(AttemptHeader); attempt != "" {
		r.Header.Set(AttemptHeader, attempt)
	}
	resp, err := g.sendToIssuer(j, k, r)
	if err != nil {
		g.refuse(j, err)
		return
	}
	g.pass(j, resp)
}

// sendToIssuer returns the issuer's answer, whatever it is.
func (g *Gate) sendToIssuer(j *job, k ticket.Ticket, r *http.Request) (*http.Response, error) {
	if err := refusal(g.opts.State()); err != nil {
		return nil, err
	}
	r.Header.Set(RelayedHeader, "1")
	resp, err := g.opts.Peers.Relay(j.ctx, k.Issuer, r)
	if errkind.Is(err, errkind.PeerDown) {
		return nil, j.issuerGone()
	}
	if err != nil {
		return nil, j.relayError(err)
	}
	return resp, nil
}

// runTicket decides by the table, and waits while another attempt runs.
func (g *Gate) runTicket(j *job, k ticket.Ticket) {
	for {
		g.mu.Lock()
		action, answer, ended := g.tickets.Lookup(k, g.opts.Now())
		g.mu.Unlock()
		switch action {
		case ticket.Begin:
			g.beginTicket(j, k)
			return
		case ticket.Replay:
			g.replay(j, answer)
			return
		case ticket.Forgot:
			g.refuse(j, errkind.New(errkind.TicketUnknown, "the answer was not kept"))
			return
		case ticket.Expired:
			g.refuse(j, j.issuerGone())
			return
		case ticket.Busy:
			g.refuse(j, errkind.New(errkind.BackendFull, "too many ticketed requests are remembered"))
			return
		}
		select {
		case <-ended:
		case <-j.ctx.Done():
			g.refuse(j, errkind.New(errkind.DeadlineUnknown, "an earlier attempt is in progress"))
			return
		}
	}
}

// beginTicket runs the request and keeps its answer for retries. An answer
// that says not-run uses the ticket up as well: the caller gets a new ticket
// with it.
func (g *Gate) beginTicket(j *job, k ticket.Ticket) {
	ended := false
	defer func() {
		if !ended {
			g.complete(k, unknownAnswer())
		}
	}()
	resp, err := g.dispatch(j)
	if err != nil {
		ended, j.recorded = true, true
		g.completeFailed(k, err)
		g.refuse(j, err)
		return
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, ticket.MaxAnswer+1))
	if err != nil {
		resp.Body.Close()
		ended, j.recorded = true, true
		lost := j.cutAnswer(err)
		g.completeFailed(k, lost)
		g.refuse(j, lost)
		return
	}
	g.answerHeader(j, resp)
	ended = true
	g.complete(k, ticket.Answer{Status: resp.StatusCode, Header: keptHeader(j.w.Header()), Body: head})
	resp.Body = joined{io.MultiReader(bytes.NewReader(head), resp.Body), resp.Body}
	g.stream(j, resp)
}

// cutAnswer is the error of an answer that broke off: the request ran, but its
// answer is lost.
func (j *job) cutAnswer(err error) error {
	if j.ctx.Err() != nil {
		return j.cancelled(true, err)
	}
	return errkind.Wrap(err, errkind.BackendLost, "answer broke off")
}

// joined is a body whose first part has been read.
type joined struct {
	io.Reader
	io.Closer
}

func (g *Gate) completeFailed(k ticket.Ticket, err error) {
	h := http.Header{}
	a := errorAnswer(h, err)
	g.complete(k, ticket.Answer{Status: a.HTTPStatus, Header: h, Body: []byte(a.Meaning + "\n")})
}

func unknownAnswer() ticket.Answer {
	h := http.Header{}
	a := errorAnswer(h, errkind.New(errkind.Internal, "handler ended early"))
	return ticket.Answer{Status: a.HTTPStatus, Header: h, Body: []byte(a.Meaning + "\n")}
}

func (g *Gate) complete(k ticket.Ticket, a ticket.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tickets.Complete(k, a)
}

// keptHeader copies a header without what belongs to one delivery.
func keptHeader(h http.Header) http.Header {
	kept := h.Clone()
	kept.Del(NextTicketHeader)
	return kept
}

// replay answers with a kept answer.
func (g *Gate) replay(j *job, a ticket.Answer) {
	h := j.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	g.offerTicket(j, h)
	j.answered(passedKind(h))
	j.w.WriteHeader(a.Status)
	j.w.Write(a.Body)
}
