package quickstart

import (
	"fmt"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

// Bounds of promises 4, 8 and 10: the longest time from the effective time, or
// for inForceBound from acceptance if that is later.
const (
	domainOutPacketBound   = 5 * time.Second // until the last packet to a failure domain that is out
	newWorkAfterLeaveBound = 5 * time.Second // until the last new work at a leaving backend server
	inForceBound           = 5 * time.Second // until the configuration is in force everywhere
)

// Summary is the result of a run. Figures that could not be measured are 0.
type Summary struct {
	Requests                   int      `json:"requests"`
	Answered                   int      `json:"answered"`
	RefusedNotRun              int      `json:"refused_not_run"` // including those not sent because there was no flow
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

// Err returns an error of kind PromiseBroken if a promise was broken, and nil
// otherwise.
func (s Summary) Err() error {
	if len(s.BrokenPromises) == 0 {
		return nil
	}
	return errkind.New(errkind.PromiseBroken, strings.Join(s.BrokenPromises, "; "))
}

// Summarize computes the summary of a run from its ledgers.
func Summarize(l Ledgers) Summary {
	s := Summary{WrongAnswers: l.Callers.WrongAnswers, BrokenPromises: []string{}}
	s.addRequests(l.Callers.Requests)
	s.addOrders(l)
	s.addFlows(l)
	for _, b := range l.Backends {
		s.OverCapacityStarts += b.OverCapacityStarts
	}
	s.PacketsToOutDomainAfterS = lastActivityInOutDomain(l).Seconds()
	s.ImbalanceMaxOverMean = imbalance(l, inProgressAverage)
	s.ImbalanceFlowsMaxOverMean = imbalance(l, openFlowsAverage(l.Callers.Flows))
	delays := inForceDelaysSeconds(l)
	s.ConfigInForceP99S = percentile99(delays)
	s.LatencyP99MS = percentile99(answeredLatenciesMS(l.Callers.Requests))
	share, lost := answersOutsideOutDomains(l)
	s.AnsweredShareOutsideDomain = share
	s.Attempts = countAttempts(l)
	s.addBrokenPromises(l, delays, lost)
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

// addBrokenPromises adds the broken promises, with their numbers in
// docs/design.md. lost is the number of requests outside failure domains that
// were out whose answer was lost.
func (s *Summary) addBrokenPromises(l Ledgers, delays []float64, lost int) {
	s.addBrokenPromise(1, s.BrokenFlows, "flows broken")
	s.addBrokenPromise(3, s.OverCapacityStarts, "requests started above a backend server's capacity")
	if s.PacketsToOutDomainAfterS > domainOutPacketBound.Seconds() {
		s.BrokenPromises = append(s.BrokenPromises, fmt.Sprintf("promise 4: packets %.1f s after a failure domain was out", s.PacketsToOutDomainAfterS))
	}
	s.addBrokenPromise(5, s.WrongAnswers, "wrong answers")
	s.addBrokenPromise(6, s.FalseNotRun, "refusals said not-run falsely")
	s.addBrokenPromise(7, s.DuplicateRuns, "duplicate runs of an order")
	s.addBrokenPromise(8, countLateStarts(l), "backend servers got new work long after leaving")
	s.addBrokenPromise(9, lost, "requests cut off outside the failure domain")
	late := 0
	for _, d := range delays {
		if d > inForceBound.Seconds() {
			late++
		}
	}
	s.addBrokenPromise(10, late+countNeverInForce(l.InForce), "changes not in force in time at a process")
	s.addBrokenPromise(10, l.Reverts, "configurations reverted")
}

// addBrokenPromise adds a broken promise if count is above 0.
func (s *Summary) addBrokenPromise(promise, count int, violation string) {
	if count > 0 {
		s.BrokenPromises = append(s.BrokenPromises, fmt.Sprintf("promise %d: %d %s", promise, count, violation))
	}
}
