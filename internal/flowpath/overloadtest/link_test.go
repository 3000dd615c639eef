package overloadtest

import (
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxQueueTime is how long a link needs to send a full queue. What comes then is dropped.
	maxQueueTime = 500 * time.Millisecond
	// hostDelay is the time that a message takes from one host to another beside the queues.
	hostDelay = time.Millisecond
	// datagramOverhead is the length of the IP and UDP headers.
	datagramOverhead = 28
)

type event struct {
	at       time.Duration
	sequence int // orders events of the same time
	do       func()
}

// clock runs events in the order of their time, without real time.
type clock struct {
	now      time.Duration
	sequence int
	events   []*event
}

func (c *clock) Len() int { return len(c.events) }
func (c *clock) Less(i, j int) bool {
	a, b := c.events[i], c.events[j]
	return a.at < b.at || (a.at == b.at && a.sequence < b.sequence)
}
func (c *clock) Swap(i, j int) { c.events[i], c.events[j] = c.events[j], c.events[i] }
func (c *clock) Push(e any)    { c.events = append(c.events, e.(*event)) }
func (c *clock) Pop() any {
	last := c.events[len(c.events)-1]
	c.events = c.events[:len(c.events)-1]
	return last
}

// after runs do when a time has passed.
func (c *clock) after(d time.Duration, do func()) {
	c.sequence++
	heap.Push(c, &event{at: c.now + d, sequence: c.sequence, do: do})
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at < end {
		e := heap.Pop(c).(*event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// link is one direction of the balancer's link: a queue with tail drop.
type link struct {
	clock  *clock
	rate   float64       // bytes per second
	freeAt time.Duration // when the queue is empty
	// offered is the number of bytes sent or dropped since the last call of takeTrace, by what
	// they were for.
	offered map[string]int
}

// send runs deliver when a datagram has arrived, unless the queue is full.
func (l *link) send(kind string, payload int, deliver func()) {
	size := payload + datagramOverhead
	l.offered[kind] += size
	l.freeAt = max(l.freeAt, l.clock.now)
	if l.freeAt-l.clock.now > maxQueueTime {
		l.offered["dropped"] += size
		return
	}
	l.freeAt += time.Duration(float64(size) / l.rate * float64(time.Second))
	l.clock.after(l.freeAt-l.clock.now+hostDelay, deliver)
}

// takeTrace describes what the link was offered since the last call, in kB by kind.
func (l *link) takeTrace() string {
	var text []string
	for _, kind := range slices.Sorted(maps.Keys(l.offered)) {
		text = append(text, fmt.Sprintf("%s %d", kind, l.offered[kind]/1000))
	}
	clear(l.offered)
	return strings.Join(text, ", ")
}
