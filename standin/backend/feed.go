package backend

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// feed streams numbered lines. It holds a slot until its header is sent, and
// only a connection after that.
func (s *Server) feed(w http.ResponseWriter, r *http.Request) {
	ctx := r.Context()
	if s.thaw(ctx) != nil {
		panic(http.ErrAbortHandler)
	}
	epoch, ok := s.start(ctx, "")
	if !ok {
		shed(w)
		return
	}
	ended := s.openFeed(epoch)
	defer s.closeFeed(epoch)
	s.finish(epoch, false)
	w.Header().Set("Content-Type", "text/event-stream")
	s.stream(ctx, w, ended)
}

// openFeed counts a feed in. The channel it returns is closed when the feed
// must end by itself.
func (s *Server) openFeed(epoch uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.feedsStarted++
	if epoch == s.epoch {
		s.ledger.feedsOpen++
	}
	if s.ledger.feedsOpen > s.opts.Connections {
		s.ledger.overCapacity++
	}
	if !s.opts.FeedsEndOnDrain {
		return nil
	}
	return s.draining
}

func (s *Server) closeFeed(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch == s.epoch {
		s.ledger.feedsOpen--
	}
}

func (s *Server) stream(ctx context.Context, w http.ResponseWriter, ended <-chan struct{}) {
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
		case <-ended:
			return
		case <-ctx.Done():
			return
		}
		if s.thaw(ctx) != nil {
			return
		}
	}
}
