// Package blackboard provides typed values that the controllers of one process
// read, replace and subscribe to. Controllers share no other state. The package
// imports no other package of this module.
package blackboard

import "sync"

// Entry holds one value of type T. The value is replaced as a whole and must not
// be modified after it was set. An Entry is safe for concurrent use; the zero
// Entry holds T's zero value.
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

// Update atomically replaces the value with the result of change. If change
// returns false, the value stays and no subscriber is notified. Update reports
// whether the value was replaced. change must not use the Entry, whose lock is
// held.
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

// Version returns how many times the value was replaced.
func (e *Entry[T]) Version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Subscribe returns a channel that receives a notification after the value was
// replaced, and a function that ends the subscription. Notifications are
// coalesced: a slow subscriber sees the latest value, not each one. The channel
// initially holds a notification.
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
