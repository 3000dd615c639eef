package blackboard

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against a lost wake-up: a subscriber that reads the value after its last
// notification must see the last value that was set.
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

// Guards against an update that overwrites a newer value although its change
// function returned false.
func TestUpdateKeepsNewerValue(t *testing.T) {
	is := is.New(t)
	var e Entry[int]
	setIfHigher := func(n int) func(int) (int, bool) {
		return func(old int) (int, bool) { return n, n > old }
	}
	is.True(e.Update(setIfHigher(5)))
	is.True(!e.Update(setIfHigher(4)))
	is.Equal(e.Get(), 5)
}
