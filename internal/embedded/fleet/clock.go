package fleet

import (
	"sync"
	"time"
)

// pausableClock simulates a paused process: while it is paused, readers block,
// and afterwards they read the real time, so they see that time has passed.
type pausableClock struct {
	pauseLock sync.RWMutex // locked for writing while paused
}

func (c *pausableClock) now() time.Time {
	c.pauseLock.RLock()
	defer c.pauseLock.RUnlock()
	return time.Now()
}
