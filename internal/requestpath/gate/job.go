package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Headers between callers, agents and backend servers.
const (
	OutcomeHeader    = "Knapweedpier-Outcome"
	ErrorHeader      = "Knapweedpier-Error" // name of the error kind
	TimeoutHeader    = "Knapweedpier-Timeout-Ms"
	TicketHeader     = "Knapweedpier-Ticket"
	NextTicketHeader = "Knapweedpier-Next-Ticket"
	AttemptHeader    = "Knapweedpier-Attempt"
	RelayedHeader    = "Knapweedpier-Relayed"
)

// TicketPath is where callers ask for a ticket, with POST.
const TicketPath = "/.knapweedpier/ticket"

const (
	// maxKeptBody bounds the body of a ticketed or relayed request, in bytes.
	maxKeptBody = 1 << 20
	// maxEagerBody is the size up to which every body is read before a slot is
	// taken, so that a slow caller holds no slot, in bytes.
	maxEagerBody = 64 << 10
)

var errDeadline = errors.New("deadline passed")

// job is one request on its way through the gate.
type job struct {
	ctx      context.Context
	stop     context.CancelCauseFunc
	timer    *time.Timer
	deadline time.Time
	in       *http.Request
	w        http.ResponseWriter
	relayed  bool // came from a peer
	feed     bool
	body     []byte
	rest     io.Reader // unread part of a body that is not kept whole
	consumed bool      // rest was handed to an attempt

	tried      []netip.AddrPort // peers that were asked
	waitEnd    time.Time        // of waiting for a slot
	mayHaveRun error            // the first failure after which the request may have run
	recorded   bool             // the ticket's table holds the outcome

	began   time.Time
	latency time.Duration // until the answer's header
	kind    errkind.Kind  // 0: answered by a backend server
	ended   bool          // counted already
}

// newJob reads the deadline. A ticketed request continues when its caller
// leaves, so that the caller's retry gets the answer.
func newJob(w http.ResponseWriter, r *http.Request, s config.Service, relayed bool) *job {
	j := &job{in: r, w: w, relayed: relayed, feed: isFeed(r, s), kind: errkind.Internal}
	parent := r.Context()
	if j.ticketed() {
		parent = context.WithoutCancel(parent)
	}
	j.ctx, j.stop = context.WithCancelCause(parent)
	timeout := requestTimeout(r, s)
	j.began = time.Now()
	j.deadline = j.began.Add(timeout)
	j.timer = time.AfterFunc(timeout, func() { j.stop(errDeadline) })
	return j
}

func (j *job) end() {
	j.timer.Stop()
	j.stop(nil)
}

func (j *job) ticketed() bool { return !j.feed && j.in.Header.Get(TicketHeader) != "" }

func isFeed(r *http.Request, s config.Service) bool {
	return r.Method == http.MethodGet && slices.ContainsFunc(s.FeedPaths, func(prefix string) bool {
		return strings.HasPrefix(r.URL.Path, prefix)
	})
}

func requestTimeout(r *http.Request, s config.Service) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(TimeoutHeader), 10, 32)
	if err != nil || ms < 0 {
		return s.RequestTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

// idempotent reports whether the request may be sent again after it may have
// run.
func (j *job) idempotent() bool {
	switch j.in.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// replayable reports whether the body can be sent again.
func (j *job) replayable() bool { return !j.consumed }

// readBody reads the body up to maxEagerBody, or whole if it must be kept.
func (j *job) readBody(keepWhole bool) error {
	if j.in.Body == nil || j.in.Body == http.NoBody || j.in.ContentLength == 0 {
		return nil
	}
	limit := int64(maxEagerBody)
	if keepWhole {
		limit = maxKeptBody
	}
	out := http.NewResponseController(j.w)
	out.SetReadDeadline(j.deadline) // unsupported writers fall back to the caller's own timeout
	defer out.SetReadDeadline(time.Time{})
	var err error
	j.body, err = io.ReadAll(io.LimitReader(j.in.Body, limit+1))
	switch {
	case err != nil && !time.Now().Before(j.deadline):
		return errkind.Wrap(err, errkind.DeadlineNotRun, "read the request body")
	case err != nil:
		return errkind.Wrap(err, errkind.CallerCancelled, "read the request body")
	case int64(len(j.body)) <= limit:
		return nil
	case keepWhole:
		return errkind.Errorf(errkind.RequestTooLarge, "body is larger than %d bytes", limit)
	}
	j.rest = j.in.Body
	return nil
}

// keepBody makes the body complete, for a request that is to be relayed.
func (j *job) keepBody() error {
	if j.rest == nil {
		return nil
	}
	more, err := io.ReadAll(io.LimitReader(j.rest, maxKeptBody+1-int64(len(j.body))))
	j.body = append(j.body, more...)
	if err != nil {
		return errkind.Wrap(err, errkind.CallerCancelled, "read the request body")
	}
	if len(j.body) > maxKeptBody {
		return errkind.Errorf(errkind.RequestTooLarge, "body is larger than %d bytes", maxKeptBody)
	}
	j.rest = nil
	return nil
}

// remaining returns the time to the deadline in whole milliseconds.
func (j *job) remaining() int64 { return time.Until(j.deadline).Milliseconds() }

// request returns the request as it is sent on, with the remaining deadline.
func (j *job) request() *http.Request {
	u := &url.URL{Path: j.in.URL.Path, RawPath: j.in.URL.RawPath, RawQuery: j.in.URL.RawQuery}
	r := &http.Request{Method: j.in.Method, URL: u, Host: j.in.Host, Header: j.in.Header.Clone()}
	if r.Host == "" {
		r.Host = "service" // HTTP/1.1 requires a host
	}
	removeHopByHop(r.Header)
	for _, name := range []string{TicketHeader, AttemptHeader, RelayedHeader, TimeoutHeader} {
		r.Header.Del(name)
	}
	if !j.feed {
		r.Header.Set(TimeoutHeader, strconv.FormatInt(j.remaining(), 10))
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil // otherwise Request.Write adds its own
	}
	j.setBody(r)
	return r
}

func (j *job) setBody(r *http.Request) {
	switch {
	case j.rest != nil:
		j.consumed = true
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(j.body), j.rest))
		r.ContentLength = j.in.ContentLength
	case len(j.body) > 0:
		r.Body = io.NopCloser(bytes.NewReader(j.body))
		r.ContentLength = int64(len(j.body))
	default:
		r.Body = http.NoBody
	}
}

// hopByHop are the headers that belong to one connection.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
