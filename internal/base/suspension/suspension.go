// Package suspension measures times that include those for which the machine was suspended.
// The steady clock, by which the standard library measures durations, stands still meanwhile.
package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

// resolution is the shortest suspension that Total shows. It exceeds the time between two
// readings of a clock.
const resolution = 100 * time.Millisecond

// Total returns how long the machine has been suspended since its start, rounded to
// resolution; 0 if the system can't tell.
func Total() time.Duration {
	steady, err := read(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0
	}
	sinceBoot, err := read(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0
	}
	return (sinceBoot - steady).Round(resolution)
}

// SinceBoot returns the time since the start of the machine, which includes suspensions. It
// is the same for all processes of the machine and isn't stepped like the time of day; 0 if
// the system can't tell.
func SinceBoot() time.Duration {
	sinceBoot, err := read(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0
	}
	return sinceBoot
}

func read(clock int32) (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(clock, &t)
	return time.Duration(t.Nano()), err
}

// Mark is a time by the steady clock that can be corrected for later suspensions.
type Mark struct {
	at    time.Time
	total time.Duration // total suspension at that time
}

// Now returns the mark of the present time.
func Now() Mark { return Mark{at: time.Now(), total: Total()} }

// Time returns the time of the mark, earlier by the time for which the machine has been
// suspended since. Its age by the steady clock is thus its true age.
func (m Mark) Time() time.Time { return m.at.Add(m.total - Total()) }
