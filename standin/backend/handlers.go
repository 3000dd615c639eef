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
// that a caller detects another request's answer.
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
	Run     int    `json:"run"` // 1 for the first run of this order here
	Backend string `json:"backend"`
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalogue", s.catalogue)
	mux.HandleFunc("POST /orders", s.order)
	mux.HandleFunc("GET "+s.opts.FeedPath, s.feed)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("GET /ledger", s.serveLedger)
	return mux
}

func (s *Server) catalogue(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := deadline(r)
	defer cancel()
	if !s.run(ctx, w, r, "") {
		return
	}
	q := r.URL.Query()
	answer(w, CatalogueAnswer{Caller: q.Get("caller"), N: q.Get("n"), Backend: s.opts.ID})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := deadline(r)
	defer cancel()
	var order Order
	body := io.LimitReader(r.Body, maxOrderBytes)
	if err := json.NewDecoder(body).Decode(&order); err != nil || order.ID == "" {
		w.Header().Set(outcomeHeader, string(errkind.OutcomeNotRun))
		http.Error(w, "expected an order ID", http.StatusBadRequest)
		return
	}
	if !s.run(ctx, w, r, order.ID) {
		return
	}
	s.mu.Lock()
	run := s.ledger.runs[order.ID]
	s.mu.Unlock()
	answer(w, OrderAnswer{ID: order.ID, Run: run, Backend: s.opts.ID})
}

// run does the work of one request and reports whether it was completed. If
// not, run has answered.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, order string) bool {
	if s.thaw(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil {
		giveUp(w, errkind.OutcomeNotRun)
		return false
	}
	epoch, ok := s.start(ctx, order)
	if !ok {
		shed(w)
		return false
	}
	err := sleep(ctx, s.workTime())
	if thawed := s.thaw(r.Context()); err == nil {
		err = thawed
	}
	// The slot is free before the answer leaves: whoever has read the answer
	// may send the next request.
	s.finish(epoch, err != nil)
	if err != nil {
		giveUp(w, errkind.OutcomeUnknown)
	}
	return err == nil
}

// start counts a request in, or reports that it is shed. A connection of an
// earlier epoch is aborted: its process no longer exists.
func (s *Server) start(ctx context.Context, order string) (epoch uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch, now := ctx.Value(epochKey{}).(uint64), time.Now()
	if epoch != s.epoch {
		panic(http.ErrAbortHandler)
	}
	over := s.inProgress >= s.capacity(now)
	if s.drained || over && s.shedAbove {
		s.ledger.sheds++
		return epoch, false
	}
	s.inProgress++
	s.ledger.observe(now, s.inProgress)
	s.ledger.starts = append(s.ledger.starts, now)
	s.ledger.lastStart = now
	if order != "" {
		s.ledger.runs[order]++
	}
	if over {
		s.ledger.overCapacity++
	}
	if over && s.opts.FallOver {
		s.restart(now)
	}
	return epoch, true
}

func (s *Server) finish(epoch uint64, aborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if aborted {
		s.ledger.aborted++
	}
	if epoch != s.epoch {
		return // the restart has reset the count
	}
	s.inProgress--
	s.ledger.observe(time.Now(), s.inProgress)
}

// thaw waits until the server is not frozen.
func (s *Server) thaw(ctx context.Context) error {
	for {
		s.mu.Lock()
		left := time.Until(s.frozenUntil)
		s.mu.Unlock()
		if left <= 0 {
			return ctx.Err()
		}
		if err := sleep(ctx, left); err != nil {
			return err
		}
	}
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	if s.thaw(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	answer(w, s.currentLoad())
}

func (s *Server) currentLoad() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.misled != nil {
		return *s.misled
	}
	capacity := s.capacity(time.Now())
	return Load{
		Slots: capacity, InProgress: s.inProgress,
		Connections: s.ledger.feedsOpen, Cold: capacity < s.opts.Slots,
	}
}

func (s *Server) serveLedger(w http.ResponseWriter, _ *http.Request) {
	answer(w, s.Ledger())
}

// deadline returns the request's context, bounded by its timeout header.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(timeoutHeader), 10, 32)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v) // a failed write means that the caller is gone
}

// giveUp answers a request whose deadline has passed.
func giveUp(w http.ResponseWriter, o errkind.Outcome) {
	w.Header().Set(outcomeHeader, string(o))
	http.Error(w, "deadline passed or request cancelled", http.StatusGatewayTimeout)
}

func shed(w http.ResponseWriter) {
	w.Header().Set(outcomeHeader, string(errkind.OutcomeNotRun))
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", ctx.Err())
	}
}
