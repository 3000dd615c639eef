// Package peer is the transport between the processes of the fleet: jsonrpc2 calls
// and relayed HTTP/1.1 requests over one listener with mutual TLS. It passes calls
// to functions in ServerOptions and must not depend on the packages that implement
// them.
package peer

import (
	"encoding/json"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/membership"
)

// The application protocols of the listener, negotiated by ALPN.
const (
	ProtocolRPC   = "knapweedpier-rpc"
	ProtocolRelay = "http/1.1"
)

// The methods of ProtocolRPC.
const (
	methodPull   = "peer.pull"
	methodStatus = "status.get"
)

// MaxPullWait bounds how long the server may hold a pull while it has no changes.
const MaxPullWait = time.Second

// callTimeout is how long a response may take in addition to the wait in the
// request. A connection without a response for longer is replaced.
const callTimeout = 2 * time.Second

// statusTimeout is how long a response to status.get may take. It leaves the called
// process StatusCollectTimeout to query others.
const statusTimeout = StatusCollectTimeout + callTimeout

// StatusCollectTimeout bounds how long a process queries others for one status.get.
const StatusCollectTimeout = 4 * time.Second

// StatusScope selects what status.get returns.
type StatusScope string

// The scopes.
const (
	ScopeProcess StatusScope = "process" // the called process only; served by every process
	ScopeFleet   StatusScope = "fleet"   // the whole fleet; this scope and the following are served by balancers
	ScopeBurn    StatusScope = "burn"    // burn of the services' error budgets
	ScopeLagging StatusScope = "lagging" // processes that have not yet reached a generation
)

// StatusRequest holds the parameters of status.get. Package statuscall defines the
// results.
type StatusRequest struct {
	Scope      StatusScope `json:"scope"`
	Service    string      `json:"service,omitempty"`    // limits the refusals and the burn to one service; empty: all services
	Generation uint64      `json:"generation,omitempty"` // only with ScopeLagging
	Burn       bool        `json:"burn,omitempty"`       // only with ScopeProcess: include the burn counts
}

// PullRequest asks a partner, the called peer, for changes. Field names on the wire
// are short because a balancer exchanges up to twenty of these a second at the
// target size, nearly all of them without changes.
type PullRequest struct {
	ID                string             `json:"id"`  // of the requester
	Incarnation       uint64             `json:"inc"` // of the requester's record
	Sequence          uint64             `json:"seq"` // of the requester's record
	Record            *membership.Record `json:"self,omitempty"`
	Cursor            membership.Cursor  `json:"cur"`
	NoRecords         bool               `json:"norec,omitempty"` // leave changes of membership records out of the response
	Generation        uint64             `json:"gen"`             // configuration generation in force at the requester
	PartnerGeneration uint64             `json:"known,omitempty"` // highest generation that the requester knows the partner to have
	WantConfig        bool               `json:"want,omitempty"`  // send the configuration if it is newer than Generation
	PlatformStateAge  time.Duration      `json:"fresh"`           // nanoseconds since the platform's state was last known at the requester, negative: never
	Wait              time.Duration      `json:"wait,omitempty"`  // nanoseconds to hold the pull while there are no changes, at most MaxPullWait
	Final             bool               `json:"done,omitempty"`  // the requester's last pull from this partner
}

// PullResponse is the response to a PullRequest.
type PullResponse struct {
	ID               string              `json:"id"` // of the partner
	Changes          []membership.Change `json:"chg,omitempty"`
	Cursor           membership.Cursor   `json:"cur"`
	Generation       uint64              `json:"gen"`
	Config           json.RawMessage     `json:"config,omitempty"` // the whole configuration, only if WantConfig is set and it is newer
	PlatformStateAge time.Duration       `json:"fresh"`            // as in PullRequest, at the partner
	Clock            time.Time           `json:"clock"`
	Suspected        bool                `json:"susp,omitempty"` // the partner suspects the requester
	SendRecord       bool                `json:"send,omitempty"` // the partner lacks the requester's record
}
