package view

import "net/netip"

// Role is the kind of process that a member is.
type Role string

// The roles.
const (
	BalancerRole Role = "balancer"
	AgentRole    Role = "agent"
)

// State is the state of a member's backend server.
type State string

// The states of a backend server as its agent announces them.
const (
	Ready   State = "ready"
	Leaving State = "leaving"
)

// Member is what a process announces about itself.
type Member struct {
	Name    string
	Role    Role
	Domain  string
	Address netip.AddrPort // receives messages of package hop
	Peer    netip.AddrPort // serves the requests of package follow
	Service string         // agents: the service of the backend server
	Slots   int            // agents: requests that the backend server processes at the same time
	State   State          // agents
	// CreatedMS is when the process sent the creation of the object, in Unix
	// milliseconds of its own clock; 0 if unknown.
	CreatedMS int64 `json:",omitempty"`
	// StoredMS is when a process of the agent knew that the store held the object, in
	// Unix milliseconds of its own clock; 0 if unknown.
	StoredMS int64 `json:",omitempty"`
	// CreatedBootMS and StoredBootMS are the same times in milliseconds since the start of the
	// writer's machine, which aren't stepped like the time of day; 0 if unknown.
	CreatedBootMS int64 `json:",omitempty"`
	StoredBootMS  int64 `json:",omitempty"`
	// Restarting is set if the agent's process has stopped while its backend server
	// runs on, so that a new process of the agent follows. The new process clears it
	// with the first report of the backend server.
	Restarting bool `json:",omitempty"`
	// Era is the era of the store in which the object was written, 0 in era 0 or if unknown.
	Era int64 `json:",omitempty"`
	// EraSeenMS is when Era was first seen, in Unix milliseconds of the writer's clock, or of
	// an earlier writer's; 0 if unknown. See Board.EraSeen.
	EraSeenMS int64 `json:",omitempty"`
	// Revision is that of the member's object in the store.
	Revision Revision
}

// Members are all processes that have announced themselves.
type Members struct {
	Revision Revision
	// ByName includes retained members, which have a revision of an earlier era; see retain.
	ByName map[string]Member
	// Stored holds the retained members that the store has in another state, as it has them.
	Stored map[string]Member
}
