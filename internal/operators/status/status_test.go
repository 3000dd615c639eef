package status

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func drawMember(t *rapid.T, id string) membership.Member {
	m := membership.Member{Record: membership.Record{
		ID:         id,
		Role:       rapid.SampledFrom([]membership.Role{membership.RoleAgent, membership.RoleAgent, membership.RoleBalancer}).Draw(t, "role"),
		Service:    rapid.SampledFrom([]string{"comptoir", "nuancier", "unknown"}).Draw(t, "service"),
		Domain:     rapid.SampledFrom([]string{"tr-centre", "shawi"}).Draw(t, "domain"),
		State:      rapid.SampledFrom([]membership.State{membership.StateServing, membership.StateCold, membership.StateLeaving, membership.StateGone}).Draw(t, "state"),
		Generation: rapid.Uint64Range(1, 3).Draw(t, "generation"),
		Slots:      9,
	}}
	if rapid.Bool().Draw(t, "suspect") {
		m.SuspectSince = now.Add(-time.Second)
	}
	return m
}

// Guards against a process that is counted twice or not at all, and against a
// service that is shown as up although no backend server accepts its requests.
func TestEveryProcessIsCountedOnce(t *testing.T) {
	c := &config.Config{
		Generation: 2,
		Domains:    []config.FailureDomain{{Name: "tr-centre"}, {Name: "shawi", Index: 1}},
		Services:   []config.Service{{Name: "comptoir"}, {Name: "nuancier"}},
		Changes:    []config.PlannedChange{{Kind: config.DomainOut, Subject: "shawi", At: now, Generation: 2}},
	}
	proptest.Check(t, func(t *rapid.T) {
		var members membership.Snapshot
		live, takes := 0, map[string]bool{}
		for n := range rapid.IntRange(0, 12).Draw(t, "members") {
			m := drawMember(t, string(rune('a'+n)))
			members.Members = append(members.Members, m)
			if m.State != membership.StateGone {
				live++
			}
			if m.Role == membership.RoleAgent && !m.IsSuspected() && m.Domain == "tr-centre" &&
				(m.State == membership.StateServing || m.State == membership.StateCold) {
				takes[m.Service] = true
			}
		}
		s := Build(Process{ID: "x"}, members, c.View(now))
		counted := s.Balancers.Serving + s.Balancers.Leaving + s.Balancers.Silent + len(s.UnconfiguredAgents)
		for _, service := range s.Services {
			if service.Down == takes[service.Name] {
				t.Fatalf("%s: down is %v", service.Name, service.Down)
			}
			for _, d := range service.Domains {
				b := d.Backends
				counted += b.Announced + b.Cold + b.Warm + b.Leaving + b.Silent
			}
		}
		if counted != live {
			t.Fatalf("%d of %d processes counted", counted, live)
		}
	})
}

// Guards against refusals that are added twice when an agent answers twice, or
// that are added for a process that is not in the membership.
func TestAddCountsEachAgentOnce(t *testing.T) {
	is := is.New(t)
	c := &config.Config{Generation: 1, Services: []config.Service{{Name: "comptoir"}}}
	members := membership.Snapshot{Members: []membership.Member{
		{Record: membership.Record{ID: "a", Role: membership.RoleAgent, Service: "comptoir"}},
		{Record: membership.Record{ID: "b", Role: membership.RoleAgent, Service: "comptoir"}},
	}}
	refusals := []metrics.KindCount{{Kind: errkind.BackendFull, Count: 2}}
	s := Build(Process{ID: "a", Service: "comptoir", Refusals: refusals}, members, c.View(now))
	s.AddRefusals(Process{ID: "a", Service: "comptoir", Refusals: refusals})
	s.AddRefusals(Process{ID: "stranger", Service: "comptoir", Refusals: refusals})
	is.Equal(s.Services[0].Refusals, refusals)
	is.Equal(s.Services[0].NotCounted, []string{"b"})
	s.AddRefusals(Process{ID: "b", Service: "comptoir", Refusals: refusals})
	is.Equal(s.Services[0].Refusals[0].Count, uint64(4))
	is.Equal(s.Services[0].Counted, 2)
}
