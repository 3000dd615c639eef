package backend

import (
	"net"
	"time"
)

// Restart simulates a crash and restart: it resets all connections without
// warning and makes the server cold. Requests in progress are lost. The listener
// keeps its address.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restart(time.Now())
}

// restart is called with mu held. It resets the old connections before mu is
// released, so that no connection of the new epoch is served before that.
func (s *Server) restart(now time.Time) {
	s.epoch++
	s.startedAt = now
	s.shedOverCapacity = false
	s.draining = false
	s.drainStarted = make(chan struct{})
	s.inProgress = 0
	s.ledger.feedsOpen = 0
	s.ledger.restarts++
	s.ledger.recordInProgress(now, 0)
	for c := range s.conns {
		resetConn(c)
	}
	clear(s.conns)
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0) // close with a reset, as the kernel does for a crashed process
	}
	c.Close()
}

// MakeCold makes the server cold without closing connections. It sheds
// requests above its true capacity until it is warm.
func (s *Server) MakeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt = time.Now()
	s.shedOverCapacity = true
}

// Drain makes the server shed all new requests. Requests in progress complete
// normally.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	close(s.drainStarted)
}

// Freeze makes the server accept connections and requests for d, but neither
// start nor answer any of them.
func (s *Server) Freeze(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozenUntil = time.Now().Add(d)
}

// OverrideLoad makes GET /load report l instead of the real load; nil reverts to
// the real load.
func (s *Server) OverrideLoad(l *Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadOverride = l
}
