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

func (i *injectedFaults) isOutage() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.outage
}

func (i *injectedFaults) currentDelay() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.delay
}

// takeAnswerLoss reports whether the answer of the current write is to be lost,
// and counts it off.
func (i *injectedFaults) takeAnswerLoss() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.answersToLose == 0 {
		return false
	}
	i.answersToLose--
	return true
}
