package follow

import (
	"slices"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// applyChanges applies the changes of a watch to the board. It repeats that if the
// response of a peer has changed the view meanwhile.
func (f *Follower) applyChanges(s view.Section, changes []Change, revision view.Revision) {
	for {
		v := f.opts.Board.View()
		d := view.Delta{Section: s, From: v.Revision(s), To: revision}
		f.addChanges(&d, v, changes)
		if f.applyDelta(d) || f.opts.Board.View().Revision(s) == d.From {
			return
		}
	}
}

// addChanges adds changes to d, as differences from v. It logs and skips objects
// that can't be used.
func (f *Follower) addChanges(d *view.Delta, v view.View, changes []Change) {
	domains, retained := map[string]bool{}, v.Evacuations.Retained()
	for domain := range v.Evacuations.Domains {
		domains[domain] = true
	}
	for _, c := range changes {
		if c.Err != nil {
			f.opts.Logger.EmitError(event.StoredObjectRefused, c.Err, event.Fields{"object": c.Name, "section": d.Section})
			continue
		}
		switch {
		case d.Section == view.EvacuationsSection && c.Deleted:
			delete(domains, c.Name)
			d.Ended = append(d.Ended, c.Name)
			retained = without(retained, c.Name)
		case d.Section == view.EvacuationsSection:
			domains[c.Name] = true
			retained = without(retained, c.Name)
		case c.Deleted:
			// A delta removes the gone members before it adds others.
			d.Members = slices.DeleteFunc(d.Members, func(m view.Member) bool { return m.Name == c.Name })
			d.Gone = append(d.Gone, c.Name)
		case c.Member != nil:
			d.Gone = slices.DeleteFunc(d.Gone, func(name string) bool { return name == c.Name })
			d.Members = append(d.Members, *c.Member)
		case c.Configuration != nil:
			d.Configuration = c.Configuration.DeltaFrom(v.Configuration)
			// Processes that read it at different revisions of the store can then
			// apply each other's changes.
			d.To = c.Configuration.Revision
		}
	}
	if d.Section == view.EvacuationsSection {
		for domain := range domains {
			d.Domains = append(d.Domains, domain)
		}
		slices.Sort(d.Domains)
		d.Retained = retained
	}
}

// without removes a name from a list, in place, and returns the list.
func without(names []string, name string) []string {
	return slices.DeleteFunc(names, func(n string) bool { return n == name })
}

// applyDelta applies d to the board, and logs the change if it made one. It reports
// whether the view then is at the delta's revision or a later one.
func (f *Follower) applyDelta(d view.Delta) bool {
	if s, ok := f.opts.Store.(EraObserver); ok {
		s.ObserveEra(d.To.Era()) // before the announcer sees the view
	}
	before := f.opts.Board.View()
	if !f.opts.Board.Apply(d) {
		return f.opts.Board.View().Revision(d.Section) >= d.To
	}
	if d.Section == view.MembersSection {
		f.logEra(before.Members, f.opts.Board.View().Members)
	}
	fields := event.Fields{"section": d.Section, "revision": d.To, "full": d.Full}
	switch {
	case d.Section == view.ConfigurationSection && f.opts.Board.View().Configuration.Held:
		fields["version_held"] = f.opts.Board.View().Configuration.Version
	case d.Configuration != nil:
		fields["version"], fields["routes"] = d.Configuration.Version, len(d.Configuration.Routes)
		fields["dropped"] = len(d.Configuration.Dropped)
	case d.Section == view.EvacuationsSection:
		fields["domains"] = d.Domains
	default:
		fields["members"], fields["gone"] = len(d.Members), len(d.Gone)
	}
	f.opts.Logger.Emit(event.ViewChanged, fields)
	f.logContradictoryLimits(d)
	return true
}

// logEra logs, once for each era, that the store was restored from a copy. It does so if the
// members before the change were of an earlier era.
func (f *Follower) logEra(before, after view.Members) {
	era := after.Revision.Era()
	if before.Revision == 0 || before.Revision.Era() >= era {
		return
	}
	for logged := f.loggedEra.Load(); logged < era; logged = f.loggedEra.Load() {
		if f.loggedEra.CompareAndSwap(logged, era) {
			f.opts.Logger.Emit(event.StoreEraChanged, event.Fields{
				"era": era, "before": before.Revision.Era(), "members": len(after.ByName), "retained": after.Retained(),
			})
		}
	}
}

// maxNamedRoutes is the maximum number of routes that event RouteLimitsReplaced names.
const maxNamedRoutes = 8

// logContradictoryLimits logs which routes of an applied change have contradictory limits.
// Decisions use those of view.Route.Limits in their place.
func (f *Follower) logContradictoryLimits(d view.Delta) {
	if d.Configuration == nil {
		return
	}
	var names []string
	for _, r := range d.Configuration.Routes {
		if r.HasContradictoryLimits() {
			names = append(names, r.Name)
		}
	}
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	f.opts.Logger.Emit(event.RouteLimitsReplaced, event.Fields{
		"version": d.Configuration.Version, "count": len(names), "routes": names[:min(len(names), maxNamedRoutes)],
	})
}
