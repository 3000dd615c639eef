package gate

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/burn"
	"github.com/knapweedpier/knapweedpier/standin/backend"
)

// Guards against a relayed request that is counted at both agents, and against
// a refusal that is counted without its kind.
func TestRequestsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, PolicyAdaptive, backend.Options{})
	f.members[0].state.Store(State{Leaving: true})
	is.Equal(f.members[0].call("GET", "/catalogue", "").status, http.StatusOK) // relayed
	f.members[1].state.Store(State{Leaving: true})
	is.Equal(f.members[0].call("GET", "/catalogue", "").kind(), "backend-leaving")
	m, peer := f.members[0].opts.Metrics, f.members[1].opts.Metrics
	is.Equal(m.Requests.Count(errkind.OutcomeDone), uint64(1))
	is.Equal(m.Refusals.Counts(), []metrics.KindCount{{Kind: errkind.BackendLeaving, Count: 1}})
	is.Equal(peer.Requests.Count(errkind.OutcomeDone), uint64(0))
	is.True(peer.RelaysIn.Count() > 0)
	is.True(m.RelaysOut.Count() > 0)
}

// BenchmarkAccount measures the cost of counting a request.
func BenchmarkAccount(b *testing.B) {
	f := newFleet(b, 1, PolicyAdaptive, backend.Options{})
	g := f.members[0].Gate
	g.opts.Burn = burn.NewTracker()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		req := &request{inbound: httptest.NewRequest("GET", "/", nil)}
		for pb.Next() {
			req.recordAnswer(0)
			g.countOutcome(req)
			req.counted = false
		}
	})
}

var errConnBroken = errors.New("connection broken")

// Guards against an interrupted feed whose flow counts as unbroken, and against
// an open feed that is counted only when it ends.
func TestBrokenFeedCountsAsBrokenFlow(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, PolicyAdaptive, backend.Options{})
	g := f.members[0].Gate
	var broken errkind.Kind
	g.opts.OnFeedBroken = func(_ context.Context, kind errkind.Kind) { broken = kind }
	r := httptest.NewRequest("GET", "/feed", nil)
	req := newRequest(httptest.NewRecorder(), r, f.service, false)
	defer req.end()
	req.recordAnswer(0)
	g.countFeedOpened(req)
	is.Equal(g.opts.Metrics.Feeds.Count(), int64(1))
	is.Equal(g.opts.Metrics.Requests.Count(errkind.OutcomeDone), uint64(1))
	g.recordBrokenAnswer(req, errConnBroken)
	g.countFeedClosed(req)
	g.countOutcome(req)
	is.Equal(broken, errkind.BackendLost)
	is.Equal(g.opts.Metrics.Feeds.Count(), int64(0))
	is.Equal(g.opts.Metrics.Requests.Count(errkind.OutcomeDone), uint64(1))
}
