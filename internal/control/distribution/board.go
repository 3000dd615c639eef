// Package distribution spreads the configuration and the membership records among
// the processes of the fleet: each process pulls changes from a few partners, and
// two balancers of each failure domain watch the platform. The rest of the process
// reads the results from a blackboard, Board; this package must not depend on the
// request path or the flow path.
package distribution

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/blackboard"
	"github.com/knapweedpier/knapweedpier/internal/control/isolation"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Board holds the control plane's state as the rest of the process sees it. Only
// the controllers of this package write to it.
type Board struct {
	Config                 blackboard.Entry[*config.Config] // last accepted, nil before the first
	View                   blackboard.Entry[config.View]    // of Config, with the planned changes that are due
	Members                blackboard.Entry[membership.Snapshot]
	Isolation              blackboard.Entry[isolation.Status]
	PlatformReachable      blackboard.Entry[bool]          // by this process or, within platformReachableWindow, by its peers
	PlatformReachableSince blackboard.Entry[time.Time]     // when PlatformReachable last changed
	ClockOffset            blackboard.Entry[time.Duration] // of this host from the median of its peers
}
