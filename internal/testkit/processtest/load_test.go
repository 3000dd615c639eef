//go:build linux

package processtest

import (
	"crypto/tls"
	"net/http"
	"syscall"
	"time"

	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

const (
	// loadDuration is longer than any test; tests end their loads.
	loadDuration = time.Minute
	// loadTimeout leaves room for the pauses that tests make.
	loadTimeout = 10 * time.Second
)

// load starts callers of a service that run until the test ends or finish is
// called.
func (s *site) load(service config.Service, rate float64) *caller.Load {
	s.t.Helper()
	l, err := caller.New(caller.Options{
		Duration: loadDuration, RequestTimeout: loadTimeout, Seed: uint64(s.network[1]),
		TLS: &tls.Config{RootCAs: s.cert.Pool, ServerName: serverName},
		Services: []caller.ServiceLoad{{
			Name: service.Name, Address: service.Address, FeedPath: service.FeedPaths[0],
			Callers: 4, Rate: rate, OrderShare: 0.3,
		}},
	})
	s.is.NoErr(err)
	l.Start(s.t.Context())
	s.t.Cleanup(l.Close)
	return l
}

// goesOn waits until a load has n further answers.
func (s *site) goesOn(l *caller.Load, n int) {
	s.t.Helper()
	_, answered := l.Progress()
	eventually(s.t, patience, "requests are answered", func() bool {
		_, now := l.Progress()
		return now >= answered+n
	})
}

// finish ends a load and checks that each request was answered or refused as
// not run, and that no flow was broken.
func (s *site) finish(l *caller.Load) {
	s.t.Helper()
	s.finishBut(l, "")
}

// finishBut is finish without the flows of a failure domain that was taken
// out, and the requests on them.
func (s *site) finishBut(l *caller.Load, domain string) {
	s.t.Helper()
	l.Close()
	ledger := l.Ledger()
	givenUp := func(flow int) bool {
		return domain != "" && flow != caller.NoFlow && ledger.Flows[flow].Domain == domain
	}
	for _, r := range ledger.Requests {
		if r.Outcome != caller.Done && r.Outcome != caller.NotRun && !givenUp(r.Flow) {
			s.t.Errorf("%s at %s: outcome %s after %s", r.Kind, r.At, r.Outcome, r.Latency)
		}
	}
	for _, f := range ledger.Flows {
		if len(f.Breaks()) > 0 && !givenUp(f.ID) {
			s.t.Errorf("flow %d to %s was broken: %s %s", f.ID, f.Backend, f.Reason, f.Detail)
		}
	}
}

// openAt opens flows until one ends at agent i.
func (s *site) openAt(i int) *flow {
	s.t.Helper()
	var f *flow
	eventually(s.t, patience, "a flow reaches "+s.backendID(i), func() bool {
		var err error
		if f, err = s.dial(s.service(i)); err != nil {
			return false
		}
		a, err := f.send(requestTimeout, http.MethodGet, "/catalogue?caller=test&n=0", "")
		return err == nil && a.header.Get(backendHeader) == s.backendID(i)
	})
	return f
}

// outage switches an outage of the platform on or off.
func (s *site) outage(on bool) {
	s.t.Helper()
	want := map[bool]string{true: "outage true", false: "outage false"}[on]
	before := count(s.platform, want)
	s.platform.signal(syscall.SIGUSR1)
	eventually(s.t, patience, "platform: "+want, func() bool { return count(s.platform, want) > before })
}
