package backend

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

func start(t *testing.T, opts Options) (*Server, string) {
	t.Helper()
	s := New(opts)
	addr, err := s.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s, "http://" + addr.String()
}

func postOrder(url, id string) (int, error) {
	resp, err := http.Post(url+"/orders", "application/json", strings.NewReader(`{"order":"`+id+`"}`))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Guards against a ledger that misses starts above the true capacity or counts
// requests wrongly: tests of the load balancer would then not notice that it
// exceeds a backend server's limit.
func TestLedgerCountsOverload(t *testing.T) {
	is := is.New(t)
	s, url := start(t, Options{ID: "b1", WarmUp: time.Hour, WorkMean: 200 * time.Millisecond, Seed: 3})
	from := time.Now()
	var wg sync.WaitGroup
	for _, id := range []string{"a", "b", "c", "d", "d"} {
		wg.Go(func() { postOrder(url, id) })
	}
	wg.Wait()
	l := s.Ledger()
	is.Equal(l.Runs["d"], 2)
	is.Equal(len(l.Starts), 5)
	is.True(l.OverCapacityStarts >= 1) // five concurrent requests for two cold slots
	is.Equal(l.InProgress, 0)
	average := l.InProgressAverage(from, time.Now())
	is.True(average > 0 && average < 5)
}

// Guards against a restart that leaves connections open or the server warm, and
// against new requests that run while the server drains.
func TestRestartAndDrain(t *testing.T) {
	is := is.New(t)
	s, url := start(t, Options{ID: "b1", WarmUp: 50 * time.Millisecond, FeedInterval: 10 * time.Millisecond})
	time.Sleep(60 * time.Millisecond)
	is.Equal(s.currentLoad(), Load{Slots: 9})
	resp, err := http.Get(url + "/feed")
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(s.Ledger().FeedsOpen, 1)
	s.Restart()
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
	is.True(s.currentLoad().Cold)

	s.Drain()
	status, err := postOrder(url, "x")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(s.Ledger().Runs["x"], 0)
}

// Guards against a server that still accepts connections when Close has returned, because the
// goroutine that serves had not begun: a request on such a connection is lost in place of refused.
func TestClosedServerRefusesConnections(t *testing.T) {
	for range 200 {
		s := New(Options{})
		addr, err := s.Start("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = s.Close()
		if conn, err := net.Dial("tcp", addr.String()); err == nil {
			_ = conn.Close()
			t.Fatal("a closed server accepted a connection")
		}
	}
}
