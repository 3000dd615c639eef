package quickstart

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

// Guards against a plan that leaves a service without a backend server, that
// brings a failure domain back before its packets are dropped, or that differs
// between two calls with the same seed.
func TestMakePlan(t *testing.T) {
	backend := rapid.Custom(func(t *rapid.T) BackendInfo {
		return BackendInfo{
			ID:      rapid.StringMatching("[a-z0-9]{8}").Draw(t, "id"),
			Service: rapid.SampledFrom([]string{"comptoir", "nuancier"}).Draw(t, "service"),
			Domain:  rapid.SampledFrom([]string{"tr-centre", "cap-madeleine", "shawi"}).Draw(t, "domain"),
		}
	})
	proptest.Check(t, func(t *rapid.T) {
		roster := Roster{Balancers: []string{"x", "y", "z"}}
		roster.Backends = rapid.SliceOfNDistinct(backend, 1, 12, func(b BackendInfo) string { return b.ID }).Draw(t, "backends")
		seed := rapid.Uint64().Draw(t, "seed")
		duration := time.Duration(rapid.IntRange(10, 600).Draw(t, "seconds")) * time.Second
		steps, err := MakePlan(duration, seed, roster)
		if err != nil {
			if !errkind.Is(err, errkind.SettingInvalid) || len(possibleWithdrawals(roster.Backends)) > 0 {
				t.Fatal(err)
			}
			return
		}
		again, _ := MakePlan(duration, seed, roster)
		if !reflect.DeepEqual(steps, again) {
			t.Fatal("two plans with the same seed differ")
		}
		if !slices.IsSortedFunc(steps, func(a, b Step) int { return int(a.After - b.After) }) || steps[3].After > duration {
			t.Fatalf("expected steps in ascending order and within the duration, got %v", steps)
		}
		if steps[3].After-steps[2].After < 3500*time.Millisecond || steps[3].Subject != steps[2].Subject {
			t.Fatalf("expected one failure domain to be out for at least 3.5 s, got %v", steps)
		}
		for _, service := range []string{"comptoir", "nuancier"} {
			in := func(b BackendInfo) bool { return b.Service == service }
			stays := func(b BackendInfo) bool {
				return in(b) && b.Domain != steps[2].Subject && b.ID != steps[1].Subject
			}
			if slices.ContainsFunc(roster.Backends, in) && !slices.ContainsFunc(roster.Backends, stays) {
				t.Fatalf("service %s keeps no backend server with the steps %v", service, steps)
			}
		}
	})
}

// scriptedFleet records the calls of its methods, and fails the one named by
// failingCall. Nothing listens at its service address.
type scriptedFleet struct {
	calls       []string
	failingCall string
}

func (f *scriptedFleet) call(name string) error {
	f.calls = append(f.calls, name)
	if name == f.failingCall {
		return errkind.New(errkind.Internal, name)
	}
	return nil
}

func (f *scriptedFleet) Start(context.Context) error { return f.call("start") }
func (f *scriptedFleet) Roster() Roster              { return Roster{Balancers: []string{"x", "y"}} }
func (f *scriptedFleet) TLS() *tls.Config            { return &tls.Config{} }
func (f *scriptedFleet) Close() error                { return f.call("close") }
func (f *scriptedFleet) Targets() []ServiceTarget {
	service := caller.ServiceLoad{Name: "comptoir", Address: netip.MustParseAddrPort("127.0.0.1:9")}
	return []ServiceTarget{{Service: service, Backends: 1, CapacityPerSecond: 100}}
}
func (f *scriptedFleet) StartBalancer(context.Context) (string, error) {
	return "z", f.call("start z")
}
func (f *scriptedFleet) StopBalancer(_ context.Context, id string) error { return f.call("stop " + id) }
func (f *scriptedFleet) LeaveBackend(_ context.Context, id string) (time.Time, error) {
	return at(3), f.call("leave " + id)
}
func (f *scriptedFleet) TakeDomainOut(_ context.Context, d string) (time.Time, error) {
	return at(10), f.call("out " + d)
}
func (f *scriptedFleet) BringDomainBack(_ context.Context, d string) (time.Time, error) {
	return at(20), f.call("back " + d)
}
func (f *scriptedFleet) Ledgers() FleetLedgers {
	return FleetLedgers{LastPacket: func(_ string, out Interval) time.Time { return out.To }}
}

func newRun(f *scriptedFleet, out *bytes.Buffer) *run {
	return &run{fleet: f, opt: Options{Duration: 400 * time.Millisecond, Load: 0.5, RequestTimeout: time.Millisecond, Progress: out}, startedAt: time.Now()}
}

var steps = []Step{
	{10 * time.Millisecond, StepReplaceBalancer, "x"},
	{20 * time.Millisecond, StepLeaveBackend, "b"},
	{30 * time.Millisecond, StepDomainOut, "shawi"},
	{40 * time.Millisecond, StepDomainBack, "shawi"},
}

// Guards against steps that are made out of order, and against effective times
// that are missing from the ledgers.
func TestStepsRunInOrderAndRecorded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	f := &scriptedFleet{}
	r := newRun(f, &out)
	is.NoErr(r.runUnderLoad(t.Context(), steps))
	is.Equal(f.calls, []string{"stop x", "start z", "leave b", "out shawi", "back shawi"})
	l := r.collectLedgers()
	is.Equal(l.DomainOuts, []DomainOut{{"shawi", during(10, 20), at(20)}})
	is.Equal(l.Leaves, []Leave{{"b", at(3)}})
	s := Summarize(l)
	is.True(s.Requests > 0)
	is.Equal(s.RefusedNotRun, s.Requests) // nothing listens at the service address
	is.True(strings.Contains(out.String(), "domain-out shawi"))
}

// Guards against a run that continues after a failed step, and against a fleet
// that is not closed after invalid options or an impossible plan.
func TestFailedStepEndsRun(t *testing.T) {
	is := is.New(t)
	for i, failingCall := range []string{"stop x", "start z", "leave b", "out shawi", "back shawi"} {
		f := &scriptedFleet{failingCall: failingCall}
		is.True(newRun(f, &bytes.Buffer{}).runUnderLoad(t.Context(), steps) != nil)
		is.Equal(len(f.calls), i+1)
	}
	for _, opt := range []Options{{Load: 0, Duration: DefaultDuration}, {Load: 1, Duration: time.Second}, {Load: 1, Duration: DefaultDuration}} {
		opt.Progress = &bytes.Buffer{}
		f := &scriptedFleet{}
		_, err := Run(t.Context(), f, opt)
		is.True(errkind.Is(err, errkind.SettingInvalid))
		is.Equal(fmt.Sprint(f.calls), "[close]")
	}
}
