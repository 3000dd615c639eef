package quickstart

import (
	"fmt"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

// Bounds of the promises.
const (
	outBound     = 5 * time.Second // packets to a domain that is out
	leaveBound   = 5 * time.Second // new work at a leaving backend server
	inForceBound = 5 * time.Second // configuration in force everywhere
)

// Summary is the result of a run. Figures that could not be measured are 0.
type Summary struct {
	Requests                   int      `json:"requests"`
	Answered                   int      `json:"answered"`
	RefusedNotRun              int      `json:"refused_not_run"` // including those that no flow took
	OutcomeUnknown             int      `json:"outcome_unknown"` // including lost answers
	WrongAnswers               int      `json:"wrong_answers"`
	DuplicateRuns              int      `json:"duplicate_runs"`
	FalseNotRun                int      `json:"false_not_run"`
	BrokenFlows                int      `json:"broken_flows"`
	BrokenFlowDetails          []string `json:"broken_flow_details,omitempty"` // one for each broken flow
	FlowsEndedWithDomain       int      `json:"flows_ended_with_domain"`
	PacketsToOutDomainAfterS   float64  `json:"packets_to_out_domain_after_s"` // seconds
	ImbalanceMaxOverMean       float64  `json:"imbalance_max_over_mean"`       // of requests in progress
	OverCapacityStarts         int      `json:"over_capacity_starts"`
	ConfigInForceP99S          float64  `json:"config_in_force_p99_s"` // seconds
	ImbalanceFlowsMaxOverMean  float64  `json:"imbalance_flows_max_over_mean"`
	LatencyP99MS               float64  `json:"latency_p99_ms"` // milliseconds, of answered requests
	AnsweredShareOutsideDomain float64  `json:"answered_share_outside_domain"`
	Attempts                   int      `json:"attempts"` // the larger of callers' sends and backend servers' starts
	BrokenPromises             []string `json:"broken_promises"`
}

// Err returns an error of kind PromiseBroken if the run saw a broken promise.
func (s Summary) Err() error {
	if len(s.BrokenPromises) == 0 {
		return nil
	}
	return errkind.New(errkind.PromiseBroken, strings.Join(s.BrokenPromises, "; "))
}

// Join computes the summary of a run.
func Join(l Ledgers) Summary {
	s := Summary{WrongAnswers: l.Callers.WrongAnswers, BrokenPromises: []string{}}
	s.addRequests(l.Callers.Requests)
	s.addOrders(l)
	s.addFlows(l)
	for _, b := range l.Backends {
		s.OverCapacityStarts += b.OverCapacityStarts
	}
	s.PacketsToOutDomainAfterS = lastToOutDomain(l).Seconds()
	s.ImbalanceMaxOverMean = imbalance(l, requestsInProgress)
	s.ImbalanceFlowsMaxOverMean = imbalance(l, openFlows(l.Callers.Flows))
	delays := inForceDelays(l)
	s.ConfigInForceP99S = percentile99(delays)
	s.LatencyP99MS = percentile99(latencies(l.Callers.Requests))
	share, cut := outsideDomain(l)
	s.AnsweredShareOutsideDomain = share
	s.Attempts = attempts(l)
	s.judge(l, delays, cut)
	return s
}

func (s *Summary) addRequests(requests []caller.Request) {
	s.Requests = len(requests)
	for _, r := range requests {
		switch r.Outcome {
		case caller.Done:
			s.Answered++
		case caller.NotRun, caller.NotSent:
			s.RefusedNotRun++
		case caller.Unknown, caller.Lost:
			s.OutcomeUnknown++
		}
	}
}

// judge lists the broken promises by their numbers on the design page.
func (s *Summary) judge(l Ledgers, delays []float64, cut int) {
	s.breaks(1, s.BrokenFlows, "flows broken")
	s.breaks(3, s.OverCapacityStarts, "requests started above a backend server's capacity")
	if s.PacketsToOutDomainAfterS > outBound.Seconds() {
		s.BrokenPromises = append(s.BrokenPromises, fmt.Sprintf("promise 4: packets %.1f s after a failure domain was out", s.PacketsToOutDomainAfterS))
	}
	s.breaks(5, s.WrongAnswers, "wrong answers")
	s.breaks(6, s.FalseNotRun, "refusals said not-run falsely")
	s.breaks(7, s.DuplicateRuns, "duplicate runs of an order")
	s.breaks(8, lateStarts(l), "backend servers got new work long after leaving")
	s.breaks(9, cut, "requests cut off outside the failure domain")
	late := 0
	for _, d := range delays {
		if d > inForceBound.Seconds() {
			late++
		}
	}
	s.breaks(10, late+missing(l.InForce), "changes not in force in time at a process")
	s.breaks(10, l.Reverts, "configurations reverted")
}

func (s *Summary) breaks(promise, count int, what string) {
	if count > 0 {
		s.BrokenPromises = append(s.BrokenPromises, fmt.Sprintf("promise %d: %d %s", promise, count, what))
	}
}
