package overloadtest

import (
	"cmp"
	"container/heap"
	"fmt"
	"time"
)

const (
	// maxQueueTime is how long a link needs to send a full queue. What comes then is dropped.
	maxQueueTime = 500 * time.Millisecond
	// hostDelay is the time that a message takes between two hosts, without queues.
	hostDelay = time.Millisecond
	// datagramOverhead is the length of the IP and UDP headers.
	datagramOverhead = 28
)

type event struct {
	at       time.Duration
	sequence int // orders events of the same time
	do       func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].sequence, q[j].sequence)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(*event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// clock runs events in the order of their time, without real time.
type clock struct {
	now      time.Duration
	sequence int
	events   eventQueue
}

// after runs do when a time has passed.
func (c *clock) after(d time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.events, &event{at: c.now + d, sequence: c.sequence, do: do})
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at < end {
		e := heap.Pop(&c.events).(*event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// link is one direction of the balancer's link: a queue with tail drop.
type link struct {
	clock  *clock
	rate   float64        // bytes per second
	freeAt time.Duration  // when the queue is empty
	sent   map[string]int // bytes since the last call of takeTrace by kind, with those that were dropped
}

// send runs deliver when a datagram has arrived, unless the queue is full.
func (l *link) send(kind string, payload int, deliver func()) {
	size := payload + datagramOverhead
	l.sent[kind] += size
	l.freeAt = max(l.freeAt, l.clock.now)
	if l.freeAt-l.clock.now > maxQueueTime {
		l.sent["dropped"] += size
		return
	}
	l.freeAt += time.Duration(float64(size) / l.rate * float64(time.Second))
	l.clock.after(l.freeAt-l.clock.now+hostDelay, deliver)
}

// takeTrace describes what was to be sent since the last call, by kind.
func (l *link) takeTrace() string {
	for kind := range l.sent {
		l.sent[kind] /= 1000
	}
	defer clear(l.sent)
	return fmt.Sprint(l.sent)
}
