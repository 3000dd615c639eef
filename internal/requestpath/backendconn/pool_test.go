package backendconn

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/admission"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/standin/backend"
)

var limits = config.Limits{Slots: 9, ColdSlots: 2, WarmUp: 300 * time.Millisecond}

// testPool is a pool with its stand-in backend server.
type testPool struct {
	*Pool
	server *backend.Server
	lost   atomic.Int64
}

func newTestPool(t *testing.T, work time.Duration) *testPool {
	t.Helper()
	p := &testPool{server: backend.New(backend.Options{ID: "b1", WarmUp: limits.WarmUp, WorkMean: work, FeedInterval: 5 * time.Millisecond})}
	addr, err := p.server.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.Pool = newPool(addr, &p.lost)
	t.Cleanup(func() { p.Pool.Close(); p.server.Close() })
	return p
}

func newPool(addr netip.AddrPort, lost *atomic.Int64) *Pool {
	return New(Options{Backend: addr, Limits: func() config.Limits { return limits }, OnLost: func(error) { lost.Add(1) }})
}

// do sends one request and waits until its slot is released.
func (p *testPool) do(ctx context.Context, method, path, body string) (string, admission.Signal, error) {
	lease, err := p.Acquire(ctx)
	if err != nil {
		return "", 0, err
	}
	return send(ctx, lease, method, path, body)
}

// send sends a request over a leased connection.
func send(ctx context.Context, lease *Lease, method, path, body string) (string, admission.Signal, error) {
	req, err := http.NewRequest(method, "http://service"+path, strings.NewReader(body))
	if err != nil {
		return "", 0, err
	}
	freed := make(chan admission.Signal, 1)
	resp, err := lease.Do(ctx, Call{Request: req, OnRelease: func(s admission.Signal) { freed <- s }})
	if err != nil {
		return "", <-freed, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return string(got), <-freed, err
}

// Guards against a restarted backend server that receives more requests than its
// cold limit because the restart has not been detected yet, and against answers
// that reach another request.
func TestRestartsUnderLoadStayWithinCapacity(t *testing.T) {
	is := is.New(t)
	p := newTestPool(t, 3*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var answered, crossed atomic.Int64
	var wg sync.WaitGroup
	for caller := range 24 {
		wg.Go(func() {
			name := string(rune('a' + caller))
			for ctx.Err() == nil {
				got, _, err := p.do(ctx, "GET", "/catalogue?n=1&caller="+name, "")
				if errkind.Is(err, errkind.BackendFull) {
					time.Sleep(time.Millisecond)
				}
				if err != nil {
					continue
				}
				answered.Add(1)
				if !strings.Contains(got, `"caller":"`+name+`"`) {
					crossed.Add(1)
				}
			}
		})
	}
	random := rand.New(rand.NewPCG(7, 7))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		p.server.Restart()
	}
	wg.Wait()
	l := p.server.Ledger()
	t.Logf("%d answered, %d restarts, %d starts", answered.Load(), l.Restarts, len(l.Starts))
	is.Equal(l.OverCapacityStarts, 0)
	is.Equal(crossed.Load(), int64(0))
	is.Equal(p.InProgress(), 0)
	is.True(answered.Load() > 500)
}

// Guards against the loss of an idle connection that is detected only by the next
// request, and against a byte that is sent although BeforeFirstByte failed.
func TestIdleConnLossAndRejectedFirstByte(t *testing.T) {
	is := is.New(t)
	p := newTestPool(t, time.Millisecond)
	_, signal, err := p.do(context.Background(), "GET", "/catalogue", "")
	is.NoErr(err)
	is.Equal(signal, admission.Success)

	lease, err := p.Acquire(context.Background())
	is.NoErr(err)
	req, _ := http.NewRequest("POST", "http://service/orders", strings.NewReader(`{"order":"x"}`))
	_, err = lease.Do(context.Background(), Call{Request: req,
		BeforeFirstByte: func() error { return errors.New("fenced") }, OnRelease: func(admission.Signal) {}})
	var failed *Error
	is.True(errors.As(err, &failed))
	is.True(!failed.Sent && !failed.ConnLost)
	is.Equal(len(p.server.Ledger().Runs), 0)

	p.server.Restart()
	for end := time.Now().Add(time.Second); p.lost.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(p.lost.Load(), int64(1))
}

// Guards against a late answer that reaches another request, and against a
// slot that is released while a cancelled request still runs.
func TestDeadlineDiscardsLateAnswer(t *testing.T) {
	is := is.New(t)
	p := newTestPool(t, 30*time.Millisecond)
	for range 20 {
		// The connection is leased first: opening one takes longer than the
		// deadline on a busy machine.
		lease, err := p.Acquire(context.Background())
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Millisecond)
		_, signal, err := send(ctx, lease, "GET", "/catalogue?caller=late", "")
		cancel()
		if err != nil {
			is.Equal(signal, admission.Neutral)
			is.Equal(p.server.Ledger().InProgress, 0)
		}
		got, _, err := p.do(context.Background(), "GET", "/catalogue?caller=next", "")
		is.NoErr(err)
		is.True(strings.Contains(got, `"caller":"next"`))
	}
}

// Guards against an error that says that nothing was sent although a byte may
// have reached the backend server, and the reverse.
func TestErrorReportsWhetherBytesWereSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		c, err := l.Accept()
		if err == nil {
			c.Read(make([]byte, 1)) // one byte arrives, then the server fails
			c.Close()
		}
	}()
	var lost atomic.Int64
	p := &testPool{Pool: newPool(l.Addr().(*net.TCPAddr).AddrPort(), &lost)}
	_, signal, err := p.do(context.Background(), "POST", "/orders", "{}")
	var failed *Error
	is.True(errors.As(err, &failed))
	is.True(failed.Sent && failed.ConnLost)
	is.Equal(signal, admission.ConnectionLost)

	l.Close()
	_, _, err = p.do(context.Background(), "POST", "/orders", "{}")
	is.True(errkind.Is(err, errkind.BackendDown))
	is.Equal(lost.Load(), int64(1))
	is.Equal(p.InProgress(), 0)
}

// Guards against a burst after an idle period that is refused because no
// connection is old enough, and against probes that exceed the limit of a backend
// server in its cold start.
func TestKeepWarmKeepsAgedConnections(t *testing.T) {
	is := is.New(t)
	limits := config.Limits{Slots: 9, Connections: 2000, ColdSlots: 2, WarmUp: 300 * time.Millisecond}
	server := backend.New(backend.Options{Slots: limits.Slots, ColdSlots: limits.ColdSlots, WarmUp: limits.WarmUp})
	address, err := server.Start("127.0.0.1:0")
	is.NoErr(err)
	defer server.Close()
	p := New(Options{Backend: address, Limits: func() config.Limits { return limits }, OnLost: func(error) {}})
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var keepWarm sync.WaitGroup
	keepWarm.Go(func() { p.KeepWarm(ctx) })
	defer keepWarm.Wait()
	defer cancel()

	countLeases := func() int {
		var leases []*Lease
		for {
			lease, err := p.Acquire(ctx)
			if err != nil {
				break
			}
			leases = append(leases, lease)
		}
		for _, lease := range leases {
			lease.Release()
		}
		return len(leases)
	}
	waitUntilAdmitted := func(want int) {
		for deadline := time.Now().Add(10 * time.Second); countLeases() != want; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d requests are admitted, want %d", countLeases(), want)
			}
		}
	}
	waitUntilAdmitted(limits.Slots)
	server.Restart()
	waitUntilAdmitted(limits.ColdSlots)
	waitUntilAdmitted(limits.Slots)
	is.Equal(server.Ledger().OverCapacityStarts, 0)
}
