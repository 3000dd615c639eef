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

// PlanInput is everything that a plan depends on.
type PlanInput struct {
	Now     time.Time
	Ring    *keyring.Ring
	View    config.View
	Members membership.Snapshot
	Mode    steering.Mode
	Policy  steering.Policy
}

// BuildPlan resolves configuration and membership into what the packet loops
// follow.
func BuildPlan(in PlanInput) Plan {
	p := Plan{Ring: in.Ring, Generation: in.View.Generation, Mode: in.Mode, Policy: in.Policy}
	indexes := map[string]uint8{}
	for _, d := range in.View.Domains {
		indexes[d.Name] = d.Index
		if since, out := in.View.DomainOut(d.Name); out {
			p.Domains[d.Index] = since.Add(steering.DomainCut).UnixNano()
		}
	}
	byService := map[string][]Candidate{}
	for _, m := range in.Members.Members {
		index, known := indexes[m.Domain]
		if m.Role != membership.RoleAgent || m.State == membership.StateGone || !known {
			continue
		}
		byService[m.Service] = append(byService[m.Service], candidate(in, m, index))
	}
	for _, s := range in.View.Services {
		agents := byService[s.Name]
		for i := range agents {
			agents[i].Weight = float64(s.Limits.Slots)
		}
		p.Services = append(p.Services, ServicePlan{Address: s.Address, Candidates: agents})
	}
	return p
}

func candidate(in PlanInput, m membership.Member, domain uint8) Candidate {
	return Candidate{
		ID:       m.ID,
		Tunnel:   m.Tunnel,
		Domain:   domain,
		Suspect:  m.Suspect(),
		Openings: takesOpenings(in, m),
	}
}

// fingerprint covers what a plan takes from membership. Load reports change
// members far more often than plans, and must not cause new ones.
func fingerprint(in PlanInput) uint64 {
	var h maphash.Hash
	h.SetSeed(fingerprintSeed)
	for _, m := range in.Members.Members {
		maphash.WriteComparable(&h, memberKey{
			id:       m.ID,
			service:  m.Service,
			domain:   m.Domain,
			tunnel:   m.Tunnel,
			state:    m.State,
			suspect:  m.Suspect(),
			openings: takesOpenings(in, m),
		})
	}
	return h.Sum64()
}

var fingerprintSeed = maphash.MakeSeed()

// memberKey is the part of a member that a plan depends on.
type memberKey struct {
	id, service, domain string
	tunnel              netip.AddrPort
	state               membership.State
	suspect, openings   bool
}

// agents returns the number of agents that openings can go to.
func (p Plan) agents() int {
	n := 0
	for _, s := range p.Services {
		for _, c := range s.Candidates {
			if c.Openings {
				n++
			}
		}
	}
	return n
}

// takesOpenings reports whether an agent may get new flows.
func takesOpenings(in PlanInput, m membership.Member) bool {
	if _, out := in.View.DomainOut(m.Domain); out {
		return false
	}
	if _, leaving := in.View.BackendLeaving(m.ID); leaving {
		return false
	}
	if m.State == membership.StateLeaving || !in.View.BackendJoined(m.ID) {
		return false
	}
	return !m.Suspect() || in.Now.Sub(m.SuspectSince) < excludeSuspectAfter
}
