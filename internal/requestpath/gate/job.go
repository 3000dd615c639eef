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
	// maxBufferedBodyBytes bounds the body of a ticketed or relayed request.
	maxBufferedBodyBytes = 1 << 20
	// maxEagerReadBytes is the size up to which every body is read before a slot
	// is taken, so that a slow caller holds no slot.
	maxEagerReadBytes = 64 << 10
)

var errDeadline = errors.New("deadline passed")

// request is the state of one request while the gate serves it.
type request struct {
	ctx            context.Context
	cancel         context.CancelCauseFunc
	deadlineTimer  *time.Timer
	deadline       time.Time
	inbound        *http.Request
	w              http.ResponseWriter
	relayed        bool // relayed to this agent by a peer
	feed           bool
	bufferedBody   []byte
	unreadBody     io.Reader // the rest of a body that is larger than maxEagerReadBytes
	unreadBodySent bool      // an attempt has used unreadBody

	triedPeers      []netip.AddrPort // peers that got an attempt
	waitUntil       time.Time        // end of the wait for a slot
	mayHaveRunErr   error            // first error after which the request may have run
	outcomeRecorded bool             // the ticket table holds the outcome

	startedAt time.Time
	latency   time.Duration // until the answer's header
	kind      errkind.Kind  // 0: answered by a backend server
	counted   bool          // in the metrics already
}

// newRequest starts the deadline of a request. A ticketed request continues
// when its caller disconnects, so that the caller's retry gets the answer.
func newRequest(w http.ResponseWriter, r *http.Request, s config.Service, relayed bool) *request {
	req := &request{inbound: r, w: w, relayed: relayed, feed: isFeed(r, s), kind: errkind.Internal}
	parent := r.Context()
	if req.isTicketed() {
		parent = context.WithoutCancel(parent)
	}
	req.ctx, req.cancel = context.WithCancelCause(parent)
	timeout := requestTimeout(r, s)
	req.startedAt = time.Now()
	req.deadline = req.startedAt.Add(timeout)
	req.deadlineTimer = time.AfterFunc(timeout, func() { req.cancel(errDeadline) })
	return req
}

func (req *request) end() {
	req.deadlineTimer.Stop()
	req.cancel(nil)
}

func (req *request) isTicketed() bool { return !req.feed && req.inbound.Header.Get(TicketHeader) != "" }

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

// isIdempotent reports whether the request may be sent again after it may have
// run.
func (req *request) isIdempotent() bool {
	switch req.inbound.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// isReplayable reports whether the body can be sent again: no unbuffered part of it
// has been sent.
func (req *request) isReplayable() bool { return !req.unreadBodySent }

// readBody reads the body up to maxEagerReadBytes, or the whole body if keepWhole
// is true.
func (req *request) readBody(keepWhole bool) error {
	if req.inbound.Body == nil || req.inbound.Body == http.NoBody || req.inbound.ContentLength == 0 {
		return nil
	}
	limit := int64(maxEagerReadBytes)
	if keepWhole {
		limit = maxBufferedBodyBytes
	}
	out := http.NewResponseController(req.w)
	out.SetReadDeadline(req.deadline) // without support by the writer, only the caller's timeout applies
	defer out.SetReadDeadline(time.Time{})
	var err error
	req.bufferedBody, err = io.ReadAll(io.LimitReader(req.inbound.Body, limit+1))
	switch {
	case err != nil && !time.Now().Before(req.deadline):
		return errkind.Wrap(err, errkind.DeadlineNotRun, "read the request body")
	case err != nil:
		return errkind.Wrap(err, errkind.CallerCancelled, "read the request body")
	case int64(len(req.bufferedBody)) <= limit:
		return nil
	case keepWhole:
		return errkind.Errorf(errkind.RequestTooLarge, "body is larger than %d bytes", limit)
	}
	req.unreadBody = req.inbound.Body
	return nil
}

// bufferWholeBody reads the rest of the body, for a request that is to be relayed.
func (req *request) bufferWholeBody() error {
	if req.unreadBody == nil {
		return nil
	}
	more, err := io.ReadAll(io.LimitReader(req.unreadBody, maxBufferedBodyBytes+1-int64(len(req.bufferedBody))))
	req.bufferedBody = append(req.bufferedBody, more...)
	if err != nil {
		return errkind.Wrap(err, errkind.CallerCancelled, "read the request body")
	}
	if len(req.bufferedBody) > maxBufferedBodyBytes {
		return errkind.Errorf(errkind.RequestTooLarge, "body is larger than %d bytes", maxBufferedBodyBytes)
	}
	req.unreadBody = nil
	return nil
}

// remainingMillis returns the time until the deadline in whole milliseconds.
func (req *request) remainingMillis() int64 { return time.Until(req.deadline).Milliseconds() }

// outbound returns the request as it is sent to the backend server or to a peer,
// with the remaining time as its timeout.
func (req *request) outbound() *http.Request {
	u := &url.URL{Path: req.inbound.URL.Path, RawPath: req.inbound.URL.RawPath, RawQuery: req.inbound.URL.RawQuery}
	r := &http.Request{Method: req.inbound.Method, URL: u, Host: req.inbound.Host, Header: req.inbound.Header.Clone()}
	if r.Host == "" {
		r.Host = "service" // HTTP/1.1 requires a host
	}
	removeHopByHop(r.Header)
	for _, name := range []string{TicketHeader, AttemptHeader, RelayedHeader, TimeoutHeader} {
		r.Header.Del(name)
	}
	if !req.feed {
		r.Header.Set(TimeoutHeader, strconv.FormatInt(req.remainingMillis(), 10))
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil // otherwise Request.Write adds a default
	}
	req.setBody(r)
	return r
}

func (req *request) setBody(r *http.Request) {
	switch {
	case req.unreadBody != nil:
		req.unreadBodySent = true
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(req.bufferedBody), req.unreadBody))
		r.ContentLength = req.inbound.ContentLength
	case len(req.bufferedBody) > 0:
		r.Body = io.NopCloser(bytes.NewReader(req.bufferedBody))
		r.ContentLength = int64(len(req.bufferedBody))
	default:
		r.Body = http.NoBody
	}
}

// hopByHop are the header fields that apply to a single connection.
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
