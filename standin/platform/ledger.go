package platform

import "time"

// Ledger holds counts since New, and all writes that took effect.
type Ledger struct {
	Gets, Lists, Watches int             // read calls that passed the rate limit, outside outages
	Puts, Deletes        int             // write calls that passed the rate limit, outside outages
	Conflicts            int             // writes answered 412
	LimitedReads         int             // reads answered 429
	LimitedWrites        int             // writes answered 429
	Refused              int             // calls answered 503 during an outage
	LostAnswers          int             // writes that took effect without an answer
	Accepted             []AcceptedWrite // writes that took effect, in order
}

// AcceptedWrite is one write or deletion that took effect.
type AcceptedWrite struct {
	Key     string
	Version uint64 // version that the write created; for a deletion, its revision
	Deleted bool
	At      time.Time
}

// Reads returns the number of admitted read calls. A watch counts as one call,
// however long it waits.
func (l Ledger) Reads() int { return l.Gets + l.Lists + l.Watches }

// Writes returns the number of admitted write calls.
func (l Ledger) Writes() int { return l.Puts + l.Deletes }

// AcceptedAt returns the time at which a version of key took effect.
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
	l.Accepted = append([]AcceptedWrite(nil), l.Accepted...)
	return l
}

// updateLedger calls change with the ledger locked.
func (s *Server) updateLedger(change func(*Ledger)) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	change(&s.store.ledger)
}
