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
	if h := f.findBackend(id); h != nil {
		service = h.service
	}
	return f.applyImmediately(ctx, sheet.Change{Kind: config.Leave, Subject: id, Service: service})
}

func (f *Fleet) findBackend(id string) *backendHost {
	for _, h := range f.backendHosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// TakeDomainOut implements quickstart.Fleet. The backend servers of the domain
// are not stopped here; BringDomainBack restarts them.
func (f *Fleet) TakeDomainOut(ctx context.Context, domain string) (time.Time, error) {
	return f.applyImmediately(ctx, sheet.Change{Kind: config.DomainOut, Subject: domain})
}

// BringDomainBack implements quickstart.Fleet. It restarts the backend servers
// of the domain, which begin a cold start.
func (f *Fleet) BringDomainBack(ctx context.Context, domain string) (time.Time, error) {
	for _, h := range f.backendHosts {
		if h.domain == domain {
			service, _ := f.findService(h.service)
			h.restartCold(service.Limits.WarmUp, time.Now())
		}
	}
	return f.applyImmediately(ctx, sheet.Change{Kind: config.DomainBack, Subject: domain})
}

// applyImmediately has the platform accept a change that takes effect now, and
// returns the effective time that the accepted configuration holds.
func (f *Fleet) applyImmediately(ctx context.Context, c sheet.Change) (time.Time, error) {
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
	f.observer.addChange(acceptedChange{
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
	out := quickstart.FleetLedgers{LastPacket: f.packetLog.lastPacket}
	for _, h := range f.backendHosts {
		ledger := h.server.Ledger()
		b := quickstart.BackendLedger{
			ID:                 h.id,
			Service:            h.service,
			Domain:             h.domain,
			Runs:               ledger.Runs,
			Starts:             ledger.Starts,
			OverCapacityStarts: ledger.OverCapacityStarts,
			InProgressAverage:  ledger.InProgressAverage,
		}
		for _, s := range h.warmIntervals {
			b.Warm = append(b.Warm, quickstart.Interval{From: s.from, To: s.to})
		}
		out.Backends = append(out.Backends, b)
	}
	out.InForce, out.Reverts = f.observer.results()
	return out
}
