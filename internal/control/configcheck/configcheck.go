// Package configcheck finds the faults of a configuration before it is written to the
// platform's store, and what differs from the one in force. It decides on typed values only:
// package platform decodes them.
package configcheck

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// Configuration is a configuration as it is written, with entries that have no effect.
type Configuration struct {
	Version     int64
	Routes      []Route
	Services    []view.Service
	IdleTimeout time.Duration
}

// Route is a route as it is written.
type Route struct {
	Name         string
	Address      netip.AddrPort
	AddressFault string // why the address can't be used, "" if it can
	Type         string
	Priority     int // 0 is the highest
	Timeout      time.Duration
	Objective    time.Duration
	Service      string // target if there is no split
	Split        []Share
}

// Share is the share of a service in a split.
type Share struct {
	Service string
	Weight  int // a weight of 0 or below gets no flows
}

// targets returns the services that receive flows of the route.
func (r Route) targets() []string {
	if len(r.Split) == 0 {
		if r.Service == "" {
			return nil
		}
		return []string{r.Service}
	}
	var services []string
	for _, s := range r.Split {
		if s.Weight > 0 && !slices.Contains(services, s.Service) {
			services = append(services, s.Service)
		}
	}
	return services
}

// Severity is how serious a finding is.
type Severity string

// The severities.
const (
	Error   Severity = "error"   // the configuration is refused, or doesn't do what it says
	Warning Severity = "warning" // possibly not what is meant
	Remark  Severity = "remark"  // unusual
)

// Finding is what is found at one place of a configuration.
type Finding struct {
	Severity Severity
	Path     string // such as routes[3] "name"
	Text     string // a sentence whose subject is the path
}

// String returns the finding as one line of text.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Path, f.Text) }

// CountErrors returns the number of findings that are errors.
func CountErrors(findings []Finding) int {
	n := 0
	for _, f := range findings {
		if f.Severity == Error {
			n++
		}
	}
	return n
}

// checker collects the findings of one configuration.
type checker struct {
	Configuration
	findings []Finding
	// usedRoutes and usedServices hold, for each address and each name, the index of the entry
	// that is used: the last one.
	usedRoutes   map[netip.AddrPort]int
	usedServices map[string]int
	routesTo     map[string][]int // routes by the services that receive their flows
	named        map[string]bool  // services that a route or its split names, also with a weight of 0
}

// Check returns the findings of a configuration, in the order of its entries.
func Check(c Configuration) []Finding {
	k := &checker{
		Configuration: c, usedRoutes: map[netip.AddrPort]int{}, usedServices: map[string]int{},
		routesTo: map[string][]int{}, named: map[string]bool{},
	}
	for i, r := range c.Routes {
		if r.AddressFault == "" {
			k.usedRoutes[r.Address] = i
		}
		for _, service := range r.targets() {
			k.routesTo[service] = append(k.routesTo[service], i)
			k.named[service] = true
		}
		for _, s := range r.Split {
			k.named[s.Service] = true
		}
	}
	for i, s := range c.Services {
		k.usedServices[s.Name] = i
	}
	k.checkWhole()
	k.checkRoutes()
	k.checkServices()
	return k.findings
}

func (k *checker) add(severity Severity, path, format string, args ...any) {
	k.findings = append(k.findings, Finding{severity, path, fmt.Sprintf(format, args...)})
}

func (k *checker) checkWhole() {
	if len(k.Routes) == 0 {
		k.add(Warning, "routes", "there are none, so every flow is refused")
	}
	if k.IdleTimeout < 0 {
		k.add(Error, "limits", "the idle timeout is %s, which is ignored", k.IdleTimeout)
	}
}

func (k *checker) checkRoutes() {
	firstOfName := map[string]int{}
	timeoutRemarks := k.timeoutRemarks()
	for i, r := range k.Routes {
		path := k.routePath(i)
		first, isDuplicate := firstOfName[r.Name]
		switch {
		case r.Name == "":
			k.add(Warning, path, "has no name")
		case isDuplicate:
			k.add(Warning, path, "has the same name as routes[%d]", first)
		default:
			firstOfName[r.Name] = i
		}
		switch used := k.usedRoutes[r.Address]; {
		case r.AddressFault != "":
			k.add(Error, path, "%s, so the whole configuration is refused", r.AddressFault)
		case r.Address.Port() == 0:
			k.add(Error, path, "can never match because its port is 0")
		case used != i:
			k.add(Error, path, "can never match because %s has the same address %s, of which the last route is used", k.routePath(used), r.Address)
		}
		k.checkTargets(path, r)
		k.checkRouteLimits(path, r)
		for _, text := range timeoutRemarks[i] {
			k.add(Remark, path, "%s", text)
		}
	}
}

func (k *checker) checkTargets(path string, r Route) {
	for _, s := range r.Split {
		if s.Weight < 0 {
			k.add(Warning, path, "the weight of service %q is %d, which is used as 0", s.Service, s.Weight)
		}
	}
	targets := r.targets()
	switch {
	case len(targets) > 0:
	case len(r.Split) > 0:
		k.add(Error, path, "no weight of its split is above 0, so its flows are refused")
	default:
		k.add(Error, path, "has no service, so its flows are refused")
	}
	for _, service := range targets {
		if _, ok := k.usedServices[service]; !ok {
			k.add(Error, path, "leads to the unknown service %q", service)
		}
	}
}

func (k *checker) checkRouteLimits(path string, r Route) {
	used := view.Route{Timeout: r.Timeout, Objective: r.Objective}
	objective, timeout := used.Limits()
	switch {
	case r.Timeout <= 0:
		k.add(Error, path, "the timeout is %s, in place of which %s is used", r.Timeout, timeout)
	case used.HasContradictoryLimits():
		k.add(Error, path, "the objective %s is above the timeout, in place of which %s is used", r.Objective, objective)
	}
	if r.Objective <= 0 {
		k.add(Warning, path, "the objective is %s, so each request that waits at an agent counts as late", r.Objective)
	}
}

// timeoutRemarks returns remarks, by the index of the route, on routes whose timeout is longer
// than that of a route of lower priority to the same service. Each is compared only with the
// shortest of those.
func (k *checker) timeoutRemarks() map[int][]string {
	remarks := map[int][]string{}
	seen := map[[2]int]bool{}
	for _, routes := range k.routesTo {
		routes = slices.DeleteFunc(slices.Clone(routes), func(i int) bool {
			r := k.Routes[i]
			return r.Timeout <= 0 || r.AddressFault != "" || k.usedRoutes[r.Address] != i
		})
		slices.SortStableFunc(routes, func(a, b int) int { return cmp.Compare(k.Routes[b].Priority, k.Routes[a].Priority) })
		shortest := -1 // of the priorities below that of the current group
		for start := 0; start < len(routes); {
			end := start
			for end < len(routes) && k.Routes[routes[end]].Priority == k.Routes[routes[start]].Priority {
				end++
			}
			group := routes[start:end]
			for _, i := range group {
				if shortest < 0 || k.Routes[i].Timeout <= k.Routes[shortest].Timeout || seen[[2]int{i, shortest}] {
					continue
				}
				seen[[2]int{i, shortest}] = true
				remarks[i] = append(remarks[i], fmt.Sprintf("has priority %d but a longer timeout, %s, than %s to the same service with priority %d, %s",
					k.Routes[i].Priority, k.Routes[i].Timeout, k.routePath(shortest), k.Routes[shortest].Priority, k.Routes[shortest].Timeout))
			}
			for _, i := range group {
				if shortest < 0 || k.Routes[i].Timeout < k.Routes[shortest].Timeout {
					shortest = i
				}
			}
			start = end
		}
	}
	for _, texts := range remarks {
		slices.Sort(texts) // the services are visited in random order
	}
	return remarks
}

func (k *checker) checkServices() {
	for i, s := range k.Services {
		path := fmt.Sprintf("services[%d] %q", i, s.Name)
		if s.Name == "" {
			k.add(Error, path, "has no name, so it has no effect")
			continue
		}
		if used := k.usedServices[s.Name]; used != i {
			k.add(Error, path, "has no effect because services[%d] has the same name, of which the last service is used", used)
			continue
		}
		if !k.named[s.Name] {
			k.add(Warning, path, "no route leads to it")
		}
		if s.MaxFlows <= 0 && len(k.routesTo[s.Name]) > 0 {
			k.add(Warning, path, "the maximum number of connections is %d, which is used as no limit", s.MaxFlows)
		}
		if s.ColdPerSecond < 0 {
			k.add(Error, path, "the cold rate is %g, which is used as no limit", s.ColdPerSecond)
		}
		if s.WarmUp < 0 {
			k.add(Error, path, "the warm-up time is %s, which is below 0", s.WarmUp)
		}
	}
}

func (k *checker) routePath(i int) string { return fmt.Sprintf("routes[%d] %q", i, k.Routes[i].Name) }
