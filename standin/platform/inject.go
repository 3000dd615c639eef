package platform

import (
	"sync"
	"time"
)

// injection holds the faults that are switched on.
type injection struct {
	mu     sync.Mutex
	outage bool
	delay  time.Duration
	lose   int
}

// SetOutage switches an outage on or off. During an outage every call is
// answered 503 without effect, and waiting watches end.
func (s *Server) SetOutage(on bool) {
	s.inject.mu.Lock()
	s.inject.outage = on
	s.inject.mu.Unlock()
	s.store.wake()
}

// SetDelay makes every call wait for d before it takes effect. A call takes
// effect after the delay even when its caller has given up meanwhile.
func (s *Server) SetDelay(d time.Duration) {
	s.inject.mu.Lock()
	defer s.inject.mu.Unlock()
	s.inject.delay = d
}

// LoseAnswers makes the next n writes take effect without an answer: the
// connection is cut.
func (s *Server) LoseAnswers(n int) {
	s.inject.mu.Lock()
	defer s.inject.mu.Unlock()
	s.inject.lose = n
}

func (i *injection) isOut() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.outage
}

func (i *injection) currentDelay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.delay
}

// takeLoss reports whether the answer of the current write is to be lost.
func (i *injection) takeLoss() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.lose == 0 {
		return false
	}
	i.lose--
	return true
}
