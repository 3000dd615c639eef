// Package blackboard holds typed entries that controllers of one process read,
// write and subscribe to. It is the only shared state between controllers.
package blackboard

import "sync"

// Entry is one typed value. Values are replaced as a whole and must not be
// modified after they were set. The zero value holds T's zero value.
type Entry[T any] struct {
	mu          sync.Mutex
	value       T
	version     uint64
	subscribers map[int]chan struct{}
	nextID      int
}

// Get returns the current value.
func (e *Entry[T]) Get() T {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.value
}

// Set replaces the value and notifies subscribers.
func (e *Entry[T]) Set(value T) {
	e.Update(func(T) (T, bool) { return value, true })
}

// Update replaces the value with the result of change, atomically. If change
// returns false, the value stays and nobody is notified. It reports whether
// the value was replaced.
func (e *Entry[T]) Update(change func(T) (T, bool)) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	next, ok := change(e.value)
	if !ok {
		return false
	}
	e.value = next
	e.version++
	for _, ch := range e.subscribers {
		select {
		case ch <- struct{}{}:
		default: // a notification is already pending
		}
	}
	return true
}

// Version returns how often the value was replaced.
func (e *Entry[T]) Version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Subscribe returns a channel that gets a notification after the value was
// replaced, and a function that ends the subscription. Notifications are
// merged: a slow subscriber sees the latest value, not each one. The channel
// holds a notification from the start.
func (e *Entry[T]) Subscribe() (changed <-chan struct{}, cancel func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.subscribers == nil {
		e.subscribers = map[int]chan struct{}{}
	}
	id := e.nextID
	e.nextID++
	ch := make(chan struct{}, 1)
	ch <- struct{}{}
	e.subscribers[id] = ch
	return ch, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.subscribers, id)
	}
}
