package gate

import (
	"bytes"
	"io"
	"net/http"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/ticket"
)

// serveTicketed serves a ticketed request: the ticket's issuer runs it at most
// once; any other agent relays it to the issuer.
func (g *Gate) serveTicketed(req *request) {
	tk, err := ticket.Parse(req.inbound.Header.Get(TicketHeader), g.opts.KeyRing())
	switch {
	case err != nil:
		g.refuse(req, err)
	case tk.Issuer != g.opts.RelayAddress:
		g.relayToIssuer(req, tk)
	case tk.Incarnation != g.opts.Incarnation:
		g.refuse(req, req.issuerGoneError())
	default:
		g.serveOwnTicket(req, tk)
	}
}

// issuerGoneError returns the error for a ticket that no agent may run any more. A
// first attempt has not run. A caller that does not number its attempts may have
// sent an earlier one.
func (req *request) issuerGoneError() error {
	if req.inbound.Header.Get(AttemptHeader) == "1" {
		return errkind.New(errkind.TicketExpired, "the ticket has expired or its issuer is gone")
	}
	return errkind.New(errkind.TicketUnknown, "the ticket has expired or its issuer is gone; an earlier attempt may have run")
}

// withCertainOutcome returns err, or TicketUnknown in place of a not-run error that
// is not certain. An earlier attempt of a ticketed request may still be in
// transit: only the issuer can rule out that it runs, by recording the outcome.
// A first attempt has no earlier one.
func (req *request) withCertainOutcome(err error) error {
	first := req.inbound.Header.Get(AttemptHeader) == "1"
	if !req.isTicketed() || req.outcomeRecorded || first || errkind.Of(err).Definition().Outcome != errkind.OutcomeNotRun {
		return err
	}
	switch errkind.Of(err) {
	case errkind.TicketInvalid, errkind.RequestTooLarge: // holds for every attempt
		return err
	}
	return errkind.Wrap(err, errkind.TicketUnknown, "an earlier attempt may still run")
}

// relayToIssuer relays the request to the ticket's issuer.
func (g *Gate) relayToIssuer(req *request, tk ticket.Ticket) {
	if req.relayed {
		g.refuse(req, errkind.New(errkind.RelayNotPossible, "the ticket's issuer is another agent"))
		return
	}
	r := req.outbound()
	r.Header.Set(TicketHeader, req.inbound.Header.Get(TicketHeader))
	if attempt := req.inbound.Header.Get(AttemptHeader); attempt != "" {
		r.Header.Set(AttemptHeader, attempt)
	}
	resp, err := g.sendToIssuer(req, tk, r)
	if err != nil {
		g.refuse(req, err)
		return
	}
	g.writeAnswer(req, resp)
}

// sendToIssuer relays r to the issuer and returns its answer, also if that is a
// refusal.
func (g *Gate) sendToIssuer(req *request, tk ticket.Ticket, r *http.Request) (*http.Response, error) {
	if err := stateError(g.opts.State()); err != nil {
		return nil, err
	}
	r.Header.Set(RelayedHeader, "1")
	resp, err := g.opts.Peers.Relay(req.ctx, tk.Issuer, r)
	if meansNotRun(err) {
		return nil, req.issuerGoneError()
	}
	if err != nil {
		return nil, req.relayError(err)
	}
	return resp, nil
}

// serveOwnTicket acts as the ticket table says, and waits while another attempt is in
// progress.
func (g *Gate) serveOwnTicket(req *request, tk ticket.Ticket) {
	for {
		g.mu.Lock()
		action, answer, ended := g.tickets.Lookup(tk, g.opts.Now())
		g.mu.Unlock()
		switch action {
		case ticket.Run:
			g.runTicketed(req, tk)
			return
		case ticket.Replay:
			g.replay(req, answer)
			return
		case ticket.AnswerDropped:
			g.refuse(req, errkind.New(errkind.TicketUnknown, "the answer of an earlier attempt is not stored"))
			return
		case ticket.Expired:
			g.refuse(req, req.issuerGoneError())
			return
		case ticket.TableFull:
			g.refuse(req, errkind.New(errkind.BackendFull, "the ticket table is full"))
			return
		}
		select {
		case <-ended:
		case <-req.ctx.Done():
			g.refuse(req, errkind.New(errkind.DeadlineUnknown, "an earlier attempt is in progress"))
			return
		}
	}
}

// runTicketed runs the request and stores its answer for retries. A not-run answer
// completes the ticket as well: it carries a new ticket for the caller.
func (g *Gate) runTicketed(req *request, tk ticket.Ticket) {
	completed := false
	defer func() {
		if !completed {
			g.completeTicket(tk, internalErrorAnswer())
		}
	}()
	resp, err := g.dispatch(req)
	if err != nil {
		completed, req.outcomeRecorded = true, true
		g.completeWithError(tk, err)
		g.refuse(req, err)
		return
	}
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, ticket.MaxAnswerBytes+1))
	if err != nil {
		resp.Body.Close()
		completed, req.outcomeRecorded = true, true
		lostErr := req.brokenAnswerError(err)
		g.completeWithError(tk, lostErr)
		g.refuse(req, lostErr)
		return
	}
	g.copyAnswerHeader(req, resp)
	completed = true
	g.completeTicket(tk, ticket.Answer{Status: resp.StatusCode, Header: replayableHeader(req.w.Header()), Body: prefix})
	resp.Body = joinedBody{io.MultiReader(bytes.NewReader(prefix), resp.Body), resp.Body}
	g.streamAnswer(req, resp)
}

// brokenAnswerError returns the error of an answer that was interrupted: the request
// ran, but its answer is lost.
func (req *request) brokenAnswerError(err error) error {
	if req.ctx.Err() != nil {
		return req.cancelledError(true, err)
	}
	return errkind.Wrap(err, errkind.BackendLost, "the answer was interrupted")
}

// joinedBody is a body of which a prefix has been read; the prefix is read again
// first.
type joinedBody struct {
	io.Reader
	io.Closer
}

func (g *Gate) completeWithError(tk ticket.Ticket, err error) {
	h := http.Header{}
	def := setErrorHeader(h, err)
	g.completeTicket(tk, ticket.Answer{Status: def.HTTPStatus, Header: h, Body: []byte(def.Meaning + "\n")})
}

func internalErrorAnswer() ticket.Answer {
	h := http.Header{}
	def := setErrorHeader(h, errkind.New(errkind.Internal, "the handler ended before the request was completed"))
	return ticket.Answer{Status: def.HTTPStatus, Header: h, Body: []byte(def.Meaning + "\n")}
}

func (g *Gate) completeTicket(tk ticket.Ticket, a ticket.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tickets.Complete(tk, a)
}

// replayableHeader copies a header without the fields that belong to one answer only.
func replayableHeader(h http.Header) http.Header {
	kept := h.Clone()
	kept.Del(NextTicketHeader)
	return kept
}

// replay answers with the stored answer of an earlier attempt.
func (g *Gate) replay(req *request, a ticket.Answer) {
	h := req.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	g.addNextTicket(req, h)
	req.recordAnswer(kindOfAnswer(h))
	req.w.WriteHeader(a.Status)
	req.w.Write(a.Body)
}
