package gate

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/standin/backend"
)

// Guards against a feed that is relayed although its own agent soon has a
// slot: it would break with the peer's failure domain and with the connection
// to the peer.
func TestFeedStaysAtItsAgent(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, Adaptive, backend.Options{WorkMean: time.Millisecond})
	a, b := f.members[0], f.members[1]
	release := a.occupy(9)
	ctx, cancel := context.WithCancel(t.Context())
	var feed sync.WaitGroup
	feed.Go(func() {
		defer func() { _ = recover() }() // the caller leaves
		a.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, "GET", "/feed", nil))
	})
	time.Sleep(50 * time.Millisecond)
	release()
	end := time.Now().Add(10 * time.Second)
	for a.server.Ledger().FeedsStarted+b.server.Ledger().FeedsStarted == 0 && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	cancel()
	feed.Wait()
	is.Equal(a.server.Ledger().FeedsStarted, 1)
}
