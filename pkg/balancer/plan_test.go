package balancer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/steering"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func member(id, domain string, state membership.State) membership.Member {
	return membership.Member{Record: membership.Record{
		ID: id, Role: membership.RoleAgent, Service: "comptoir", Domain: domain, State: state,
		Tunnel: netip.MustParseAddrPort("127.0.0.9:9000"),
	}}
}

// Guards against openings to an agent that must not get new flows, and against
// an agent that gets none although it may.
func TestOpeningCandidates(t *testing.T) {
	c := &config.Config{
		Generation: 4,
		Domains:    []config.FailureDomain{{Name: "shawi", Region: "mauricie"}, {Name: "tr-centre", Region: "mauricie", Index: 1}},
		Services:   []config.Service{{Name: "comptoir", Address: netip.MustParseAddrPort("127.0.0.1:7001"), Limits: config.Limits{Slots: 9}}},
		Changes: []config.PlannedChange{
			{ID: "1", Kind: config.DomainOut, Subject: "shawi", At: start},
			{ID: "2", Kind: config.Leave, Subject: "leaver", Service: "comptoir", At: start},
			{ID: "3", Kind: config.Join, Subject: "joiner", Service: "comptoir", At: start.Add(time.Hour)},
		},
	}
	suspect := member("suspect", "tr-centre", membership.StateServing)
	suspect.SuspectSince = start.Add(-10 * time.Second)
	dead := suspect
	dead.ID, dead.SuspectSince = "dead", start.Add(-time.Minute)
	unknownDomain := member("stranger", "elsewhere", membership.StateServing)
	members := []membership.Member{
		member("in-out-domain", "shawi", membership.StateServing),
		member("leaver", "tr-centre", membership.StateServing),
		member("joiner", "tr-centre", membership.StateServing),
		member("stopping", "tr-centre", membership.StateLeaving),
		member("stopped", "tr-centre", membership.StateGone),
		member("cold", "tr-centre", membership.StateCold),
		member("serving", "tr-centre", membership.StateServing),
		suspect, dead, unknownDomain,
	}
	want := map[string]bool{
		"in-out-domain": false, "leaver": false, "joiner": false, "stopping": false,
		"cold": true, "serving": true, "suspect": true, "dead": false,
	}
	is := is.New(t)
	plan := BuildPlan(PlanInput{Now: start, View: c.View(start), Members: membership.Snapshot{Members: members}})
	got := map[string]bool{}
	for _, candidate := range plan.Services[0].Candidates {
		got[candidate.ID] = candidate.AcceptsOpenings
	}
	is.Equal(got, want)
	is.Equal(plan.Domains[0], start.Add(steering.DomainDropDelay).UnixNano())
	is.Equal(plan.Domains[1], int64(0))
	is.Equal(plan.Generation, uint64(4))
}
