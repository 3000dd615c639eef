// Package membership holds the records of the fleet's processes and decides which
// of them exist and which are considered alive. It must not open sockets, read
// clocks or start goroutines.
package membership

import (
	"net/netip"
	"time"
)

// Role is the kind of a process.
type Role string

// The roles that take part in membership.
const (
	RoleAgent    Role = "agent"
	RoleBalancer Role = "balancer"
)

// State is the state that a process announces for itself.
type State string

// The states of a process.
const (
	StateServing State = "serving"
	StateCold    State = "cold"    // an agent whose backend server is in a cold start
	StateLeaving State = "leaving" // accepts no new work
	StateGone    State = "gone"    // stopped on purpose
)

// Record is what a process announces about itself. Only its owner changes it, and
// raises Sequence with each change.
type Record struct {
	ID          string         `json:"id"`
	Role        Role           `json:"role"`
	Service     string         `json:"service,omitempty"` // only for agents
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
	ClockOffset time.Duration  `json:"clock_offset"` // nanoseconds from the median of peers
}

// Newer reports whether r supersedes other, a record of the same process.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Member is a record together with what this process knows of its liveness.
type Member struct {
	Record
	SuspectSince time.Time // zero: not suspected
	Heard        time.Time // when this process itself last had evidence of life, zero: never
}

// IsSuspected reports whether the member is suspected.
func (m Member) IsSuspected() bool { return !m.SuspectSince.IsZero() }

// Snapshot is the membership at one instant, ordered by ID.
type Snapshot struct {
	Members []Member
}
