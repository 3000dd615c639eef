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

// maxWatchWait bounds how long a watch may hold its connection.
const maxWatchWait = 5 * time.Minute

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/objects/{key...}", s.admit(s.reads, s.get))
	mux.Handle("PUT /v1/objects/{key...}", s.admit(s.writes, s.put))
	mux.Handle("DELETE /v1/objects/{key...}", s.admit(s.writes, s.remove))
	mux.Handle("GET /v1/objects", s.admit(s.reads, s.list))
	mux.Handle("GET /v1/watch", s.admit(s.reads, s.watch))
	return mux
}

// admit applies the injected faults and the rate limit before next.
func (s *Server) admit(limit *bucket, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.refuseOutage(w) {
			return
		}
		if !limit.take(time.Now()) {
			s.refuseLimited(w, limit)
			return
		}
		if !readBody(w, r) || !s.wait(s.inject.currentDelay()) || s.refuseOutage(w) {
			return
		}
		next(w, r)
	})
}

// readBody takes the whole body into memory, so that a delayed write takes
// effect although its caller has closed the connection.
func readBody(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return true
}

func (s *Server) refuseOutage(w http.ResponseWriter) bool {
	if !s.inject.isOut() {
		return false
	}
	s.count(func(l *Ledger) { l.Refused++ })
	http.Error(w, "outage", http.StatusServiceUnavailable)
	return true
}

func (s *Server) refuseLimited(w http.ResponseWriter, limit *bucket) {
	s.count(func(l *Ledger) {
		if limit == s.writes {
			l.LimitedWrites++
			return
		}
		l.LimitedReads++
	})
	w.Header().Set("Retry-After", "1")
	http.Error(w, "rate limit", http.StatusTooManyRequests)
}

// wait sleeps for d and reports whether the server is still open.
func (s *Server) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-s.done:
		return false
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.count(func(l *Ledger) { l.Gets++ })
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
	_, _ = w.Write(o.Value) // the caller may have gone
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	s.count(func(l *Ledger) { l.Puts++ })
	c, ok := parseCondition(r.Header)
	if !ok || r.PathValue("key") == "" {
		http.Error(w, "expected a key and one of If-Match: \"N\" or If-None-Match: *", http.StatusBadRequest)
		return
	}
	value, _ := io.ReadAll(r.Body) // readBody holds it in memory
	o, ok := s.store.put(r.PathValue("key"), value, c)
	if !ok {
		http.Error(w, "version differs", http.StatusPreconditionFailed)
		return
	}
	s.loseAnswer()
	w.Header().Set("ETag", etag(o.Version))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.count(func(l *Ledger) { l.Deletes++ })
	c, ok := parseCondition(r.Header)
	if !ok {
		http.Error(w, "expected If-Match: \"N\"", http.StatusBadRequest)
		return
	}
	found, ok := s.store.remove(r.PathValue("key"), c)
	if !found {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	if !ok {
		http.Error(w, "version differs", http.StatusPreconditionFailed)
		return
	}
	s.loseAnswer()
	w.WriteHeader(http.StatusNoContent)
}

// loseAnswer cuts the connection when the answer of this write is to be lost.
func (s *Server) loseAnswer() {
	if !s.inject.takeLoss() {
		return
	}
	s.count(func(l *Ledger) { l.LostAnswers++ })
	panic(http.ErrAbortHandler)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.count(func(l *Ledger) { l.Lists++ })
	writeListing(w, s.store.list(r.URL.Query().Get("prefix")))
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.count(func(l *Ledger) { l.Watches++ })
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: expected a revision", http.StatusBadRequest)
		return
	}
	ms, err := strconv.ParseUint(q.Get("timeout_ms"), 10, 31)
	if err != nil {
		http.Error(w, "timeout_ms: expected milliseconds", http.StatusBadRequest)
		return
	}
	s.await(w, r, q.Get("prefix"), after, min(time.Duration(ms)*time.Millisecond, maxWatchWait))
}

// await answers a watch at the first change, at its timeout, or at an outage.
func (s *Server) await(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for expired := false; ; {
		listing, changed := s.store.since(prefix, after)
		if s.refuseOutage(w) {
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
		case <-s.done:
			return
		}
	}
}

func writeListing(w http.ResponseWriter, l api.Listing) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l) // the caller may have gone
}

func etag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}

// parseCondition reads the conditional headers; a write without any is
// unconditional.
func parseCondition(h http.Header) (condition, bool) {
	match, none := h.Get("If-Match"), h.Get("If-None-Match")
	switch {
	case match == "" && none == "":
		return condition{any: true}, true
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
