// Package status holds the typed messages of the status screen and builds them
// from what one process knows. It has no clock and opens nothing.
//
// Any process can answer for the fleet, because every process holds the
// membership and the configuration. Only the refusals come from the agents
// themselves, and Add merges them.
package status

import (
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/burn"
)

// Process is what one process says of itself. PlatformReachable holds also for
// a process that does not watch the platform itself, if the freshness stamp of
// its pulls shows that a partner reaches it.
type Process struct {
	ID                string              `json:"id"`
	Role              membership.Role     `json:"role"`
	Service           string              `json:"service,omitempty"` // of an agent
	Generation        uint64              `json:"generation"`        // in force
	PlatformReachable bool                `json:"platform_reachable"`
	PlatformSince     time.Time           `json:"platform_since"` // of the last change of PlatformReachable
	Refusals          []metrics.KindCount `json:"refusals"`       // since the process started
	Burn              burn.Message        `json:"burn"`
}

// Status is the state of the fleet as one process sees it.
type Status struct {
	At         time.Time      `json:"at"`
	Source     string         `json:"source"`     // ID of the process that answered
	Generation uint64         `json:"generation"` // newest known
	Platform   Platform       `json:"platform"`
	NextChange *time.Time     `json:"next_change,omitempty"` // when the next planned change is due
	Domains    []Domain       `json:"domains"`
	Services   []Service      `json:"services"`
	Balancers  BalancerCounts `json:"balancers"`
	Lagging    []Lag          `json:"lagging"` // by ID
	Clocks     []Clock        `json:"clocks"`  // over clockoffset.Limit, by ID
	WorstClock time.Duration  `json:"worst_clock"`
	Strays     []string       `json:"strays"` // IDs of agents whose service is not configured
}

// Platform says whether the source reaches the platform.
type Platform struct {
	Reachable bool      `json:"reachable"`
	Since     time.Time `json:"since"`
}

// Domain is a failure domain of the configuration.
type Domain struct {
	Name   string     `json:"name"`
	Region string     `json:"region"`
	Out    *time.Time `json:"out,omitempty"` // since when it is out
}

// Service is the state of one service.
type Service struct {
	Name         string              `json:"name"`
	Address      netip.AddrPort      `json:"address"`
	Down         bool                `json:"down"` // no backend server takes requests
	Domains      []ServiceDomain     `json:"domains"`
	Use          Use                 `json:"use"`           // of the backend servers that take requests
	LeavingFlows int                 `json:"leaving_flows"` // open flows of those that are leaving
	WarmLimit    int                 `json:"warm_limit"`    // requests in progress if those that take requests were warm
	Connections  int                 `json:"connections"`   // flows that those may have open
	Refusals     []metrics.KindCount `json:"refusals"`      // of the agents counted, since each started
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

// BackendCounts are backend servers by state.
type BackendCounts struct {
	Announced int `json:"announced"` // its planned join is not yet due
	Cold      int `json:"cold"`
	Warm      int `json:"warm"`
	Leaving   int `json:"leaving"`
	Silent    int `json:"silent"` // not heard from for 3 s
}

// Use is what backend servers have in progress against their limits.
type Use struct {
	Limit      int `json:"limit"`       // requests that may be in progress now
	InProgress int `json:"in_progress"` // requests
	Flows      int `json:"flows"`       // open flows
}

// BalancerCounts are balancers by state.
type BalancerCounts struct {
	Serving int `json:"serving"`
	Leaving int `json:"leaving"`
	Silent  int `json:"silent"`
}

// Lag is a process that has an older generation in force than the newest.
type Lag struct {
	ID         string          `json:"id"`
	Role       membership.Role `json:"role"`
	Generation uint64          `json:"generation"`
	Silent     bool            `json:"silent"`
}

// Clock is a process whose clock differs from its peers'.
type Clock struct {
	ID     string        `json:"id"`
	Offset time.Duration `json:"offset"` // nanoseconds ahead of the median of peers
}
