//go:build linux

package processtest

import (
	"fmt"
	"testing"

	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

// Guards against programs that work only when all roles run in one process,
// because a program doesn't pass its settings, listeners, seeds or keys on.
// Both deployments must answer requests, run an order with a ticket only once,
// and carry a feed.
func TestRequestsOfBothDeployments(t *testing.T) {
	t.Parallel()
	for name, file := range map[string]string{"gel-desk": gelDesk, "invoice-numbering": invoiceNumbering} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, file, 2, 3)
			for i := range d.config.Services {
				d.checkService(i)
			}
		})
	}
}

// checkService checks that a service answers requests, runs an order with a
// ticket once although it is sent twice, and sends a feed.
func (d *deployment) checkService(i int) {
	d.t.Helper()
	service := d.serviceAt(i)
	f := d.open(service)
	for n := range 10 {
		a := f.getCatalogue(n)
		d.is.Equal(a.outcome, caller.Done)
	}
	id, ticket := "order-"+service.Name, f.requestTicket()
	for attempt := 1; attempt <= 2; attempt++ {
		a, err := f.sendOrder(requestTimeout, id, ticket, attempt)
		d.is.NoErr(err)
		d.is.Equal(a.outcome, caller.Done)
		d.is.Equal(d.orderRuns(service, id), 1)
	}
	f.openFeed().awaitLines(d, 3)
}

// orderRuns returns how often the backend servers of a service ran an order.
func (d *deployment) orderRuns(service config.Service, id string) int {
	d.t.Helper()
	n := 0
	for i := range d.agents {
		if d.serviceAt(i).Name == service.Name {
			n += d.backendLedger(i).Runs[id]
		}
	}
	return n
}

// orderID returns the ID of the n-th order of a test.
func orderID(n int) string { return fmt.Sprintf("order-%d", n) }
