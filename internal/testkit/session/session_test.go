package session

import (
	"context"
	"flag"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/embedded/fleet"
	"github.com/knapweedpier/knapweedpier/internal/embedded/quickstart"
	"github.com/knapweedpier/knapweedpier/internal/testkit/golden"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const (
	// trafficBound is the longest time in which a failure domain that was taken
	// out may still get packets, and a leaving backend server new work.
	trafficBound = 5 * time.Second
	// waitLimit bounds waits for conditions that the design gives no bound for,
	// on a machine that is busy with other tests.
	waitLimit    = 60 * time.Second
	pollInterval = 20 * time.Millisecond

	backendsPerService = 3 // one in each failure domain
	callersPerService  = 6 // each with a feed
	requestTimeout     = 5 * time.Second
)

// sheetText is a sheet whose service addresses have a placeholder for the
// second byte.
const sheetText = `row,name,region,service,at,address,slots,connections,cold_slots,warm_up,feed_paths,request_timeout
domain,tr-centre,mauricie,,,,,,,,,
domain,cap-madeleine,mauricie,,,,,,,,,
domain,shawi,mauricie,,,,,,,,,
service,comptoir,,,,127.%[1]d.0.1:7001,9,2000,2,1s,/feed,5s
service,nuancier,,,,127.%[1]d.0.1:7002,9,2000,2,1s,/feed,5s
`

// session is a fleet under load, with the transcript of the steps of one test.
type session struct {
	t          *testing.T
	ctx        context.Context
	fleet      *fleet.Fleet
	startedAt  time.Time
	loads      []*caller.Load
	domainOuts []quickstart.DomainOut
	leaves     []quickstart.Leave
	lossReason string // why flows may break: a backend server or an agent was lost; else empty
	chosen     string // ID of the backend server that the steps act on
	transcript strings.Builder
}

// step is one action or check of a session. Its text is a line of the
// transcript.
type step struct {
	text string
	run  func(*session)
}

// sessionSemaphore bounds the sessions that run at the same time: without a
// limit, their fleets starve each other of CPU until requests miss their
// deadlines.
var sessionSemaphore = make(chan struct{}, maxConcurrentSessions)

// runSession runs the steps in a fleet under load and compares the transcript
// with testdata/NAME.golden. All addresses of the session are in
// 127.NETWORK.0.0/16; each session needs a network of its own, since sessions
// run in parallel.
func runSession(t *testing.T, network byte, name string, steps ...step) {
	t.Helper()
	t.Parallel()
	sessionSemaphore <- struct{}{}
	defer func() { <-sessionSemaphore }()
	f, err := fleet.New(fleet.Options{
		Sheet: fmt.Appendf(nil, sheetText, network), Policy: fleet.Full, Seed: uint64(network),
		Prefix: network, Backends: backendsPerService,
	})
	if err != nil {
		t.Fatal(err)
	}
	s := &session{t: t, ctx: t.Context(), fleet: f, startedAt: time.Now()}
	defer f.Close()
	if err := f.Start(s.ctx); err != nil {
		t.Fatal(err)
	}
	s.startCallers(callersPerService, callersPerService)
	defer s.closeLoads()
	for _, next := range append([]step{checkServing}, steps...) {
		s.record("%s", next.text)
		next.run(s)
	}
	s.recordSummary()
	golden.Compare(t, filepath.Join("testdata", name+".golden"), s.transcript.String(), *update)
}

// record writes a line to the transcript.
func (s *session) record(format string, a ...any) { fmt.Fprintf(&s.transcript, format+"\n", a...) }

func (s *session) requireNoError(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// eventually waits until a condition holds that the design gives no bound for.
// It fails the test after waitLimit.
func (s *session) eventually(what string, holds func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(waitLimit); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			s.t.Fatalf("not within %v: %s\ntranscript so far:\n%s", waitLimit, what, s.transcript.String())
		}
	}
}

// startCallers starts a load of the given number of callers and feeds of each
// service.
func (s *session) startCallers(count, feeds int) {
	opt := caller.Options{
		Seed: uint64(len(s.loads) + 1), Duration: 5 * time.Minute, TLS: s.fleet.TLS(),
		RequestTimeout: requestTimeout, RampUp: time.Second,
	}
	for _, t := range s.fleet.Targets() {
		l := t.Service
		l.Callers, l.Feeds, l.Rate, l.OrderShare = count, feeds, 5*float64(count), 0.3
		opt.Services = append(opt.Services, l)
	}
	load, err := caller.New(opt)
	s.requireNoError(err)
	load.Start(context.WithoutCancel(s.ctx))
	s.loads = append(s.loads, load)
}

func (s *session) closeLoads() {
	for _, l := range s.loads {
		l.Close()
	}
}

// ledger merges the ledgers of all loads.
func (s *session) ledger() caller.Ledger {
	var ledgers []caller.Ledger
	for _, load := range s.loads {
		ledgers = append(ledgers, load.Ledger())
	}
	return mergeLedgers(ledgers)
}

// mergeLedgers merges ledgers and renumbers their flows, so that a flow's ID
// remains its index.
func mergeLedgers(ledgers []caller.Ledger) caller.Ledger {
	var all caller.Ledger
	for _, l := range ledgers {
		firstFlow := len(all.Flows)
		for _, f := range l.Flows {
			f.ID += firstFlow
			all.Flows = append(all.Flows, f)
		}
		for _, r := range l.Requests {
			if r.Flow != caller.NoFlow {
				r.Flow += firstFlow
			}
			all.Requests = append(all.Requests, r)
		}
		all.Orders = append(all.Orders, l.Orders...)
		all.WrongAnswers += l.WrongAnswers
	}
	return all
}

// Guards against logs that name another flow than the one that broke: the IDs of
// flows must stay the indices that requests refer to.
func TestMergedFlowIDs(t *testing.T) {
	is := is.New(t)
	ledger := func(flows int) caller.Ledger {
		var l caller.Ledger
		for i := range flows {
			l.Flows = append(l.Flows, caller.Flow{ID: i})
			l.Requests = append(l.Requests, caller.Request{Flow: i}, caller.Request{Flow: caller.NoFlow})
		}
		return l
	}
	all := mergeLedgers([]caller.Ledger{ledger(3), ledger(2)})
	for i, f := range all.Flows {
		is.Equal(f.ID, i)
		is.Equal(all.Requests[2*i].Flow, i)
		is.Equal(all.Requests[2*i+1].Flow, caller.NoFlow)
	}
	is.Equal(len(all.Flows), 5)
}
