package fleet

import (
	"context"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/embedded/quickstart"
	"github.com/knapweedpier/knapweedpier/internal/operators/change"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
)

// LeaveBackend implements quickstart.Fleet.
func (f *Fleet) LeaveBackend(ctx context.Context, id string) (time.Time, error) {
	service := ""
	if h := f.backend(id); h != nil {
		service = h.service
	}
	return f.now(ctx, sheet.Change{Kind: config.Leave, Subject: id, Service: service})
}

func (f *Fleet) backend(id string) *backendHost {
	for _, h := range f.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// TakeDomainOut implements quickstart.Fleet. The backend servers of the domain
// stop once their flows have been closed.
func (f *Fleet) TakeDomainOut(ctx context.Context, domain string) (time.Time, error) {
	return f.now(ctx, sheet.Change{Kind: config.DomainOut, Subject: domain})
}

// BringDomainBack implements quickstart.Fleet. The backend servers of the
// domain come back cold.
func (f *Fleet) BringDomainBack(ctx context.Context, domain string) (time.Time, error) {
	for _, h := range f.hosts {
		if h.domain == domain {
			service, _ := f.service(h.service)
			h.restart(service.Limits.WarmUp, time.Now())
		}
	}
	return f.now(ctx, sheet.Change{Kind: config.DomainBack, Subject: domain})
}

// now has a change accepted with the present as its effective time.
func (f *Fleet) now(ctx context.Context, c sheet.Change) (time.Time, error) {
	result, err := f.editor.Apply(ctx, change.Immediate(c, f.editor.Now))
	if err != nil {
		return time.Time{}, err
	}
	accepted := time.Now()
	effective := accepted
	for _, planned := range result.Config.Changes {
		if planned.Generation == result.Config.Generation && planned.Subject == c.Subject {
			effective = planned.At
		}
	}
	f.watch.expect(expected{
		name:       string(c.Kind) + " " + c.Subject,
		kind:       c.Kind,
		subject:    c.Subject,
		generation: result.Config.Generation,
		accepted:   accepted,
		effective:  effective,
	})
	return effective, nil
}

// Ledgers implements quickstart.Fleet.
func (f *Fleet) Ledgers() quickstart.FleetLedgers {
	out := quickstart.FleetLedgers{LastPacketOut: f.packets.last}
	for _, h := range f.hosts {
		ledger := h.server.Ledger()
		b := quickstart.Backend{
			ID:                 h.id,
			Service:            h.service,
			Domain:             h.domain,
			Runs:               ledger.Runs,
			Starts:             ledger.Starts,
			OverCapacityStarts: ledger.OverCapacityStarts,
			InProgressAverage:  ledger.InProgressAverage,
		}
		for _, s := range h.warm {
			b.Warm = append(b.Warm, quickstart.Interval{From: s.from, To: s.to})
		}
		out.Backends = append(out.Backends, b)
	}
	out.InForce, out.Reverts = f.watch.results()
	return out
}
