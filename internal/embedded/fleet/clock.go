package fleet

import (
	"sync"
	"time"
)

// clock stands still while its process is frozen: whoever reads it waits, as
// a paused process does, and finds that time has passed meanwhile.
type clock struct {
	frozen sync.RWMutex
}

func (c *clock) now() time.Time {
	c.frozen.RLock()
	defer c.frozen.RUnlock()
	return time.Now()
}
