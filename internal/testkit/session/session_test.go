package session

import (
	"context"
	"flag"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/embedded/fleet"
	"github.com/knapweedpier/knapweedpier/internal/embedded/quickstart"
	"github.com/knapweedpier/knapweedpier/internal/testkit/golden"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const (
	// bound is the time after which a failure domain that is out gets no
	// packets and a leaving backend server no new work.
	bound = 5 * time.Second
	// waitLimit is for what has no bound, on a machine that is busy with other
	// tests.
	waitLimit = 60 * time.Second
	poll      = 20 * time.Millisecond

	backends       = 3 // of each service, one in each failure domain
	callers        = 6 // of each service, each with a feed
	requestTimeout = 5 * time.Second
)

const sheetText = `row,name,region,service,at,address,slots,connections,cold_slots,warm_up,feed_paths,request_timeout
domain,tr-centre,mauricie,,,,,,,,,
domain,cap-madeleine,mauricie,,,,,,,,,
domain,shawi,mauricie,,,,,,,,,
service,comptoir,,,,127.%[1]d.0.1:7001,9,2000,2,1s,/feed,5s
service,nuancier,,,,127.%[1]d.0.1:7002,9,2000,2,1s,/feed,5s
`

// session is a fleet under load and the transcript of what happens to it.
type session struct {
	t      *testing.T
	ctx    context.Context
	fleet  *fleet.Fleet
	began  time.Time
	loads  []*caller.Load
	outs   []quickstart.DomainOut
	leaves []quickstart.Leave
	lost   string // why flows may break: a backend server or an agent is lost
	chosen string // backend server that the session is about
	text   strings.Builder
}

// step is one act or observation of a session.
type step struct {
	text string
	run  func(*session)
}

// running bounds the sessions at once, whose fleets would otherwise starve each
// other of CPU until requests miss their deadlines.
var running = make(chan struct{}, atOnce)

// play runs a session and compares its transcript with the golden file of its
// name. Each session has a network of its own.
func play(t *testing.T, network byte, name string, steps ...step) {
	t.Helper()
	t.Parallel()
	running <- struct{}{}
	defer func() { <-running }()
	f, err := fleet.New(fleet.Options{
		Sheet: fmt.Appendf(nil, sheetText, network), Policy: fleet.Full, Seed: uint64(network),
		Prefix: network, Backends: backends,
	})
	if err != nil {
		t.Fatal(err)
	}
	s := &session{t: t, ctx: t.Context(), fleet: f, began: time.Now()}
	defer f.Close()
	if err := f.Start(s.ctx); err != nil {
		t.Fatal(err)
	}
	s.call(callers, callers)
	defer s.hangUp()
	for _, st := range append([]step{working}, steps...) {
		s.say("%s", st.text)
		st.run(s)
	}
	s.end()
	golden.Compare(t, filepath.Join("testdata", name+".golden"), s.text.String(), *update)
}

func (s *session) say(format string, args ...any) { fmt.Fprintf(&s.text, format+"\n", args...) }

func (s *session) check(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// until waits for a condition that has no bound.
func (s *session) until(what string, cond func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitLimit); !cond(); time.Sleep(poll) {
		if time.Now().After(end) {
			s.t.Fatalf("not within %v: %s\ntranscript so far:\n%s", waitLimit, what, s.text.String())
		}
	}
}

// call starts callers of each service.
func (s *session) call(count, feeds int) {
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
	s.check(err)
	load.Start(context.WithoutCancel(s.ctx))
	s.loads = append(s.loads, load)
}

func (s *session) hangUp() {
	for _, l := range s.loads {
		l.Close()
	}
}

// ledger joins what all callers saw.
func (s *session) ledger() caller.Ledger {
	var all caller.Ledger
	for _, load := range s.loads {
		l := load.Ledger()
		for _, f := range l.Flows {
			f.ID += len(all.Flows)
			all.Flows = append(all.Flows, f)
		}
		first := len(all.Flows) - len(l.Flows)
		for _, r := range l.Requests {
			if r.Flow != caller.NoFlow {
				r.Flow += first
			}
			all.Requests = append(all.Requests, r)
		}
		all.Orders = append(all.Orders, l.Orders...)
		all.WrongAnswers += l.WrongAnswers
	}
	return all
}
