package follow

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/suspension"
)

// clockTolerance is the least difference between the ages of a stamp by its two clocks that shows
// a step: they are read one after the other, in whole milliseconds.
const clockTolerance = 10 * time.Millisecond

// stamp is a time that a later process on the same machine can read, by two clocks.
type stamp struct {
	wallMS int64 // time of day in Unix milliseconds, 0 if unknown
	bootMS int64 // milliseconds since the start of the machine, 0 if unknown
}

// stampOf returns the stamp of a time of this process, rounded up: rounded down, it would name a
// time before it.
func stampOf(t time.Time) stamp {
	sinceBoot := suspension.SinceBoot() - time.Since(t)
	return stamp{wallMS: t.Add(time.Millisecond - 1).UnixMilli(), bootMS: max(0, (sinceBoot + time.Millisecond - 1).Milliseconds())}
}

// isKnown reports whether s names a time.
func (s stamp) isKnown() bool { return s.wallMS > 0 }

// resolve returns the time of the stamp on the steady clock, which is the later one if the time of day has been stepped
// forward since. If the machine has started anew, only the time of day is known.
func (s stamp) resolve(now time.Time) time.Time {
	age := now.Sub(time.UnixMilli(s.wallMS))
	if s.bootMS > 0 {
		sinceBoot := suspension.SinceBoot() - time.Duration(s.bootMS)*time.Millisecond
		if sinceBoot >= 0 && sinceBoot < age-clockTolerance {
			age = sinceBoot
		}
	}
	return now.Add(-age)
}
