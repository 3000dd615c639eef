package flowgate

import (
	"slices"
	"time"
)

// idleLimit is the time for which flows may be idle, which each configuration sets anew. A
// flow is over only if it has exceeded the timeout of a configuration while that was in force,
// so flows are judged at the last time at which the configuration was known to be current: a
// later one that this process hasn't received yet may allow more.
type idleLimit struct {
	timeout     time.Duration // in force at confirmedAt, 0 if unknown
	confirmedAt time.Time     // zero if no timeout is known
	replaced    []replacedTimeout
}

// replacedTimeout is a timeout that is no longer in force. Packets that were sent while it was
// may still arrive.
type replacedTimeout struct {
	timeout    time.Duration
	replacedAt time.Time
}

// confirm records that a timeout was in force at the given time. A replaced timeout is kept for
// retention.
func (l *idleLimit) confirm(timeout time.Duration, at time.Time, retention time.Duration) {
	if timeout <= 0 || at.IsZero() {
		return // no timeout is known to be in force
	}
	if at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
	if timeout != l.timeout && l.timeout > 0 {
		l.replaced = append(l.replaced, replacedTimeout{l.timeout, l.confirmedAt})
	}
	l.timeout = timeout
	l.replaced = slices.DeleteFunc(l.replaced, func(r replacedTimeout) bool {
		return r.timeout <= timeout || l.confirmedAt.Sub(r.replacedAt) > retention
	})
}

// isExceeded reports whether a flow whose last packet was seen at lastSeen had been idle for
// longer than the timeout and margin when the timeout was last known to be in force. A timeout
// that was replaced within margin before counts as well.
func (l *idleLimit) isExceeded(lastSeen time.Time, margin time.Duration) bool {
	if l.confirmedAt.IsZero() {
		return false
	}
	longest := l.timeout
	for _, r := range l.replaced {
		if l.confirmedAt.Sub(r.replacedAt) <= margin {
			longest = max(longest, r.timeout)
		}
	}
	return l.confirmedAt.Sub(lastSeen) >= longest+margin
}
