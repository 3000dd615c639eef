package quickstart

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

var epoch = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func during(from, to float64) Interval { return Interval{at(from), at(to)} }

// Guards against counting a true not-run refusal as false or the reverse, and
// against missing a duplicate run. The outcome and run of each ticket are drawn
// at random, and the expected counts follow from the draw.
func TestOrderOutcomesComparedWithRuns(t *testing.T) {
	tickets := []struct {
		reported caller.Outcome
		ran      bool
	}{{caller.Done, true}, {caller.Lost, true}, {caller.Unknown, true}, {caller.NotRun, false}, {caller.NotRun, true}}
	proptest.Check(t, func(t *rapid.T) {
		l := Ledgers{Backends: []BackendLedger{{Runs: map[string]int{}}, {Runs: map[string]int{}}}}
		duplicates, falseRefusals := 0, 0
		for i := range rapid.IntRange(0, 20).Draw(t, "orders") {
			order, runs := caller.Order{ID: fmt.Sprint(i)}, 0
			for n, kind := range rapid.SliceOfN(rapid.SampledFrom(tickets), 1, 3).Draw(t, "tickets") {
				if rapid.Bool().Draw(t, "lost first") {
					order.Attempts = append(order.Attempts, caller.Attempt{Ticket: n, Outcome: caller.Lost})
				}
				order.Attempts = append(order.Attempts, caller.Attempt{Ticket: n, Outcome: kind.reported})
				if kind.ran {
					runs++
					l.Backends[rapid.IntRange(0, 1).Draw(t, "backend")].Runs[order.ID]++
				}
				if kind.ran && kind.reported == caller.NotRun {
					falseRefusals++
				}
			}
			duplicates += max(runs-1, 0)
			l.Callers.Orders = append(l.Callers.Orders, order)
		}
		s := Summarize(l)
		if s.DuplicateRuns != duplicates || s.FalseNotRun != falseRefusals || s.WrongAnswers != 0 {
			t.Fatalf("expected %d duplicate runs and %d false refusals, got %+v", duplicates, falseRefusals, s)
		}
	})
}

// Guards against overlooking an order that was answered without a run or that ran
// although it was never sent, and against counting more false refusals than there
// were refusals.
func TestOrderOutcomesContradictingRuns(t *testing.T) {
	is := is.New(t)
	s := Summarize(Ledgers{
		Callers: caller.Ledger{Orders: []caller.Order{
			{ID: "a", Attempts: []caller.Attempt{{Ticket: 1, Outcome: caller.Done}}},
			{ID: "b"},
			{ID: "c", Attempts: []caller.Attempt{{Ticket: 1, Outcome: caller.NotRun}, {Ticket: 2, Outcome: caller.Done}}},
		}},
		Backends: []BackendLedger{{Runs: map[string]int{"b": 1, "c": 3}}},
	})
	is.Equal(s.WrongAnswers, 1)
	is.Equal(s.FalseNotRun, 2) // at most one for each refusal
	is.Equal(s.DuplicateRuns, 2)
	is.Equal(len(s.BrokenPromises), 3)
}

// Guards against a request that is counted twice or not at all.
func TestEveryRequestIsCountedOnce(t *testing.T) {
	outcomes := []caller.Outcome{caller.Done, caller.NotRun, caller.NotSent, caller.Unknown, caller.Lost, caller.WrongAnswer}
	proptest.Check(t, func(t *rapid.T) {
		var l Ledgers
		sends := 0
		for _, outcome := range rapid.SliceOf(rapid.SampledFrom(outcomes)).Draw(t, "outcomes") {
			n := rapid.IntRange(0, 3).Draw(t, "attempts")
			sends += n
			l.Callers.Requests = append(l.Callers.Requests, caller.Request{Outcome: outcome, Attempts: n, Flow: caller.NoFlow})
			if outcome == caller.WrongAnswer {
				l.Callers.WrongAnswers++
			}
		}
		s := Summarize(l)
		if s.Requests != s.Answered+s.RefusedNotRun+s.OutcomeUnknown+s.WrongAnswers || s.Attempts != sends {
			t.Fatalf("outcomes do not add up to the requests, or attempts to those sent: %+v", s)
		}
	})
}

// Guards against an imbalance that is lowered or raised by backend servers that
// are cold, leaving, or in a failure domain that is out.
func TestImbalance(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		var l Ledgers
		l.MeasuredInterval = during(0, 12)
		l.DomainOuts = []DomainOut{{Domain: "out", During: Interval{From: at(5)}}}
		l.Leaves = []Leave{{"leaving", at(4)}}
		levels := rapid.SliceOfN(rapid.Float64Range(0.5, 9), 2, 8).Draw(t, "levels")
		add := func(id, domain string, level float64, warm Interval) {
			l.Backends = append(l.Backends, BackendLedger{
				ID: id, Service: "comptoir", Domain: domain, Warm: []Interval{warm},
				InProgressAverage: func(_, _ time.Time) float64 { return level },
			})
		}
		sum, highest := 0.0, 0.0
		for i, level := range levels {
			add(fmt.Sprint(i), "in", level, during(0, 20))
			sum, highest = sum+level, max(highest, level)
			for range int(level * 10) {
				l.Callers.Flows = append(l.Callers.Flows, caller.Flow{Backend: fmt.Sprint(i), OpenedAt: at(-1)})
			}
		}
		add("cold", "in", 0, during(3, 7))
		add("leaving", "in", 99, during(0, 20))
		add("gone", "out", 99, during(0, 20))
		l.MeasuredInterval.From = at(3)
		want := highest * float64(len(levels)) / sum
		if got := imbalance(l, inProgressAverage); math.Abs(got-want) > 1e-9 {
			t.Fatalf("requests in progress: got %g, expected %g", got, want)
		}
		if got := imbalance(l, openFlowsAverage(l.Callers.Flows)); math.Abs(got-want) > 0.2*want {
			t.Fatalf("flows: got %g, expected about %g", got, want)
		}
	})
}

// Guards against counting a flow as ended with its failure domain if it broke in
// another domain, before the domain went out, or was opened after it was back, and
// against counting a flow that ended with its domain as broken.
func TestFlowEndsAttributedToDomainOut(t *testing.T) {
	is := is.New(t)
	out := DomainOut{Domain: "shawi", During: during(10, 20)}
	flow := func(domain string, opened, ended float64, reason caller.Reason) caller.Flow {
		return caller.Flow{Domain: domain, OpenedAt: at(opened), EndedAt: at(ended), Reason: reason, Answers: 1}
	}
	cases := []struct {
		flow          caller.Flow
		broken, ended int
	}{
		{flow("shawi", 1, 12, caller.ApplicationError), 0, 1},
		{flow("shawi", 1, 11, caller.Graceful), 0, 1},
		{flow("shawi", 1, 24, caller.IdleTimeout), 0, 1}, // the idle timeout notices the end after the domain is back
		{flow("shawi", 1, 9, caller.ApplicationError), 1, 0},
		{flow("shawi", 21, 24, caller.ApplicationError), 1, 0},
		{flow("tr-centre", 1, 12, caller.StatelessReset), 1, 0},
		{flow("tr-centre", 1, 12, caller.Graceful), 0, 0},
		{flow("tr-centre", 1, 30, caller.CallerClosed), 0, 0},
		{caller.Flow{Domain: "tr-centre", Answers: 1, Feeds: []*caller.Feed{{Reason: caller.FeedCut, EndedAt: at(12)}}}, 1, 0},
		{caller.Flow{Reason: caller.ApplicationError}, 0, 0}, // never established
	}
	for _, c := range cases {
		s := Summarize(Ledgers{Callers: caller.Ledger{Flows: []caller.Flow{c.flow}}, DomainOuts: []DomainOut{out}})
		is.Equal(s.BrokenFlows, c.broken)
		is.Equal(s.FlowsEndedWithDomain, c.ended)
	}
}

// Guards against a bound that is not checked: a run just outside the bounds of
// promises 4, 8 and 10 breaks each of them, and a run just inside breaks none.
func TestPromiseBounds(t *testing.T) {
	is := is.New(t)
	run := func(slack float64) Summary {
		return Summarize(Ledgers{
			Callers: caller.Ledger{
				Flows: []caller.Flow{{Domain: "shawi"}, {Domain: "tr-centre"}},
				Requests: []caller.Request{
					{At: at(9), Latency: 2 * time.Second, Outcome: caller.Lost, Flow: 0},
					{At: at(9), Latency: time.Second / 2, Outcome: caller.Done, Flow: 1},
				},
			},
			Backends: []BackendLedger{
				{ID: "a", Domain: "shawi", Starts: []time.Time{at(9), at(10 + slack)}},
				{ID: "b", Domain: "tr-centre", Starts: []time.Time{at(3 + slack)}},
			},
			DomainOuts: []DomainOut{{Domain: "shawi", During: during(10, 20), LastPacket: at(12)}},
			Leaves:     []Leave{{"b", at(3)}},
			InForce:    []InForceRecord{{Accepted: at(1), Effective: at(2), At: at(2 + slack)}, {Accepted: at(4), At: at(4)}},
		})
	}
	good := run(4.9)
	is.Equal(good.BrokenPromises, []string{})
	is.NoErr(good.Err())
	is.Equal(good.AnsweredShareOutsideDomain, 1.0)
	is.Equal(good.LatencyP99MS, 500.0)
	is.True(math.Abs(good.ConfigInForceP99S-4.9) < 1e-6)
	is.True(math.Abs(good.PacketsToOutDomainAfterS-4.9) < 1e-6)
	bad := run(5.1)
	is.Equal(len(bad.BrokenPromises), 3)
	for i, promise := range []string{"promise 4", "promise 8", "promise 10"} {
		is.True(strings.HasPrefix(bad.BrokenPromises[i], promise))
	}
	is.True(bad.Err() != nil)
}

// Guards against a renamed, missing or additional field of the JSON summary.
func TestSummaryFields(t *testing.T) {
	is := is.New(t)
	data, err := json.Marshal(Summarize(Ledgers{}))
	is.NoErr(err)
	var fields map[string]any
	is.NoErr(json.Unmarshal(data, &fields))
	names := strings.Fields(`requests answered refused_not_run outcome_unknown wrong_answers duplicate_runs
		false_not_run broken_flows flows_ended_with_domain packets_to_out_domain_after_s
		imbalance_max_over_mean over_capacity_starts config_in_force_p99_s imbalance_flows_max_over_mean
		latency_p99_ms answered_share_outside_domain attempts broken_promises`)
	is.Equal(len(fields), len(names))
	for _, name := range names {
		_, ok := fields[name]
		is.True(ok)
	}
}
