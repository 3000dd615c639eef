package blackboard

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against a lost wake-up: a subscriber that reads after its last
// notification must see the last value.
func TestSubscriberSeesTheLastValue(t *testing.T) {
	is := is.New(t)
	const last = 1000
	var e Entry[int]
	changed, cancel := e.Subscribe()
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 1; i <= last; i++ {
			e.Set(i)
		}
	})
	for e.Get() != last {
		<-changed
	}
	wg.Wait()
	is.Equal(e.Version(), uint64(last))
}

// Guards against an update that overwrites a newer value.
func TestUpdateKeepsNewerValue(t *testing.T) {
	is := is.New(t)
	var e Entry[int]
	higher := func(n int) func(int) (int, bool) {
		return func(old int) (int, bool) { return n, n > old }
	}
	is.True(e.Update(higher(5)))
	is.True(!e.Update(higher(4)))
	is.Equal(e.Get(), 5)
}
