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
		g.issue(w, r)
		return
	}
	if relayed {
		g.opts.Metrics.RelaysIn.Inc(1)
	} else {
		g.countRequest()
	}
	s, _ := g.opts.Service()
	j := newJob(w, r, s, relayed)
	defer j.end()
	defer g.account(j)
	if err := j.readBody(relayed || j.ticketed()); err != nil {
		g.refuse(j, err)
		return
	}
	if j.ticketed() {
		g.serveTicketed(j)
		return
	}
	resp, err := g.dispatch(j)
	if err != nil {
		g.refuse(j, err)
		return
	}
	g.pass(j, resp)
}

func (g *Gate) countRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests++
	g.budget.Request()
}

// issue answers a request for a ticket.
func (g *Gate) issue(w http.ResponseWriter, r *http.Request) {
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
	t := ticket.Ticket{Issuer: g.opts.Peer, Incarnation: g.opts.Incarnation, Serial: serial, IssuedAt: g.opts.Now()}
	return t.Encode(g.opts.Ring().Signing())
}

// refuse answers with an error.
func (g *Gate) refuse(j *job, err error) {
	err = j.truthful(err)
	g.opts.Log.Failure(event.RequestRefused, err, nil)
	h := j.w.Header()
	a := errorAnswer(h, err)
	g.offerTicket(j, h)
	j.answered(a.Kind)
	j.w.WriteHeader(a.HTTPStatus)
	io.WriteString(j.w, a.Meaning+"\n")
}

// errorAnswer fills the header of an error answer.
func errorAnswer(h http.Header, err error) errkind.Answer {
	a := errkind.Of(err).Answer()
	h.Set(OutcomeHeader, string(a.Outcome))
	h.Set(ErrorHeader, a.Name)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(a.RetryAfter/time.Second)))
	}
	return a
}

// offerTicket adds the ticket for the caller's next request. A relayed
// request's caller gets it from its own agent.
func (g *Gate) offerTicket(j *job, h http.Header) {
	if !j.relayed {
		h.Set(NextTicketHeader, g.newTicket())
	}
}

// answerHeader copies the header of a backend server's or peer's answer. A
// backend server's answer means that the request is done, unless it gave the
// request up at the deadline.
func (g *Gate) answerHeader(j *job, resp *http.Response) {
	removeHopByHop(resp.Header)
	h := j.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if h.Get(OutcomeHeader) == "" {
		h.Set(OutcomeHeader, string(answered(resp)))
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	g.offerTicket(j, h)
}

func answered(resp *http.Response) errkind.Outcome {
	if resp.StatusCode == http.StatusGatewayTimeout {
		return errkind.OutcomeUnknown
	}
	return errkind.OutcomeDone
}

// pass streams an answer. A body that breaks off resets the caller's stream, so
// that no caller takes a part for the whole.
func (g *Gate) pass(j *job, resp *http.Response) {
	g.answerHeader(j, resp)
	g.stream(j, resp)
}

func (g *Gate) stream(j *job, resp *http.Response) {
	defer resp.Body.Close()
	if j.feed {
		j.timer.Stop() // a feed's deadline ends with its header
	}
	j.answered(passedKind(j.w.Header()))
	g.feedOpened(j)
	defer g.feedClosed(j)
	j.w.WriteHeader(resp.StatusCode)
	if err := j.copyBody(resp.Body); err != nil {
		g.cutOff(j, err)
		panic(http.ErrAbortHandler)
	}
}

// copyBuffers saves an allocation of 32 KB for each answer.
var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, 32<<10)
	return &b
}}

func (j *job) copyBody(body io.Reader) error {
	if !j.feed {
		buffer := copyBuffers.Get().(*[]byte)
		defer copyBuffers.Put(buffer)
		_, err := io.CopyBuffer(j.w, body, *buffer)
		return err
	}
	out := http.NewResponseController(j.w)
	buffer := make([]byte, 4<<10)
	for {
		if err := out.Flush(); err != nil {
			return err
		}
		n, err := body.Read(buffer)
		if _, werr := j.w.Write(buffer[:n]); werr != nil {
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
