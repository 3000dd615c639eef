package burn

import "time"

// bucketRing is a circular buffer of the latest buckets, each of which covers
// one span of time. Bucket n starts at n*span in Unix time, so that the buckets
// of all processes have the same boundaries.
type bucketRing[T any] struct {
	span    time.Duration
	combine func(T, T) T // returns the sum of two values as a new value
	buckets []bucket[T]
}

type bucket[T any] struct {
	Index int64 `json:"i"` // start in Unix time divided by the span
	Value T     `json:"v"`
}

func newBucketRing[T any](span, retention time.Duration, combine func(T, T) T) bucketRing[T] {
	// One more bucket than fits into the retention, because the current bucket
	// is incomplete.
	return bucketRing[T]{span, combine, make([]bucket[T], int(retention/span)+1)}
}

func (r *bucketRing[T]) index(at time.Time) int64 {
	return at.UnixNano() / int64(r.span)
}

// add adds value to the bucket with the index. It ignores a bucket that is older
// than the retained ones or starts before 1970.
func (r *bucketRing[T]) add(index int64, value T) {
	if index <= 0 {
		return
	}
	b := &r.buckets[int(index%int64(len(r.buckets)))]
	switch {
	case b.Index == index:
		b.Value = r.combine(b.Value, value)
	case b.Index < index:
		var zero T
		*b = bucket[T]{index, r.combine(zero, value)}
	}
}

// sum returns the sum of the current bucket and of all buckets that overlap the
// window before now.
func (r *bucketRing[T]) sum(now time.Time, window time.Duration) T {
	var total T
	last := r.index(now)
	first := last - int64(window/r.span)
	for _, b := range r.buckets {
		if b.Index >= first && b.Index <= last && b.Index > 0 {
			total = r.combine(total, b.Value)
		}
	}
	return total
}

// value returns the value of the bucket with the index, or the zero value if the
// bucket is empty or not retained.
func (r *bucketRing[T]) value(index int64) T {
	if index > 0 {
		if b := r.buckets[int(index%int64(len(r.buckets)))]; b.Index == index {
			return b.Value
		}
	}
	var zero T
	return zero
}

// nonEmpty returns the buckets that are not empty, oldest first. Buckets that are
// too old relative to the newest one are left out.
func (r *bucketRing[T]) nonEmpty() []bucket[T] {
	var newest int64
	for _, b := range r.buckets {
		newest = max(newest, b.Index)
	}
	var buckets []bucket[T]
	for i := newest - int64(len(r.buckets)) + 1; i <= newest && newest > 0; i++ {
		if b := r.buckets[int(i%int64(len(r.buckets)))]; b.Index == i {
			buckets = append(buckets, b)
		}
	}
	return buckets
}
