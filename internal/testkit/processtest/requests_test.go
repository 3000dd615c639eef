//go:build linux

package processtest

import (
	"fmt"
	"testing"

	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

// Guards against programs that work only when all roles share one process:
// settings, listeners, seeds or keys that nobody connects. Both deployments
// must answer requests, run a ticketed order once, and carry a feed.
func TestRequestsOfBothDeployments(t *testing.T) {
	t.Parallel()
	for name, file := range map[string]string{"gel-desk": gelDesk, "invoice-numbering": invoiceNumbering} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, file, 2, 3)
			for i := range s.config.Services {
				s.serves(i)
			}
		})
	}
}

// serves checks that callers of a service get everything that it offers.
func (s *site) serves(i int) {
	s.t.Helper()
	service := s.service(i)
	f := s.open(service)
	for n := range 10 {
		a := f.catalogue(n)
		s.is.Equal(a.outcome, caller.Done)
	}
	id, ticket := "order-"+service.Name, f.ticket()
	for attempt := 1; attempt <= 2; attempt++ {
		a, err := f.order(requestTimeout, id, ticket, attempt)
		s.is.NoErr(err)
		s.is.Equal(a.outcome, caller.Done)
		s.is.Equal(s.runs(service, id), 1)
	}
	f.feed().moves(s, 3)
}

// runs returns how often the backend servers of a service ran an order.
func (s *site) runs(service config.Service, id string) int {
	s.t.Helper()
	n := 0
	for i := range s.agents {
		if s.service(i).Name == service.Name {
			n += s.ledger(i).Runs[id]
		}
	}
	return n
}

// orderID gives the orders of one test distinct names.
func orderID(n int) string { return fmt.Sprintf("order-%d", n) }
