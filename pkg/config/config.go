// Package config owns the accepted configuration: its typed form, the checks
// that turn raw JSON into it, and its resolution at one instant.
//
// A Config is immutable once parsed. Planned changes carry their effective
// times, so every process resolves the same view from the same generation by
// its own clock, also while the platform is down.
package config

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// ObjectKey is the platform key that holds the configuration.
const ObjectKey = "config/current"

// Config is one accepted generation.
type Config struct {
	Generation uint64          `json:"generation"`
	ChangeID   string          `json:"change_id"` // names the update that made this generation
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

// Service is one address that callers use, and how its backend servers are
// treated.
type Service struct {
	Name           string         `json:"name"`
	Address        netip.AddrPort `json:"address"` // UDP address that callers send to
	Limits         Limits         `json:"limits"`
	FeedPaths      []string       `json:"feed_paths"`      // path prefixes whose answers stream without end
	RequestTimeout time.Duration  `json:"request_timeout"` // nanoseconds; default deadline of a request
	Objectives     Objectives     `json:"objectives"`
}

// Limits are what one backend server of a service bears.
type Limits struct {
	Slots       int           `json:"slots"`       // requests in progress when warm
	Connections int           `json:"connections"` // open flows
	ColdSlots   int           `json:"cold_slots"`  // requests in progress right after a cold start
	WarmUp      time.Duration `json:"warm_up"`     // nanoseconds from ColdSlots to Slots
}

// Objectives are the service-level objectives of a service.
type Objectives struct {
	AnsweredShare float64       `json:"answered_share"` // 0 to 1, of requests
	UnbrokenShare float64       `json:"unbroken_share"` // 0 to 1, of flows
	LatencyP99    time.Duration `json:"latency_p99"`    // nanoseconds
}

// ChangeKind names what a planned change does.
type ChangeKind string

// The kinds of planned changes.
const (
	Join       ChangeKind = "join"        // a backend server may serve from At on
	Leave      ChangeKind = "leave"       // a backend server takes no new work from At on
	DomainOut  ChangeKind = "domain-out"  // a failure domain is taken out at At
	DomainBack ChangeKind = "domain-back" // a failure domain is back from At on
)

// PlannedChange is one change with its effective time.
type PlannedChange struct {
	ID         string     `json:"id"`
	Kind       ChangeKind `json:"kind"`
	Subject    string     `json:"subject"`           // backend server or failure domain
	Service    string     `json:"service,omitempty"` // of a backend server
	At         time.Time  `json:"at"`
	Generation uint64     `json:"generation"` // that accepted this change
}

// Parse decodes and checks a configuration. Its errors have kind
// ConfigInvalid and name the field and the reason.
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

// Encode returns the JSON form that the platform and peers carry.
func (c *Config) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errkind.Wrap(err, errkind.Internal, "encode configuration")
}
