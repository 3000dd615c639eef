// Package peer is the transport between the processes of the fleet: jsonrpc2
// calls and relayed HTTP/1.1 requests over one mutual TLS listener.
package peer

import (
	"encoding/json"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/membership"
)

// The application protocols of the listener.
const (
	ProtocolRPC   = "knapweedpier-rpc"
	ProtocolRelay = "http/1.1"
)

// The methods of ProtocolRPC.
const (
	methodPull   = "peer.pull"
	methodStatus = "status.get"
)

// MaxWait is the longest that a pull waits for news.
const MaxWait = time.Second

// callTimeout is how long an answer may take beyond the wait that was asked
// for. A connection that is silent for longer is replaced.
const callTimeout = 2 * time.Second

// statusTimeout is how long an answer to status.get may take. It leaves the
// called process CollectTimeout to ask others.
const statusTimeout = CollectTimeout + callTimeout

// CollectTimeout bounds how long a process asks others for one status.get.
const CollectTimeout = 4 * time.Second

// StatusScope says what status.get asks for.
type StatusScope string

// The scopes.
const (
	ScopeProcess StatusScope = "process" // the called process alone; answered by every process
	ScopeFleet   StatusScope = "fleet"   // the whole fleet; answered by balancers, as the next ones
	ScopeBurn    StatusScope = "burn"    // service-level burn
	ScopeLagging StatusScope = "lagging" // processes that lag behind a generation
)

// StatusRequest asks for a status. The forms of the answers belong to package
// statuscall.
type StatusRequest struct {
	Scope      StatusScope `json:"scope"`
	Service    string      `json:"service,omitempty"`    // of the refusals and the burn; empty: all
	Generation uint64      `json:"generation,omitempty"` // with ScopeLagging
	Burn       bool        `json:"burn,omitempty"`       // with ScopeProcess: with the burn counts
}

// PullRequest asks a partner for what changed. Field names on the wire are
// short because a balancer exchanges up to twenty of these a second at the
// target size, nearly all of them without news.
type PullRequest struct {
	ID          string             `json:"id"`  // requester
	Incarnation uint64             `json:"inc"` // of the requester's record
	Sequence    uint64             `json:"seq"` // of the requester's record
	Self        *membership.Record `json:"self,omitempty"`
	Cursor      membership.Cursor  `json:"cur"`
	NoRecords   bool               `json:"norec,omitempty"` // send no changes of records
	Generation  uint64             `json:"gen"`             // in force at the requester
	Known       uint64             `json:"known,omitempty"` // highest generation the requester knows the partner to have
	WantConfig  bool               `json:"want,omitempty"`  // send the configuration if it is newer than Generation
	FreshAge    time.Duration      `json:"fresh"`           // nanoseconds since the platform's state was known at the requester, negative: never
	Wait        time.Duration      `json:"wait,omitempty"`  // nanoseconds, at most MaxWait
	Done        bool               `json:"done,omitempty"`  // the requester's last pull from this partner
}

// PullAnswer is the answer to a PullRequest.
type PullAnswer struct {
	ID         string              `json:"id"` // partner
	Changes    []membership.Change `json:"chg,omitempty"`
	Cursor     membership.Cursor   `json:"cur"`
	Generation uint64              `json:"gen"`
	Config     json.RawMessage     `json:"config,omitempty"` // whole, only when asked for and newer
	FreshAge   time.Duration       `json:"fresh"`            // as in PullRequest, of the partner
	Clock      time.Time           `json:"clock"`
	Suspected  bool                `json:"susp,omitempty"` // the partner suspects the requester
	SendSelf   bool                `json:"send,omitempty"` // the partner lacks the requester's record
}
