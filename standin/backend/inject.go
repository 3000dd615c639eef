package backend

import (
	"net"
	"time"
)

// Restart closes all connections with a reset and makes the server cold,
// without announcement. The listener keeps its address. Requests in progress
// are lost.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restart(time.Now())
}

// restart needs the lock. Connections are closed before the lock is released,
// so that no connection of the new epoch is served before the old ones are
// reset.
func (s *Server) restart(now time.Time) {
	s.epoch++
	s.startedAt = now
	s.shedAbove = false
	s.drained = false
	s.draining = make(chan struct{})
	s.inProgress = 0
	s.ledger.feedsOpen = 0
	s.ledger.restarts++
	s.ledger.observe(now, 0)
	for c := range s.conns {
		reset(c)
	}
	clear(s.conns)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0) // a crashed process resets its connections
	}
	c.Close()
}

// ColdInPlace makes the server cold without closing connections. It sheds
// requests above its true capacity until it is warm.
func (s *Server) ColdInPlace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedAt = time.Now()
	s.shedAbove = true
}

// Drain makes the server shed all new requests. Requests in progress end
// normally.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained {
		return
	}
	s.drained = true
	close(s.draining)
}

// Freeze makes the server accept connections and requests for d without
// answering or starting any.
func (s *Server) Freeze(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozenUntil = time.Now().Add(d)
}

// MisleadLoad makes GET /load report l instead of the truth; nil ends that.
func (s *Server) MisleadLoad(l *Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misled = l
}
