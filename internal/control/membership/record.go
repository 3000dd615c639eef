// Package membership decides, without sockets, clocks or goroutines, which
// processes of the fleet exist and which of them are believed to be alive.
package membership

import (
	"net/netip"
	"time"
)

// Role says what a process does.
type Role string

// The roles that take part in membership.
const (
	RoleAgent    Role = "agent"
	RoleBalancer Role = "balancer"
)

// State is what a process says of itself.
type State string

// The states of a process.
const (
	StateServing State = "serving"
	StateCold    State = "cold"    // an agent whose backend server is in a cold start
	StateLeaving State = "leaving" // no new work
	StateGone    State = "gone"    // stopped on purpose
)

// Record is what a process announces. Its owner alone changes it and raises
// Sequence with each change.
type Record struct {
	ID          string         `json:"id"`
	Role        Role           `json:"role"`
	Service     string         `json:"service,omitempty"` // of an agent
	Domain      string         `json:"domain"`
	Region      string         `json:"region"`
	Tunnel      netip.AddrPort `json:"tunnel"`      // UDP
	Peer        netip.AddrPort `json:"peer"`        // TCP, jsonrpc2 and relays over TLS
	Incarnation uint64         `json:"incarnation"` // start time in Unix nanoseconds
	Sequence    uint64         `json:"sequence"`
	State       State          `json:"state"`
	Generation  uint64         `json:"generation"`   // configuration in force
	Slots       int            `json:"slots"`        // current limit of requests in progress
	InProgress  int            `json:"in_progress"`  // requests
	Flows       int            `json:"flows"`        // open flows
	ClockOffset time.Duration  `json:"clock_offset"` // nanoseconds against the median of peers
}

// Newer reports whether r supersedes other, a record of the same process.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Member is a record with what is believed of it.
type Member struct {
	Record
	SuspectSince time.Time // zero: not suspected
	Heard        time.Time // when this process last had evidence of life, zero: never itself
}

// Suspect reports whether the member is suspected.
func (m Member) Suspect() bool { return !m.SuspectSince.IsZero() }

// Snapshot is the membership at one instant, ordered by ID.
type Snapshot struct {
	Members []Member
}
