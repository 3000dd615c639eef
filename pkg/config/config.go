// Package config defines the accepted configuration: its types and JSON form,
// its validation, and the view of it at a given instant. It does no I/O and
// reads no clock: callers pass the time. Of this module it may import only
// internal/base.
//
// A Config must not be modified after parsing. Planned changes carry their
// effective times, so every process computes the same view of a generation
// from its own clock, also while the platform is unavailable.
package config

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// ObjectKey is the key of the configuration in the platform's object store.
const ObjectKey = "config/current"

// Config is one accepted generation of the configuration.
type Config struct {
	Generation uint64          `json:"generation"`
	ChangeID   string          `json:"change_id"` // ID of the update that created this generation
	AcceptedAt time.Time       `json:"accepted_at"`
	Domains    []FailureDomain `json:"domains"`
	Services   []Service       `json:"services"`
	Changes    []PlannedChange `json:"changes"`
}

// FailureDomain is a set of hosts that fail together.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Index  uint8  `json:"index"` // carried in connection IDs, never reused
}

// Service is a UDP address that callers send to, with the limits, feeds,
// timeout and objectives that apply to its backend servers.
type Service struct {
	Name           string         `json:"name"`
	Address        netip.AddrPort `json:"address"` // UDP address that callers send to
	Limits         Limits         `json:"limits"`
	FeedPaths      []string       `json:"feed_paths"`      // path prefixes of responses that stream without end
	RequestTimeout time.Duration  `json:"request_timeout"` // nanoseconds; default deadline of a request
	Objectives     Objectives     `json:"objectives"`
}

// Limits bound the load on each backend server of a service.
type Limits struct {
	Slots       int           `json:"slots"`       // requests in progress when warm
	Connections int           `json:"connections"` // open flows
	ColdSlots   int           `json:"cold_slots"`  // requests in progress right after a cold start
	WarmUp      time.Duration `json:"warm_up"`     // nanoseconds in which the limit rises from ColdSlots to Slots
}

// Objectives are the service-level objectives of a service.
type Objectives struct {
	AnsweredShare float64       `json:"answered_share"` // 0 to 1, of requests
	UnbrokenShare float64       `json:"unbroken_share"` // 0 to 1, of flows
	LatencyP99    time.Duration `json:"latency_p99"`    // nanoseconds
}

// ChangeKind is the kind of a planned change.
type ChangeKind string

// The kinds of planned changes.
const (
	Join       ChangeKind = "join"        // a backend server may serve from At on
	Leave      ChangeKind = "leave"       // a backend server takes no new work from At on
	DomainOut  ChangeKind = "domain-out"  // a failure domain is out of service from At on
	DomainBack ChangeKind = "domain-back" // a failure domain is back in service from At on
)

// PlannedChange is a change that takes effect at a given time.
type PlannedChange struct {
	ID         string     `json:"id"`
	Kind       ChangeKind `json:"kind"`
	Subject    string     `json:"subject"`           // backend server or failure domain
	Service    string     `json:"service,omitempty"` // of the backend server; empty for a failure domain
	At         time.Time  `json:"at"`
	Generation uint64     `json:"generation"` // first generation that contains this change
}

// Parse decodes and validates a configuration. Its errors have kind
// ConfigInvalid; validation errors name the field and the reason.
func Parse(data []byte) (*Config, error) {
	var c Config
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errkind.Wrap(err, errkind.ConfigInvalid, "decode")
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	return &c, nil
}

// Encode returns the JSON form of the configuration, as it is stored on the
// platform and exchanged between peers.
func (c *Config) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errkind.Wrap(err, errkind.Internal, "encode configuration")
}
