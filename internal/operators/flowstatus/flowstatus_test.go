package flowstatus

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// Guards against a service that is shown as up although all its backend servers
// are leaving, evacuated, or behind agents that don't answer.
func TestServiceWithoutTakingBackendsIsDown(t *testing.T) {
	is := is.New(t)
	v := view.View{
		Configuration: view.Configuration{Version: 7, Services: map[string]view.Service{"comptoir": {}, "nuancier": {}, "empty": {}}},
		Evacuations:   view.Evacuations{Domains: map[string]bool{"shawi": true}},
		Members: view.Members{ByName: map[string]view.Member{
			"agent-1":    {Role: view.AgentRole, Domain: "centre", Service: "comptoir", Slots: 9, State: view.Ready},
			"agent-2":    {Role: view.AgentRole, Domain: "centre", Service: "nuancier", Slots: 9, State: view.Leaving},
			"agent-3":    {Role: view.AgentRole, Domain: "shawi", Service: "nuancier", Slots: 9, State: view.Ready},
			"agent-4":    {Role: view.AgentRole, Domain: "centre", Service: "nuancier", Slots: 9, State: view.Ready},
			"balancer-1": {Role: view.BalancerRole, Domain: "centre"},
		}},
	}
	reached := Process{Reached: true, ViewAge: 40 * time.Millisecond, Source: "balancer-1"}
	s := Build(v, map[string]Process{
		"agent-1": reached, "agent-2": reached, "agent-3": reached, "balancer-1": {Reached: true, ViewAge: time.Second},
	})
	is.Equal(s.Down(), []string{"empty", "nuancier"})
	is.Equal(s.Services[0], Service{Name: "comptoir", Taking: 1, Slots: 9})
	is.Equal(s.Services[2], Service{Name: "nuancier", Leaving: 1, Out: 1, Silent: 1})
	is.Equal(s.Silent, []string{"agent-4"})
	is.Equal(s.Unsourced, []string{"balancer-1"})
	var out bytes.Buffer
	is.NoErr(s.Write(&out))
	for _, want := range []string{"configuration 7", "views up to 1000 ms old", "DOWN", "evacuated: shawi", "silent: agent-4", "not current: balancer-1"} {
		is.True(strings.Contains(out.String(), want))
	}
}
