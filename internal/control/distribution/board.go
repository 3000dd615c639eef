// Package distribution spreads the configuration and the membership among the
// processes of the fleet. Its controllers share a blackboard with the rest of
// the process.
package distribution

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/blackboard"
	"github.com/knapweedpier/knapweedpier/internal/control/isolation"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Board is the blackboard of one process. Only the controllers of this package
// write it.
type Board struct {
	Config            blackboard.Entry[*config.Config] // accepted, nil before the first
	View              blackboard.Entry[config.View]    // in force
	Members           blackboard.Entry[membership.Snapshot]
	Isolation         blackboard.Entry[isolation.Status]
	PlatformReachable blackboard.Entry[bool]          // by this process or, recently, by its peers
	PlatformSince     blackboard.Entry[time.Time]     // of the last change of PlatformReachable
	ClockOffset       blackboard.Entry[time.Duration] // of this host against the median of peers
}
