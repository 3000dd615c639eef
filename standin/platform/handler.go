package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	api "github.com/knapweedpier/knapweedpier/internal/control/objectstore"
)

// maxWatchWait is the longest timeout of a watch.
const maxWatchWait = 5 * time.Minute

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/objects/{key...}", s.admit(s.reads, s.get))
	mux.Handle("PUT /v1/objects/{key...}", s.admit(s.writes, s.put))
	mux.Handle("DELETE /v1/objects/{key...}", s.admit(s.writes, s.delete))
	mux.Handle("GET /v1/objects", s.admit(s.reads, s.list))
	mux.Handle("GET /v1/watch", s.admit(s.reads, s.watch))
	return mux
}

// admit calls next unless an outage or the rate limit rejects the call, and
// after the injected delay.
func (s *Server) admit(limit *tokenBucket, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", strconv.FormatUint(s.store.currentEra(), 10))
		if s.rejectDuringOutage(w) {
			return
		}
		if !limit.take(time.Now()) {
			s.rejectOverLimit(w, limit)
			return
		}
		if !readBody(w, r) || !s.sleep(s.faults.currentDelay()) || s.rejectDuringOutage(w) {
			return
		}
		w.Header().Set("Store-Era", strconv.FormatUint(s.store.currentEra(), 10)) // it may have changed meanwhile
		next(w, r)
	})
}

// readBody reads the whole body into memory, so that a delayed write takes
// effect even if its caller has closed the connection.
func readBody(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return true
}

// rejectDuringOutage reports whether it answered 503 because of an outage.
func (s *Server) rejectDuringOutage(w http.ResponseWriter) bool {
	if !s.faults.isOutage() {
		return false
	}
	s.updateLedger(func(l *Ledger) { l.Refused++ })
	http.Error(w, "outage", http.StatusServiceUnavailable)
	return true
}

func (s *Server) rejectOverLimit(w http.ResponseWriter, limit *tokenBucket) {
	s.updateLedger(func(l *Ledger) {
		if limit == s.writes {
			l.LimitedWrites++
			return
		}
		l.LimitedReads++
	})
	w.Header().Set("Retry-After", "1")
	http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
}

// sleep waits for d and reports whether the server was not closed meanwhile.
func (s *Server) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-s.closed:
		return false
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.updateLedger(func(l *Ledger) { l.Gets++ })
	o, ok := s.store.get(r.PathValue("key"))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	tag := etag(o.Version)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.Value) // fails only if the connection is closed
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	s.updateLedger(func(l *Ledger) { l.Puts++ })
	c, ok := parseCondition(r.Header)
	if !ok || r.PathValue("key") == "" {
		http.Error(w, "expected a key and one of If-Match: \"N\" or If-None-Match: *", http.StatusBadRequest)
		return
	}
	value, _ := io.ReadAll(r.Body) // readBody has read it, so this cannot fail
	o, ok := s.store.put(r.PathValue("key"), value, c)
	if !ok {
		http.Error(w, "object version does not match", http.StatusPreconditionFailed)
		return
	}
	s.abortIfAnswerLost()
	w.Header().Set("ETag", etag(o.Version))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	s.updateLedger(func(l *Ledger) { l.Deletes++ })
	c, ok := parseCondition(r.Header)
	if !ok {
		http.Error(w, "malformed If-Match or If-None-Match header", http.StatusBadRequest)
		return
	}
	found, ok := s.store.delete(r.PathValue("key"), c)
	if !found {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	if !ok {
		http.Error(w, "object version does not match", http.StatusPreconditionFailed)
		return
	}
	s.abortIfAnswerLost()
	w.WriteHeader(http.StatusNoContent)
}

// abortIfAnswerLost closes the connection without an answer if a lost answer is
// injected for this write.
func (s *Server) abortIfAnswerLost() {
	if !s.faults.takeAnswerLoss() {
		return
	}
	s.updateLedger(func(l *Ledger) { l.LostAnswers++ })
	panic(http.ErrAbortHandler)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.updateLedger(func(l *Ledger) { l.Lists++ })
	writeListing(w, s.store.list(r.URL.Query().Get("prefix")))
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.updateLedger(func(l *Ledger) { l.Watches++ })
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: expected a revision number", http.StatusBadRequest)
		return
	}
	ms, err := strconv.ParseUint(q.Get("timeout_ms"), 10, 31)
	if err != nil {
		http.Error(w, "timeout_ms: expected a number of milliseconds", http.StatusBadRequest)
		return
	}
	s.serveWatch(w, r, q.Get("prefix"), after, min(time.Duration(ms)*time.Millisecond, maxWatchWait))
}

// serveWatch answers a watch at the first change, at its timeout, or when an
// outage begins.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	era := s.store.currentEra()
	for expired := false; ; {
		listing, changed := s.store.changesSince(prefix, after)
		if s.rejectDuringOutage(w) {
			return
		}
		if now := s.store.currentEra(); now != era || now > 0 && after > listing.Revision {
			w.Header().Set("Store-Era", strconv.FormatUint(now, 10))
			http.Error(w, "no history from this revision", http.StatusGone)
			return
		}
		if expired || len(listing.Objects) > 0 {
			writeListing(w, listing)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			expired = true
		case <-r.Context().Done():
			return
		case <-s.closed:
			return
		}
	}
}

func writeListing(w http.ResponseWriter, l api.Listing) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l) // fails only if the connection is closed
}

func etag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}

// parseCondition parses the conditional headers. A write without any is
// unconditional. It returns false if they are malformed.
func parseCondition(h http.Header) (condition, bool) {
	match, none := h.Get("If-Match"), h.Get("If-None-Match")
	switch {
	case match == "" && none == "":
		return condition{unconditional: true}, true
	case match == "" && none == "*":
		return condition{}, true
	case none != "":
		return condition{}, false
	}
	text, err := strconv.Unquote(match)
	if err != nil {
		return condition{}, false
	}
	version, err := strconv.ParseUint(text, 10, 64)
	return condition{version: version}, err == nil && version > 0
}
