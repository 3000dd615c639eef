package configcheck

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

func testRoute(i int) Route {
	return Route{
		Name: fmt.Sprint("r-", i), Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(1000+i)),
		Priority: 1, Timeout: 2 * time.Second, Objective: 300 * time.Millisecond, Service: "a",
	}
}

// sound returns a configuration without findings.
func sound() Configuration {
	return Configuration{
		Version: 7, Routes: []Route{testRoute(0), testRoute(1), testRoute(2)},
		Services: []view.Service{{Name: "a", HealthPath: "/healthz", MaxFlows: 100, ColdPerSecond: 6.5}}, IdleTimeout: 15 * time.Second,
	}
}

func lines[T fmt.Stringer](list []T) []string {
	var texts []string
	for _, v := range list {
		texts = append(texts, v.String())
	}
	return texts
}

// Guards against a fault that isn't found, is found at another place or with another severity,
// and against findings where there is no fault.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(c *Configuration)
		expected []string // beginnings of the findings
	}{
		{"sound", func(*Configuration) {}, nil},
		{"no routes", func(c *Configuration) { c.Routes = nil }, []string{`warning: routes: there are none`, `warning: services[0] "a": no route leads to it`}},
		{"negative idle timeout", func(c *Configuration) { c.IdleTimeout = -1 }, []string{`error: limits: the idle timeout`}},
		{"unusable address", func(c *Configuration) { c.Routes[1].AddressFault = "host is wrong" }, []string{`error: routes[1] "r-1": host is wrong, so the whole`}},
		{"port 0", func(c *Configuration) { c.Routes[1].Address = netip.MustParseAddrPort("198.18.0.1:0") }, []string{`error: routes[1] "r-1": can never match because its port is 0`}},
		{"same address three times", func(c *Configuration) {
			c.Routes[0].Address, c.Routes[1].Address = c.Routes[2].Address, c.Routes[2].Address
		}, []string{`error: routes[0] "r-0": can never match because routes[2] "r-2"`, `error: routes[1] "r-1": can never match because routes[2] "r-2"`}},
		{"same host, other port", func(c *Configuration) { c.Routes[1].Address = netip.MustParseAddrPort("198.18.0.2:1000") }, nil},
		{"two unusable addresses", func(c *Configuration) {
			for i := range 2 {
				c.Routes[i].Address, c.Routes[i].AddressFault = netip.AddrPort{}, "host is wrong"
			}
		}, []string{`error: routes[0] "r-0": host is wrong`, `error: routes[1] "r-1": host is wrong`}},
		{"duplicate names of routes", func(c *Configuration) { c.Routes[2].Name = "r-0" }, []string{`warning: routes[2] "r-0": has the same name as routes[0]`}},
		{"routes without names", func(c *Configuration) { c.Routes[1].Name, c.Routes[2].Name = "", "" }, []string{`warning: routes[1] "": has no name`, `warning: routes[2] "": has no name`}},
		{"no service", func(c *Configuration) { c.Routes[1].Service = "" }, []string{`error: routes[1] "r-1": has no service`}},
		{"unknown service", func(c *Configuration) { c.Routes[1].Service = "b" }, []string{`error: routes[1] "r-1": leads to the unknown service "b"`}},
		{"unknown service in a split", func(c *Configuration) { c.Routes[1].Split = []Share{{"a", 1}, {"b", 1}} }, []string{`error: routes[1] "r-1": leads to the unknown service "b"`}},
		{"unknown service with weight 0", func(c *Configuration) { c.Routes[1].Split = []Share{{"a", 1}, {"b", 0}} }, nil},
		{"unknown service hidden by a split", func(c *Configuration) {
			c.Routes[1].Service, c.Routes[1].Split = "b", []Share{{"a", 1}}
		}, nil},
		{"all weights 0", func(c *Configuration) { c.Routes[1].Split = []Share{{"a", 0}, {"a", 0}} }, []string{`error: routes[1] "r-1": no weight of its split is above 0`}},
		{"negative weight", func(c *Configuration) { c.Routes[1].Split = []Share{{"a", -1}, {"a", 3}} }, []string{`warning: routes[1] "r-1": the weight of service "a" is -1`}},
		{"objective above the timeout", func(c *Configuration) { c.Routes[1].Objective = 3 * time.Second }, []string{`error: routes[1] "r-1": the objective 3s is above the timeout, in place of which 2s is used`}},
		{"objective equal to the timeout", func(c *Configuration) { c.Routes[1].Objective = 2 * time.Second }, nil},
		{"no timeout", func(c *Configuration) { c.Routes[1].Timeout = 0 }, []string{`error: routes[1] "r-1": the timeout is 0s, in place of which 5s is used`}},
		{"no timeout, long objective", func(c *Configuration) { c.Routes[1].Timeout, c.Routes[1].Objective = 0, 8*time.Second }, []string{`error: routes[1] "r-1": the timeout is 0s, in place of which 8s is used`}},
		{"no objective", func(c *Configuration) { c.Routes[1].Objective = 0 }, []string{`warning: routes[1] "r-1": the objective is 0s`}},
		{"higher priority with a longer timeout", func(c *Configuration) {
			c.Routes[1].Priority, c.Routes[1].Timeout = 0, 5*time.Second
			c.Routes[2].Timeout = time.Second
		}, []string{`remark: routes[1] "r-1": has priority 0 but a longer timeout, 5s, than routes[2] "r-2" to the same service with priority 1, 1s`}},
		{"higher priority with a shorter timeout", func(c *Configuration) { c.Routes[1].Priority, c.Routes[1].Timeout = 0, time.Second }, nil},
		{"same priority, other timeouts", func(c *Configuration) { c.Routes[1].Timeout = 5 * time.Second }, nil},
		{"higher priority, other service", func(c *Configuration) {
			c.Routes[1].Priority, c.Routes[1].Timeout, c.Routes[1].Service = 0, 5*time.Second, "b"
			c.Services = append(c.Services, view.Service{Name: "b", MaxFlows: 1})
		}, nil},
		{"higher priority, both services shared", func(c *Configuration) {
			c.Services = append(c.Services, view.Service{Name: "b", MaxFlows: 1})
			for i := range c.Routes {
				c.Routes[i].Split = []Share{{"a", 1}, {"b", 1}}
			}
			c.Routes[1].Priority, c.Routes[1].Timeout = 0, 5*time.Second
		}, []string{`remark: routes[1] "r-1": has priority 0`}},
		{"service without a route", func(c *Configuration) { c.Services = append(c.Services, view.Service{Name: "b"}) }, []string{`warning: services[1] "b": no route leads to it`}},
		{"service with weight 0 only", func(c *Configuration) {
			c.Services = append(c.Services, view.Service{Name: "b"})
			c.Routes[0].Split = []Share{{"a", 1}, {"b", 0}}
		}, nil},
		{"no connections", func(c *Configuration) { c.Services[0].MaxFlows = 0 }, []string{`warning: services[0] "a": the maximum number of connections is 0`}},
		{"negative rates", func(c *Configuration) { c.Services[0].ColdPerSecond, c.Services[0].WarmUp = -1, -1 }, []string{`error: services[0] "a": the cold rate is -1`, `error: services[0] "a": the warm-up time`}},
		{"duplicate names of services", func(c *Configuration) { c.Services = append(c.Services, c.Services[0]) }, []string{`error: services[0] "a": has no effect because services[1]`}},
		{"service without a name", func(c *Configuration) { c.Services = append(c.Services, view.Service{}) }, []string{`error: services[1] "": has no name`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			configuration := sound()
			c.change(&configuration)
			got := lines(Check(configuration))
			same := len(got) == len(c.expected)
			for i := range got {
				same = same && strings.HasPrefix(got[i], c.expected[i])
			}
			if !same {
				t.Errorf("found:\n%s\nexpected:\n%s", strings.Join(got, "\n"), strings.Join(c.expected, "\n"))
			}
		})
	}
}

// Guards against an exit code that warnings and remarks change.
func TestCountErrors(t *testing.T) {
	is := is.New(t)
	is.Equal(CountErrors([]Finding{{Severity: Warning}, {Severity: Remark}, {Severity: Error}, {Severity: Error}}), 2)
}

// Guards against a version that the store has or had already.
func TestCheckVersion(t *testing.T) {
	is := is.New(t)
	for next, findings := range map[int64]int{6: 1, 7: 1, 8: 0} {
		is.Equal(len(CheckVersion(sound(), Configuration{Version: next})), findings)
	}
}

// Guards against a change that isn't shown, or is shown as a drop and an addition, and against
// routes that are taken for others of the same name.
func TestCompare(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(c *Configuration)
		expected []string
	}{
		{"nothing", func(c *Configuration) { c.Version = 8 }, nil},
		{"other order", func(c *Configuration) { c.Routes[0], c.Routes[2] = c.Routes[2], c.Routes[0] }, nil},
		{"each field of a route", func(c *Configuration) {
			c.Routes[1] = Route{
				Name: "r-1", Address: netip.MustParseAddrPort("198.18.0.9:80"), Type: "download", Priority: 2, Timeout: time.Second,
				Objective: 200 * time.Millisecond, Split: []Share{{"a", 1}, {"b", 2}},
			}
		}, []string{`~ route "r-1": address 198.18.0.1:1001 -> 198.18.0.9:80, type none -> download, priority 1 -> 2, timeout 2s -> 1s, objective 300ms -> 200ms, service a -> none, split none -> a:1 b:2`}},
		{"each field of a service", func(c *Configuration) {
			c.Services[0] = view.Service{Name: "a", HealthPath: "/up", MaxFlows: 5, WarmUp: time.Second, ColdPerSecond: 0.5}
		}, []string{`~ service "a": health path /healthz -> /up, maximum connections 100 -> 5, warm-up time 0s -> 1s, cold rate 6.5 -> 0.5`}},
		{"limits", func(c *Configuration) { c.IdleTimeout = 0 }, []string{`~ limits: idle timeout 15s -> 0s`}},
		{"added and dropped", func(c *Configuration) { c.Routes[0].Name = "new" }, []string{
			`+ route "new": address 198.18.0.1:1000, priority 1, timeout 2s, objective 300ms, service a`,
			`- route "r-0": address 198.18.0.1:1000, priority 1, timeout 2s, objective 300ms, service a`,
		}},
		{"one more of the same name", func(c *Configuration) {
			again := testRoute(1)
			again.Priority = 5
			c.Routes = append(c.Routes, again)
		}, []string{`+ route "r-1": address 198.18.0.1:1001, priority 5, timeout 2s, objective 300ms, service a`}},
		{"service dropped", func(c *Configuration) { c.Services = nil }, []string{`- service "a": health path /healthz, maximum connections 100, warm-up time 0s, cold rate 6.5`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			next := sound()
			c.change(&next)
			if diff := cmp.Diff(c.expected, lines(Compare(sound(), next)), cmpopts.EquateEmpty()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
