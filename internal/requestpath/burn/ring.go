package burn

import "time"

// ring keeps the last size buckets of a fixed span. Bucket n covers the time
// from n*span on, so that the buckets of all processes line up.
type ring[T any] struct {
	span    time.Duration
	plus    func(T, T) T // returns the sum as a new value
	buckets []bucket[T]
}

type bucket[T any] struct {
	Index int64 `json:"i"` // start in Unix time divided by the span
	Value T     `json:"v"`
}

func newRing[T any](span, kept time.Duration, plus func(T, T) T) ring[T] {
	// One more bucket than fit, because the current one is not complete.
	return ring[T]{span, plus, make([]bucket[T], int(kept/span)+1)}
}

func (r *ring[T]) index(at time.Time) int64 {
	return at.UnixNano() / int64(r.span)
}

// add adds value to the bucket with the index. A bucket older than those kept,
// or before 1970, is ignored.
func (r *ring[T]) add(index int64, value T) {
	if index <= 0 {
		return
	}
	b := &r.buckets[int(index%int64(len(r.buckets)))]
	switch {
	case b.Index == index:
		b.Value = r.plus(b.Value, value)
	case b.Index < index:
		var zero T
		*b = bucket[T]{index, r.plus(zero, value)}
	}
}

// sum adds the current bucket and those that overlap the window before now.
func (r *ring[T]) sum(now time.Time, window time.Duration) T {
	var total T
	last := r.index(now)
	first := last - int64(window/r.span)
	for _, b := range r.buckets {
		if b.Index >= first && b.Index <= last && b.Index > 0 {
			total = r.plus(total, b.Value)
		}
	}
	return total
}

// at returns the value of the bucket with the index, zero if it holds nothing.
func (r *ring[T]) at(index int64) T {
	if index > 0 {
		if b := r.buckets[int(index%int64(len(r.buckets)))]; b.Index == index {
			return b.Value
		}
	}
	var zero T
	return zero
}

// used returns the buckets that hold something and are not older than those
// kept at the newest bucket.
func (r *ring[T]) used() []bucket[T] {
	var newest int64
	for _, b := range r.buckets {
		newest = max(newest, b.Index)
	}
	var out []bucket[T]
	for i := newest - int64(len(r.buckets)) + 1; i <= newest && newest > 0; i++ {
		if b := r.buckets[int(i%int64(len(r.buckets)))]; b.Index == i {
			out = append(out, b)
		}
	}
	return out
}
