// Package status defines the messages of status.get and builds them from the
// state of one process. It must not read a clock or use the network or files.
//
// Any process can answer for the fleet, because every process holds the
// membership and the configuration. Only the refusals come from the agents;
// AddRefusals merges them.
package status

import (
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/burn"
)

// Process is the state that one process reports of itself. PlatformReachable is
// also true for a process that does not watch the platform itself, if the
// freshness stamp of its pulls shows that a partner reaches the platform.
type Process struct {
	ID                     string              `json:"id"`
	Role                   membership.Role     `json:"role"`
	Service                string              `json:"service,omitempty"` // of an agent
	Generation             uint64              `json:"generation"`        // in force
	PlatformReachable      bool                `json:"platform_reachable"`
	PlatformReachableSince time.Time           `json:"platform_since"` // of the last change of PlatformReachable
	Refusals               []metrics.KindCount `json:"refusals"`       // since the process started
	Burn                   burn.Message        `json:"burn"`
}

// Status is the state of the fleet as one process sees it.
type Status struct {
	At                 time.Time      `json:"at"`
	Source             string         `json:"source"`     // ID of the process that answered
	Generation         uint64         `json:"generation"` // newest known to the source
	Platform           Platform       `json:"platform"`
	NextChange         *time.Time     `json:"next_change,omitempty"` // when the next planned change is due
	Domains            []Domain       `json:"domains"`
	Services           []Service      `json:"services"`
	Balancers          BalancerCounts `json:"balancers"`
	Lagging            []Lag          `json:"lagging"` // by ID
	Clocks             []Clock        `json:"clocks"`  // with an offset over clockoffset.Limit, by ID
	WorstClock         time.Duration  `json:"worst_clock"`
	UnconfiguredAgents []string       `json:"strays"` // IDs of agents whose service is not configured
}

// Platform tells whether the source reaches the platform.
type Platform struct {
	Reachable bool      `json:"reachable"`
	Since     time.Time `json:"since"`
}

// Domain is a failure domain of the configuration.
type Domain struct {
	Name   string     `json:"name"`
	Region string     `json:"region"`
	Out    *time.Time `json:"out,omitempty"` // since when it is out of service
}

// Service is the state of one service.
type Service struct {
	Name         string              `json:"name"`
	Address      netip.AddrPort      `json:"address"`
	Down         bool                `json:"down"` // no backend server accepts requests
	Domains      []ServiceDomain     `json:"domains"`
	Use          Use                 `json:"use"`           // of the backend servers that accept requests
	LeavingFlows int                 `json:"leaving_flows"` // open flows of leaving backend servers
	WarmLimit    int                 `json:"warm_limit"`    // limit of requests in progress once all accepting backend servers are warm
	Connections  int                 `json:"connections"`   // limit of open flows of the accepting backend servers
	Refusals     []metrics.KindCount `json:"refusals"`      // of the agents counted, since the start of each
	Counted      int                 `json:"counted"`       // agents whose refusals are included
	NotCounted   []string            `json:"not_counted"`   // IDs of the agents whose refusals are missing
}

// ServiceDomain is the part of a service in one failure domain. Domains
// without a backend server of the service are left out.
type ServiceDomain struct {
	Name     string        `json:"name"`
	Out      bool          `json:"out"`
	Backends BackendCounts `json:"backends"`
	Use      Use           `json:"use"`
}

// BackendCounts is the number of backend servers by state.
type BackendCounts struct {
	Announced int `json:"announced"` // the planned join is not yet due
	Cold      int `json:"cold"`
	Warm      int `json:"warm"`
	Leaving   int `json:"leaving"`
	Silent    int `json:"silent"` // not heard from for 3 s
}

// Use is the load of backend servers and their limit.
type Use struct {
	Limit      int `json:"limit"`       // requests that may be in progress now
	InProgress int `json:"in_progress"` // requests
	Flows      int `json:"flows"`       // open flows
}

// BalancerCounts is the number of balancers by state.
type BalancerCounts struct {
	Serving int `json:"serving"`
	Leaving int `json:"leaving"`
	Silent  int `json:"silent"`
}

// Lag is a process whose generation in force is older than the newest.
type Lag struct {
	ID         string          `json:"id"`
	Role       membership.Role `json:"role"`
	Generation uint64          `json:"generation"`
	Silent     bool            `json:"silent"`
}

// Clock is a process whose clock offset exceeds the limit.
type Clock struct {
	ID     string        `json:"id"`
	Offset time.Duration `json:"offset"` // nanoseconds ahead of the median of peers
}
