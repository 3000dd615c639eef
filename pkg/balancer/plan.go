package balancer

import (
	"hash/maphash"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/steering"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// excludeSuspectAfter is how long an agent may be suspected before it gets no
// openings at all.
const excludeSuspectAfter = 30 * time.Second

// PlanInput holds the inputs of BuildPlan.
type PlanInput struct {
	Now     time.Time
	KeyRing *keyring.Ring
	View    config.View
	Members membership.Snapshot
	Mode    steering.Mode
	Policy  steering.Policy
}

// BuildPlan derives the plan for the packet loops from configuration and
// membership.
func BuildPlan(in PlanInput) Plan {
	p := Plan{KeyRing: in.KeyRing, Generation: in.View.Generation, Mode: in.Mode, Policy: in.Policy}
	domainIndexes := map[string]uint8{}
	for _, d := range in.View.Domains {
		domainIndexes[d.Name] = d.Index
		if since, out := in.View.DomainOut(d.Name); out {
			p.Domains[d.Index] = since.Add(steering.DomainDropDelay).UnixNano()
		}
	}
	candidates := map[string][]Candidate{}
	for _, m := range in.Members.Members {
		index, known := domainIndexes[m.Domain]
		if m.Role != membership.RoleAgent || m.State == membership.StateGone || !known {
			continue
		}
		candidates[m.Service] = append(candidates[m.Service], newCandidate(in, m, index))
	}
	for _, s := range in.View.Services {
		agents := candidates[s.Name]
		for i := range agents {
			agents[i].Weight = float64(s.Limits.Slots)
		}
		p.Services = append(p.Services, ServicePlan{Address: s.Address, Candidates: agents})
	}
	return p
}

func newCandidate(in PlanInput, m membership.Member, domain uint8) Candidate {
	return Candidate{
		ID:              m.ID,
		Tunnel:          m.Tunnel,
		Domain:          domain,
		Suspect:         m.IsSuspected(),
		AcceptsOpenings: acceptsOpenings(in, m),
	}
}

// fingerprint returns a hash of what a plan uses of membership. Load reports
// change members far more often than other changes do, and must not cause new
// plans.
func fingerprint(in PlanInput) uint64 {
	var h maphash.Hash
	h.SetSeed(fingerprintSeed)
	for _, m := range in.Members.Members {
		maphash.WriteComparable(&h, memberFields{
			id:              m.ID,
			service:         m.Service,
			domain:          m.Domain,
			tunnel:          m.Tunnel,
			state:           m.State,
			suspect:         m.IsSuspected(),
			acceptsOpenings: acceptsOpenings(in, m),
		})
	}
	return h.Sum64()
}

var fingerprintSeed = maphash.MakeSeed()

// memberFields holds the fields of a member that a plan depends on.
type memberFields struct {
	id, service, domain      string
	tunnel                   netip.AddrPort
	state                    membership.State
	suspect, acceptsOpenings bool
}

// candidateCount returns the number of agents that accept openings.
func (p Plan) candidateCount() int {
	n := 0
	for _, s := range p.Services {
		for _, c := range s.Candidates {
			if c.AcceptsOpenings {
				n++
			}
		}
	}
	return n
}

// acceptsOpenings reports whether an agent may get new flows.
func acceptsOpenings(in PlanInput, m membership.Member) bool {
	if _, out := in.View.DomainOut(m.Domain); out {
		return false
	}
	if _, leaving := in.View.BackendLeaving(m.ID); leaving {
		return false
	}
	if m.State == membership.StateLeaving || !in.View.BackendJoined(m.ID) {
		return false
	}
	return !m.IsSuspected() || in.Now.Sub(m.SuspectSince) < excludeSuspectAfter
}
