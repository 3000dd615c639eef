package metrics

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Guards against allocations for each packet or request, which would make the
// cost of forwarding depend on the garbage collector.
func TestUpdatesDoNotAllocate(t *testing.T) {
	is := is.New(t)
	r := New()
	b, a := NewBalancer(r), NewAgent(r)
	allocs := testing.AllocsPerRun(1000, func() {
		b.Forward.Inc(1)
		b.Drop(errkind.PacketUnsteerable)
		a.Requests.Inc(errkind.OutcomeDone)
		a.Refusals.Inc(errkind.BackendFull)
		a.Latency.Update(1500)
		a.Limit.Update(9)
	})
	is.Equal(allocs, 0.0)
}

// Guards against a count that is lost because its kind is outside the range of
// the counter.
func TestUnexpectedKindCountsAsInternal(t *testing.T) {
	is := is.New(t)
	b := NewBalancer(New())
	b.Drop(errkind.TunnelTag)
	b.Drop(errkind.TunnelTag)
	b.Drop(errkind.BackendFull) // not a packet kind
	is.Equal(b.Drops.Counts(), []KindCount{{errkind.TunnelTag, 2}, {errkind.Internal, 1}})
	a := NewAgent(New())
	a.Requests.Inc("unheard of")
	is.Equal(a.Requests.Count(errkind.OutcomeUnknown), uint64(1))
}

// Guards against roles that cannot share a registry because their metric names
// collide, and against registering a role twice, which would split its counts.
func TestMetricNamesAreDistinct(t *testing.T) {
	is := is.New(t)
	r := New()
	NewBalancer(r)
	NewAgent(r)
	NewControl(r)
	defer func() { is.True(recover() != nil) }()
	NewControl(r)
}

func serveGet(h http.Handler, path, accept string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodGet, path, nil)
	req.Header.Set("Accept", accept)
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, req)
	return rec
}

// Guards against an ops endpoint that omits a metric or reports 200 while the
// process is unhealthy.
func TestHandler(t *testing.T) {
	is := is.New(t)
	r := New()
	a := NewAgent(r)
	a.Refusals.Inc(errkind.BackendFull)
	a.Latency.Update(2000)
	var healthErr error
	h := Handler(r, func() error { return healthErr })

	var metrics map[string]map[string]any
	is.NoErr(json.Unmarshal(serveGet(h, "/metrics", "").Body.Bytes(), &metrics))
	is.Equal(len(metrics), len(r.entries))
	is.Equal(metrics["agent.refusals.backend-full"]["count"], 1.0)

	text := serveGet(h, "/metrics", "text/plain").Body.String()
	is.True(strings.Contains(text, "\nknapweedpier_agent_refusals{kind=\"backend-full\"} 1\n"))
	is.True(strings.Contains(text, "\nknapweedpier_agent_latency_us{quantile=\"0.99\"} 2000\n"))
	is.Equal(strings.Count(text, "# TYPE knapweedpier_agent_refusals "), 1)

	is.Equal(serveGet(h, "/healthz", "").Code, http.StatusOK)
	healthErr = errkind.New(errkind.PacketIsolated, "no contact to peers")
	rec := serveGet(h, "/healthz", "")
	is.Equal(rec.Code, http.StatusServiceUnavailable)
	is.True(strings.Contains(rec.Body.String(), "packet-isolated"))
}

// Guards against an ops endpoint that does not shut down, and against a port
// that is already in use without an error.
func TestServerOpensAndCloses(t *testing.T) {
	is := is.New(t)
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), Handler(New(), func() error { return nil }))
	is.NoErr(err)
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve() }()
	_, err = Listen(s.Addr(), nil)
	is.True(errkind.Is(err, errkind.SettingInvalid))
	response, err := http.Get("http://" + s.Addr().String() + "/healthz")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(s.Close(t.Context()))
	is.NoErr(<-serveErr)
}
