package backend

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// serveFeed streams numbered lines. The feed occupies a slot until its header is
// sent, and counts against Options.Connections after that.
func (s *Server) serveFeed(w http.ResponseWriter, r *http.Request) {
	ctx := r.Context()
	if s.waitUntilUnfrozen(ctx) != nil {
		panic(http.ErrAbortHandler)
	}
	epoch, ok := s.beginRequest(ctx, "")
	if !ok {
		writeShed(w)
		return
	}
	end := s.openFeed(epoch)
	defer s.closeFeed(epoch)
	s.endRequest(epoch, false)
	w.Header().Set("Content-Type", "text/event-stream")
	s.streamFeed(ctx, w, end)
}

// openFeed counts a new feed. The returned channel is closed when the server
// must end the feed; it is nil without Options.FeedsEndOnDrain.
func (s *Server) openFeed(epoch uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.feedsStarted++
	if epoch == s.epoch {
		s.ledger.feedsOpen++
	}
	if s.ledger.feedsOpen > s.opts.Connections {
		s.ledger.overCapacityStarts++
	}
	if !s.opts.FeedsEndOnDrain {
		return nil
	}
	return s.drainStarted
}

func (s *Server) closeFeed(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch == s.epoch {
		s.ledger.feedsOpen--
	}
}

func (s *Server) streamFeed(ctx context.Context, w http.ResponseWriter, end <-chan struct{}) {
	out := http.NewResponseController(w)
	tick := time.NewTicker(s.opts.FeedInterval)
	defer tick.Stop()
	for sequence := 1; ; sequence++ {
		if _, err := fmt.Fprintf(w, "data: %s %d\n\n", s.opts.ID, sequence); err != nil {
			return
		}
		if out.Flush() != nil {
			return
		}
		select {
		case <-tick.C:
		case <-end:
			return
		case <-ctx.Done():
			return
		}
		if s.waitUntilUnfrozen(ctx) != nil {
			return
		}
	}
}
