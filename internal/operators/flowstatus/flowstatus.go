// Package flowstatus determines for packet flows which services are down, from
// the platform's store and from the answers of the processes. It sends no
// requests itself.
package flowstatus

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// Process is the answer of a member.
type Process struct {
	Reached bool
	ViewAge time.Duration // age of its copy of the store's state, below 0 if unknown
	Source  string        // the process that updates its view, "" if there is none
}

// Service is the state of one service.
type Service struct {
	Name    string
	Taking  int // backend servers that accept new flows
	Leaving int
	Out     int // backend servers in an evacuated failure domain
	Silent  int // backend servers whose agent doesn't answer
	Slots   int // total of the backend servers that accept new flows
}

// Status is the state of the system at one time.
type Status struct {
	Version   int64 // of the configuration
	Routes    int
	Out       []string // evacuated failure domains
	Services  []Service
	Balancers int
	Silent    []string      // members that don't answer
	Unsourced []string      // members that answer, but whose view no process updates
	OldestAge time.Duration // largest age of the views of the members that answer
}

// Build builds the status from the store's objects and the answers of the
// processes, by member name.
func Build(v view.View, processes map[string]Process) Status {
	s := Status{
		Version: v.Configuration.Version,
		Routes:  len(v.Configuration.Routes),
		Out:     slices.Sorted(maps.Keys(v.Evacuations.Domains)),
	}
	services := map[string]*Service{}
	for name := range v.Configuration.Services {
		services[name] = &Service{Name: name}
	}
	for _, name := range slices.Sorted(maps.Keys(v.Members.ByName)) {
		m, p := v.Members.ByName[name], processes[name]
		switch {
		case !p.Reached:
			s.Silent = append(s.Silent, name)
		case p.Source == "":
			s.Unsourced = append(s.Unsourced, name)
		}
		s.OldestAge = max(s.OldestAge, p.ViewAge)
		if m.Role == view.BalancerRole {
			s.Balancers++
			continue
		}
		if services[m.Service] == nil {
			services[m.Service] = &Service{Name: m.Service}
		}
		services[m.Service].add(m, p, v.Evacuations.Domains[m.Domain])
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		s.Services = append(s.Services, *services[name])
	}
	return s
}

// add counts one backend server. out says whether its failure domain is
// evacuated.
func (s *Service) add(m view.Member, p Process, out bool) {
	switch {
	case !p.Reached:
		s.Silent++
	case m.State != view.Ready:
		s.Leaving++
	case out:
		s.Out++
	default:
		s.Taking++
		s.Slots += m.Slots
	}
}

// Down returns the names of the services without a backend server that accepts
// new flows.
func (s Status) Down() []string {
	var down []string
	for _, service := range s.Services {
		if service.Taking == 0 {
			down = append(down, service.Name)
		}
	}
	return down
}

// Write prints the status as a table. Errors have kind ReportFailed.
func (s Status) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "configuration %d, %d routes, %d balancers, views up to %d ms old\n", s.Version, s.Routes, s.Balancers, s.OldestAge.Milliseconds())
	fmt.Fprintln(t, "service\ttaking\tslots\tleaving\tevacuated\tsilent\t")
	for _, service := range s.Services {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", service.Name, service.Taking, service.Slots, service.Leaving, service.Out, service.Silent, downMark(service))
	}
	for _, line := range []struct {
		what  string
		names []string
	}{{"evacuated", s.Out}, {"silent", s.Silent}, {"not current", s.Unsourced}} {
		if len(line.names) > 0 {
			fmt.Fprintf(t, "%s: %s\n", line.what, strings.Join(line.names, ", "))
		}
	}
	if err := t.Flush(); err != nil {
		return errkind.Wrap(err, errkind.ReportFailed, "write status")
	}
	return nil
}

func downMark(s Service) string {
	if s.Taking == 0 {
		return "DOWN"
	}
	return ""
}
