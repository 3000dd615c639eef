// Package peer is the transport between the processes of the fleet: jsonrpc2
// calls and relayed HTTP/1.1 requests over one mutual TLS listener.
package peer

import (
	"encoding/json"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/membership"
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

// PullRequest asks a partner for what changed.
type PullRequest struct {
	ID          string             `json:"id"`          // caller
	Incarnation uint64             `json:"incarnation"` // of the caller's record
	Sequence    uint64             `json:"sequence"`    // of the caller's record
	Self        *membership.Record `json:"self,omitempty"`
	Cursor      membership.Cursor  `json:"cursor"`
	Generation  uint64             `json:"generation"`            // in force at the caller
	Known       uint64             `json:"known"`                 // highest generation the caller knows the partner to have
	WantConfig  bool               `json:"want_config,omitempty"` // send the configuration if it is newer than Generation
	FreshAge    time.Duration      `json:"fresh_age"`             // nanoseconds since the platform's state was known at the caller, negative: never
	Wait        time.Duration      `json:"wait"`                  // nanoseconds, at most MaxWait
	Done        bool               `json:"done,omitempty"`        // the caller's last pull from this partner
}

// PullAnswer is the answer to a PullRequest.
type PullAnswer struct {
	ID         string              `json:"id"` // partner
	Changes    []membership.Change `json:"changes,omitempty"`
	Cursor     membership.Cursor   `json:"cursor"`
	Generation uint64              `json:"generation"`
	Config     json.RawMessage     `json:"config,omitempty"` // whole, only when asked for and newer
	FreshAge   time.Duration       `json:"fresh_age"`        // as in PullRequest, of the partner
	Clock      time.Time           `json:"clock"`
	Suspected  bool                `json:"suspected,omitempty"` // the partner suspects the caller
	SendSelf   bool                `json:"send_self,omitempty"` // the partner lacks the caller's record
}
