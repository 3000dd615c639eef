package platform

import "time"

// Ledger is what the stand-in counted since it was made.
type Ledger struct {
	Gets, Lists, Watches int        // read calls that were admitted
	Puts, Deletes        int        // write calls that were admitted
	Conflicts            int        // writes answered 412
	LimitedReads         int        // reads answered 429
	LimitedWrites        int        // writes answered 429
	Refused              int        // calls answered 503 during an outage
	LostAnswers          int        // writes that took effect without an answer
	Accepted             []Accepted // writes that took effect, in order
}

// Accepted is one write that took effect.
type Accepted struct {
	Key     string
	Version uint64 // version that the write made; for a deletion, its revision
	Deleted bool
	At      time.Time
}

// Reads returns the number of admitted read calls; a waiting watch is one.
func (l Ledger) Reads() int { return l.Gets + l.Lists + l.Watches }

// Writes returns the number of admitted write calls.
func (l Ledger) Writes() int { return l.Puts + l.Deletes }

// AcceptedAt returns when a version of key took effect.
func (l Ledger) AcceptedAt(key string, version uint64) (time.Time, bool) {
	for _, a := range l.Accepted {
		if a.Key == key && a.Version == version {
			return a.At, true
		}
	}
	return time.Time{}, false
}

// Ledger returns a copy of the counts so far.
func (s *Server) Ledger() Ledger {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	l := s.store.ledger
	l.Accepted = append([]Accepted(nil), l.Accepted...)
	return l
}

// count changes the ledger under its lock.
func (s *Server) count(change func(*Ledger)) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	change(&s.store.ledger)
}
