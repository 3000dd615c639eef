package platform

import (
	"sync"
	"time"
)

// injectedFaults holds the faults that are injected at present.
type injectedFaults struct {
	mu            sync.Mutex
	outage        bool
	delay         time.Duration
	answersToLose int
}

// SetOutage switches an outage on or off. During an outage every call is
// answered 503 without effect, and so are waiting watches.
func (s *Server) SetOutage(on bool) {
	s.faults.mu.Lock()
	s.faults.outage = on
	s.faults.mu.Unlock()
	s.store.notifyWatches()
}

// SetDelay makes every call wait for d before it takes effect. A call takes
// effect after the delay even if its caller has given up by then.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.delay = d
}

// LoseAnswers makes the next n writes take effect without an answer: the
// connection is closed instead.
func (s *Server) LoseAnswers(n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.answersToLose = n
}

func (f *injectedFaults) isOutage() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage
}

func (f *injectedFaults) currentDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay
}

// takeAnswerLoss reports whether the answer of the current write is to be lost,
// and deducts it from answersToLose if so.
func (f *injectedFaults) takeAnswerLoss() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answersToLose == 0 {
		return false
	}
	f.answersToLose--
	return true
}
