package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Headers of the backend server interface.
const (
	outcomeHeader = "Knapweedpier-Outcome"
	timeoutHeader = "Knapweedpier-Timeout-Ms"
)

// maxOrderBytes bounds the body of an order.
const maxOrderBytes = 1 << 20

// Load is the answer of GET /load.
type Load struct {
	Slots       int  `json:"slots"`
	InProgress  int  `json:"in_progress"`
	Connections int  `json:"connections"`
	Cold        bool `json:"cold"`
}

// CatalogueAnswer is the answer of GET /catalogue. It repeats the query, so
// that a caller can detect an answer to another request.
type CatalogueAnswer struct {
	Caller  string `json:"caller"`
	N       string `json:"n"`
	Backend string `json:"backend"`
}

// Order is the body of POST /orders.
type Order struct {
	ID string `json:"order"`
}

// OrderAnswer is the answer of POST /orders.
type OrderAnswer struct {
	ID      string `json:"order"`
	Run     int    `json:"run"` // number of this run of the order at this server, from 1
	Backend string `json:"backend"`
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalogue", s.serveCatalogue)
	mux.HandleFunc("POST /orders", s.serveOrder)
	mux.HandleFunc("GET "+s.opts.FeedPath, s.serveFeed)
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("GET /ledger", s.serveLedger)
	return mux
}

func (s *Server) serveCatalogue(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withRequestTimeout(r)
	defer cancel()
	if !s.run(ctx, w, r, "") {
		return
	}
	q := r.URL.Query()
	writeJSON(w, CatalogueAnswer{Caller: q.Get("caller"), N: q.Get("n"), Backend: s.opts.ID})
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := withRequestTimeout(r)
	defer cancel()
	var order Order
	body := io.LimitReader(r.Body, maxOrderBytes)
	if err := json.NewDecoder(body).Decode(&order); err != nil || order.ID == "" {
		w.Header().Set(outcomeHeader, string(errkind.OutcomeNotRun))
		http.Error(w, "body: expected JSON with an order ID", http.StatusBadRequest)
		return
	}
	if !s.run(ctx, w, r, order.ID) {
		return
	}
	s.mu.Lock()
	run := s.ledger.runs[order.ID]
	s.mu.Unlock()
	writeJSON(w, OrderAnswer{ID: order.ID, Run: run, Backend: s.opts.ID})
}

// run performs the work of one request and reports whether it was completed. If
// not, run has written the answer.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, order string) bool {
	if s.waitUntilUnfrozen(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil {
		writeTimeout(w, errkind.OutcomeNotRun)
		return false
	}
	epoch, ok := s.beginRequest(ctx, order)
	if !ok {
		writeShed(w)
		return false
	}
	err := sleep(ctx, s.workTime())
	if frozenErr := s.waitUntilUnfrozen(r.Context()); err == nil {
		err = frozenErr
	}
	// Free the slot before writing the answer: whoever reads the answer may
	// send the next request at once.
	s.endRequest(epoch, err != nil)
	if err != nil {
		writeTimeout(w, errkind.OutcomeUnknown)
	}
	return err == nil
}

// beginRequest occupies a slot for a request, or returns false if the request is
// shed. It aborts a connection of an earlier epoch, since that epoch stands for a
// process that no longer exists.
func (s *Server) beginRequest(ctx context.Context, order string) (epoch uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch, now := ctx.Value(epochKey{}).(uint64), time.Now()
	if epoch != s.epoch {
		panic(http.ErrAbortHandler)
	}
	over := s.inProgress >= s.capacity(now)
	if s.draining || over && s.shedOverCapacity {
		s.ledger.sheds++
		return epoch, false
	}
	s.inProgress++
	s.ledger.recordInProgress(now, s.inProgress)
	s.ledger.starts = append(s.ledger.starts, now)
	s.ledger.lastStart = now
	if order != "" {
		s.ledger.runs[order]++
	}
	if over {
		s.ledger.overCapacityStarts++
	}
	if over && s.opts.RestartOnOverload {
		s.restart(now)
	}
	return epoch, true
}

func (s *Server) endRequest(epoch uint64, aborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if aborted {
		s.ledger.aborted++
	}
	if epoch != s.epoch {
		return // the restart has reset inProgress
	}
	s.inProgress--
	s.ledger.recordInProgress(time.Now(), s.inProgress)
}

// waitUntilUnfrozen waits until the server is not frozen. It returns an error if
// ctx ends first.
func (s *Server) waitUntilUnfrozen(ctx context.Context) error {
	for {
		s.mu.Lock()
		remaining := time.Until(s.frozenUntil)
		s.mu.Unlock()
		if remaining <= 0 {
			return ctx.Err()
		}
		if err := sleep(ctx, remaining); err != nil {
			return err
		}
	}
}

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	if s.waitUntilUnfrozen(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, s.currentLoad())
}

func (s *Server) currentLoad() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loadOverride != nil {
		return *s.loadOverride
	}
	capacity := s.capacity(time.Now())
	return Load{
		Slots: capacity, InProgress: s.inProgress,
		Connections: s.ledger.feedsOpen, Cold: capacity < s.opts.Slots,
	}
}

func (s *Server) serveLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Ledger())
}

// withRequestTimeout returns the request's context with the deadline of its
// timeout header.
func withRequestTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(timeoutHeader), 10, 32)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body) // fails only if the connection is closed
}

// writeTimeout answers a request that was cancelled or whose deadline has passed.
func writeTimeout(w http.ResponseWriter, outcome errkind.Outcome) {
	w.Header().Set(outcomeHeader, string(outcome))
	http.Error(w, "deadline exceeded or request cancelled", http.StatusGatewayTimeout)
}

func writeShed(w http.ResponseWriter) {
	w.Header().Set(outcomeHeader, string(errkind.OutcomeNotRun))
	http.Error(w, "request shed", http.StatusServiceUnavailable)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("sleep: %w", ctx.Err())
	}
}
