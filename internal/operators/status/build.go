package status

import (
	"slices"
	"strings"

	"github.com/knapweedpier/knapweedpier/internal/base/clockoffset"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Build builds the status from a process's own state, its membership and
// its configuration at view.At. It includes the refusals of source.
func Build(source Process, members membership.Snapshot, view config.View) Status {
	s := Status{
		At:         view.At,
		Source:     source.ID,
		Generation: newestGeneration(view.Generation, members),
		Platform:   Platform{source.PlatformReachable, source.PlatformReachableSince},
	}
	if next, ok := view.NextChange(); ok {
		s.NextChange = &next
	}
	for _, d := range view.Domains {
		s.Domains = append(s.Domains, domainStatus(view, d))
	}
	agents := agentsByService(members.Members)
	for _, service := range view.Services {
		s.Services = append(s.Services, serviceStatus(view, service, agents[service.Name]))
	}
	for _, m := range members.Members {
		s.addMember(m, view)
	}
	s.AddRefusals(source)
	return s
}

func newestGeneration(own uint64, members membership.Snapshot) uint64 {
	for _, m := range members.Members {
		own = max(own, m.Generation)
	}
	return own
}

func domainStatus(view config.View, d config.FailureDomain) Domain {
	out := Domain{Name: d.Name, Region: d.Region}
	if since, ok := view.DomainOut(d.Name); ok {
		out.Out = &since
	}
	return out
}

// addMember adds the data shown for processes of any role. Processes that were
// stopped deliberately are skipped.
func (s *Status) addMember(m membership.Member, view config.View) {
	if m.State == membership.StateGone {
		return
	}
	if m.Generation < s.Generation {
		s.Lagging = append(s.Lagging, Lag{m.ID, m.Role, m.Generation, m.IsSuspected()})
	}
	if m.ClockOffset.Abs() > s.WorstClock.Abs() {
		s.WorstClock = m.ClockOffset
	}
	if m.ClockOffset.Abs() > clockoffset.Limit {
		s.Clocks = append(s.Clocks, Clock{m.ID, m.ClockOffset})
	}
	if m.Role == membership.RoleBalancer {
		s.Balancers.add(m)
		return
	}
	if _, ok := view.Service(m.Service); !ok {
		s.UnconfiguredAgents = append(s.UnconfiguredAgents, m.ID)
	}
}

func (b *BalancerCounts) add(m membership.Member) {
	switch {
	case m.IsSuspected():
		b.Silent++
	case m.State == membership.StateLeaving:
		b.Leaving++
	default:
		b.Serving++
	}
}

// agentsByService groups the agents by service, without those that were stopped
// deliberately.
func agentsByService(members []membership.Member) map[string][]membership.Member {
	agents := map[string][]membership.Member{}
	for _, m := range members {
		if m.Role == membership.RoleAgent && m.State != membership.StateGone {
			agents[m.Service] = append(agents[m.Service], m)
		}
	}
	return agents
}

func serviceStatus(view config.View, service config.Service, agents []membership.Member) Service {
	s := Service{Name: service.Name, Address: service.Address, Down: true}
	for _, m := range agents {
		s.addAgent(m, view, service.Limits)
	}
	slices.SortFunc(s.Domains, func(a, b ServiceDomain) int { return strings.Compare(a.Name, b.Name) })
	return s
}

func (s *Service) addAgent(m membership.Member, view config.View, limits config.Limits) {
	d := s.domain(view, m.Domain)
	state := backendStateOf(m, view)
	s.NotCounted = append(s.NotCounted, m.ID)
	d.Backends.add(state)
	switch {
	case d.Out || state == silent:
	case state == leaving:
		s.LeavingFlows += m.Flows
	case state == cold || state == warm:
		s.Down = false
		d.Use.add(m)
		s.Use.add(m)
		s.WarmLimit += limits.Slots
		s.Connections += limits.Connections
	}
}

// domain returns the entry of a failure domain and adds it if it is missing. The
// pointer is valid until the next call.
func (s *Service) domain(view config.View, name string) *ServiceDomain {
	for i := range s.Domains {
		if s.Domains[i].Name == name {
			return &s.Domains[i]
		}
	}
	_, out := view.DomainOut(name)
	s.Domains = append(s.Domains, ServiceDomain{Name: name, Out: out})
	return &s.Domains[len(s.Domains)-1]
}

// backendState is the state under which a backend server is counted.
type backendState uint8

const (
	announced backendState = iota
	cold
	warm
	leaving
	silent
)

// backendStateOf returns the state of a backend server. silent takes precedence,
// because the last record of a silent process may be outdated.
func backendStateOf(m membership.Member, view config.View) backendState {
	_, planned := view.BackendLeaving(m.ID)
	switch {
	case m.IsSuspected():
		return silent
	case planned || m.State == membership.StateLeaving:
		return leaving
	case !view.BackendJoined(m.ID):
		return announced
	case m.State == membership.StateCold:
		return cold
	default:
		return warm
	}
}

func (b *BackendCounts) add(s backendState) {
	switch s {
	case announced:
		b.Announced++
	case cold:
		b.Cold++
	case warm:
		b.Warm++
	case leaving:
		b.Leaving++
	case silent:
		b.Silent++
	}
}

func (u *Use) add(m membership.Member) {
	u.Limit += m.Slots
	u.InProgress += m.InProgress
	u.Flows += m.Flows
}

// AddRefusals adds the refusals of an agent. It ignores a process that is not a
// known agent of a service or that was added before.
func (s *Status) AddRefusals(p Process) {
	for i := range s.Services {
		if s.Services[i].Name == p.Service {
			s.Services[i].addProcess(p)
		}
	}
}

func (s *Service) addProcess(p Process) {
	i := slices.Index(s.NotCounted, p.ID)
	if i < 0 {
		return
	}
	s.NotCounted = slices.Delete(s.NotCounted, i, i+1)
	s.Counted++
	for _, r := range p.Refusals {
		s.addRefusals(r)
	}
}

func (s *Service) addRefusals(r metrics.KindCount) {
	i, found := slices.BinarySearchFunc(s.Refusals, r, func(a, b metrics.KindCount) int { return int(a.Kind) - int(b.Kind) })
	if found {
		s.Refusals[i].Count += r.Count
		return
	}
	s.Refusals = slices.Insert(s.Refusals, i, r)
}

// ForService returns the status reduced to one service, and false if the service
// is not configured.
func (s Status) ForService(service string) (Status, bool) {
	i := slices.IndexFunc(s.Services, func(have Service) bool { return have.Name == service })
	if i < 0 {
		return s, false
	}
	s.Services = s.Services[i : i+1]
	return s, true
}

// Down returns the names of the services without a backend server that accepts
// requests.
func (s Status) Down() []string {
	var names []string
	for _, service := range s.Services {
		if service.Down {
			names = append(names, service.Name)
		}
	}
	return names
}
