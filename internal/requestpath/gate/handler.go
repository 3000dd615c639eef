package gate

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/ticket"
)

// ServeHTTP handles a caller's request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.serve(w, r, false)
}

// RelayHandler returns the handler for requests relayed by peers. They are
// never relayed again.
func (g *Gate) RelayHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(w, r, true) })
}

func (g *Gate) serve(w http.ResponseWriter, r *http.Request, relayed bool) {
	if !relayed && r.URL.Path == TicketPath {
		g.serveTicketIssue(w, r)
		return
	}
	if relayed {
		g.opts.Metrics.RelaysIn.Inc(1)
	} else {
		g.countRequest()
	}
	s, _ := g.opts.Service()
	req := newRequest(w, r, s, relayed)
	defer req.end()
	defer g.countOutcome(req)
	if err := req.readBody(relayed || req.isTicketed()); err != nil {
		g.refuse(req, err)
		return
	}
	if req.isTicketed() {
		g.serveTicketed(req)
		return
	}
	resp, err := g.dispatch(req)
	if err != nil {
		g.refuse(req, err)
		return
	}
	g.writeAnswer(req, resp)
}

func (g *Gate) countRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests++
	g.budget.RecordRequest()
}

// serveTicketIssue issues a ticket to a caller.
func (g *Gate) serveTicketIssue(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		w.Header().Set(OutcomeHeader, string(errkind.OutcomeNotRun))
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set(TicketHeader, g.newTicket())
	w.Header().Set(OutcomeHeader, string(errkind.OutcomeDone))
	w.WriteHeader(http.StatusNoContent)
}

func (g *Gate) newTicket() string {
	g.mu.Lock()
	serial := g.tickets.NextSerial()
	g.mu.Unlock()
	t := ticket.Ticket{Issuer: g.opts.RelayAddress, Incarnation: g.opts.Incarnation, Serial: serial, IssuedAt: g.opts.Now()}
	return t.Encode(g.opts.KeyRing().SigningKey())
}

// refuse answers with the error err.
func (g *Gate) refuse(req *request, err error) {
	err = req.withCertainOutcome(err)
	g.opts.Log.EmitError(event.RequestRefused, err, nil)
	h := req.w.Header()
	def := setErrorHeader(h, err)
	g.addNextTicket(req, h)
	req.recordAnswer(def.Kind)
	req.w.WriteHeader(def.HTTPStatus)
	io.WriteString(req.w, def.Meaning+"\n")
}

// setErrorHeader sets the header of an error answer and returns the definition of
// err's kind.
func setErrorHeader(h http.Header, err error) errkind.Definition {
	def := errkind.Of(err).Definition()
	h.Set(OutcomeHeader, string(def.Outcome))
	h.Set(ErrorHeader, def.Name)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if def.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(def.RetryAfter/time.Second)))
	}
	return def
}

// addNextTicket adds a ticket for the caller's next request. For a relayed
// request, the agent that relayed it adds the ticket.
func (g *Gate) addNextTicket(req *request, h http.Header) {
	if !req.relayed {
		h.Set(NextTicketHeader, g.newTicket())
	}
}

// copyAnswerHeader copies the header of a backend server's or peer's answer and
// adds the outcome and the next ticket.
func (g *Gate) copyAnswerHeader(req *request, resp *http.Response) {
	removeHopByHop(resp.Header)
	h := req.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if h.Get(OutcomeHeader) == "" {
		h.Set(OutcomeHeader, string(outcomeOf(resp)))
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	g.addNextTicket(req, h)
}

// outcomeOf returns the outcome of a backend server's answer. The request is done,
// unless the backend server timed out at the deadline.
func outcomeOf(resp *http.Response) errkind.Outcome {
	if resp.StatusCode == http.StatusGatewayTimeout {
		return errkind.OutcomeUnknown
	}
	return errkind.OutcomeDone
}

// writeAnswer streams an answer to the caller. An interrupted body resets the
// caller's stream, so that the caller does not take it for complete.
func (g *Gate) writeAnswer(req *request, resp *http.Response) {
	g.copyAnswerHeader(req, resp)
	g.streamAnswer(req, resp)
}

func (g *Gate) streamAnswer(req *request, resp *http.Response) {
	defer resp.Body.Close()
	if req.feed {
		req.deadlineTimer.Stop() // the deadline of a feed covers only its header
	}
	req.recordAnswer(kindOfAnswer(req.w.Header()))
	g.countFeedOpened(req)
	defer g.countFeedClosed(req)
	req.w.WriteHeader(resp.StatusCode)
	if err := req.copyBody(resp.Body); err != nil {
		g.recordBrokenAnswer(req, err)
		panic(http.ErrAbortHandler)
	}
}

// copyBuffers saves an allocation of 32 KiB per answer.
var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, 32<<10)
	return &b
}}

func (req *request) copyBody(body io.Reader) error {
	if !req.feed {
		buffer := copyBuffers.Get().(*[]byte)
		defer copyBuffers.Put(buffer)
		_, err := io.CopyBuffer(req.w, body, *buffer)
		return err
	}
	out := http.NewResponseController(req.w)
	buffer := make([]byte, 4<<10)
	for {
		if err := out.Flush(); err != nil {
			return err
		}
		n, err := body.Read(buffer)
		if _, werr := req.w.Write(buffer[:n]); werr != nil {
			return werr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
