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
	// loadDuration is longer than any test: tests close their loads.
	loadDuration = time.Minute
	// loadTimeout is longer than the time for which tests stop a process.
	loadTimeout = 10 * time.Second
)

// startLoad starts callers of a service, which run until the test ends or
// finishLoad is called.
func (d *deployment) startLoad(service config.Service, rate float64) *caller.Load {
	d.t.Helper()
	l, err := caller.New(caller.Options{
		Duration: loadDuration, RequestTimeout: loadTimeout, Seed: uint64(d.network[1]),
		TLS: &tls.Config{RootCAs: d.cert.Pool, ServerName: serverName},
		Services: []caller.ServiceLoad{{
			Name: service.Name, Address: service.Address, FeedPath: service.FeedPaths[0],
			Callers: 4, Rate: rate, OrderShare: 0.3,
		}},
	})
	d.is.NoErr(err)
	l.Start(d.t.Context())
	d.t.Cleanup(l.Close)
	return l
}

// awaitAnswers waits until a load has received n further answers.
func (d *deployment) awaitAnswers(l *caller.Load, n int) {
	d.t.Helper()
	_, answered := l.Progress()
	eventually(d.t, waitLimit, "requests are answered", func() bool {
		_, now := l.Progress()
		return now >= answered+n
	})
}

// finishLoad closes a load and checks that each request was answered or refused
// as not run, and that no flow broke.
func (d *deployment) finishLoad(l *caller.Load) {
	d.t.Helper()
	d.finishLoadExcept(l, "")
}

// finishLoadExcept does the same as finishLoad, but leaves out the flows that
// ended in a failure domain that was taken out, and the requests on them.
func (d *deployment) finishLoadExcept(l *caller.Load, domain string) {
	d.t.Helper()
	l.Close()
	ledger := l.Ledger()
	isInDomain := func(flow int) bool {
		return domain != "" && flow != caller.NoFlow && ledger.Flows[flow].Domain == domain
	}
	for _, r := range ledger.Requests {
		if r.Outcome != caller.Done && r.Outcome != caller.NotRun && !isInDomain(r.Flow) {
			d.t.Errorf("%s at %s: outcome %s after %s", r.Kind, r.At, r.Outcome, r.Latency)
		}
	}
	for _, f := range ledger.Flows {
		if len(f.Breaks()) > 0 && !isInDomain(f.ID) {
			d.t.Errorf("flow %d to %s was broken: %s %s", f.ID, f.Backend, f.Reason, f.Detail)
		}
	}
}

// openToAgent opens flows until one is accepted by agent i.
func (d *deployment) openToAgent(i int) *flow {
	d.t.Helper()
	var f *flow
	eventually(d.t, waitLimit, "a flow reaches "+d.backendID(i), func() bool {
		var err error
		if f, err = d.dial(d.serviceAt(i)); err != nil {
			return false
		}
		a, err := f.send(requestTimeout, http.MethodGet, "/catalogue?caller=test&n=0", "")
		return err == nil && a.header.Get(backendHeader) == d.backendID(i)
	})
	return f
}

// setOutage begins or ends an outage of the platform.
func (d *deployment) setOutage(on bool) {
	d.t.Helper()
	want := map[bool]string{true: "outage true", false: "outage false"}[on]
	before := countOutput(d.platform, want)
	d.platform.signal(syscall.SIGUSR1)
	eventually(d.t, waitLimit, "platform: "+want, func() bool { return countOutput(d.platform, want) > before })
}
