package fleet

import (
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/distribution"
	"github.com/knapweedpier/knapweedpier/internal/embedded/quickstart"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// configObserver subscribes to each process's blackboard and records when the
// process puts a change in force and whether it reverts to an older generation.
// The stand-ins cannot observe either.
type configObserver struct {
	mu         sync.Mutex
	changes    []acceptedChange
	inForceAt  map[changeProcess]time.Time
	lastViews  map[string]lastView // by process ID
	running    map[string]observation
	reverts    int // times that a process put an older generation in force
	goroutines sync.WaitGroup
}

// acceptedChange is a change that the platform has accepted.
type acceptedChange struct {
	name                string
	kind                config.ChangeKind
	subject             string
	generation          uint64
	accepted, effective time.Time
	processes           []string // IDs of those that ran when the change was accepted
}

// changeProcess identifies a change, by its name, at a process, by its ID.
type changeProcess struct{ change, process string }

// lastView is the view that a process put in force last, with the time when this
// was observed.
type lastView struct {
	view config.View
	at   time.Time
}

// observation is the running observation of one process; closing stop ends it.
type observation struct {
	stop chan struct{}
}

func newConfigObserver() *configObserver {
	return &configObserver{inForceAt: map[changeProcess]time.Time{}, lastViews: map[string]lastView{}, running: map[string]observation{}}
}

// observe observes a process until the returned function is called.
func (o *configObserver) observe(id string, board *distribution.Board) (stop func()) {
	observed := observation{stop: make(chan struct{})}
	o.mu.Lock()
	o.running[id] = observed
	o.mu.Unlock()
	o.goroutines.Go(func() { o.followViews(id, board, observed.stop) })
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.stopObserving(id)
	}
}

// followViews records each view that a process puts in force until stop is
// closed.
func (o *configObserver) followViews(id string, board *distribution.Board, stop <-chan struct{}) {
	changed, cancel := board.View.Subscribe()
	defer cancel()
	var highest uint64
	for {
		select {
		case <-stop:
			return
		case <-changed:
		}
		view := board.View.Get()
		o.mu.Lock()
		if view.Generation < highest {
			o.reverts++
		}
		highest = max(highest, view.Generation)
		o.lastViews[id] = lastView{view, time.Now()}
		o.recordInForce(id)
		o.mu.Unlock()
	}
}

// recordInForce records the changes that a process has in force and had not
// before. The caller holds o.mu.
func (o *configObserver) recordInForce(process string) {
	last := o.lastViews[process]
	for _, c := range o.changes {
		key := changeProcess{c.name, process}
		if _, ok := o.inForceAt[key]; !ok && c.isInForce(last.view) {
			o.inForceAt[key] = last.at
		}
	}
}

// isInForce reports whether a view contains the change.
func (c acceptedChange) isInForce(view config.View) bool {
	if view.Generation < c.generation {
		return false
	}
	switch c.kind {
	case config.DomainOut:
		_, out := view.DomainOut(c.subject)
		return out
	case config.DomainBack:
		_, out := view.DomainOut(c.subject)
		return !out
	case config.Leave:
		_, leaving := view.BackendLeaving(c.subject)
		return leaving
	default:
		return view.BackendJoined(c.subject)
	}
}

// addChange adds an accepted change, which some processes may already have in
// force.
func (o *configObserver) addChange(c acceptedChange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.running {
		c.processes = append(c.processes, id)
	}
	o.changes = append(o.changes, c)
	for _, id := range c.processes {
		o.recordInForce(id)
	}
}

// results returns one record for each pair of a change and a process that ran
// when the change was accepted, and the number of reverts. It leaves out
// processes that stopped before they put the change in force.
func (o *configObserver) results() ([]quickstart.InForceRecord, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []quickstart.InForceRecord
	for _, c := range o.changes {
		for _, process := range c.processes {
			at, known := o.inForceAt[changeProcess{c.name, process}]
			if _, running := o.running[process]; !known && !running {
				continue // stopped before it put the change in force
			}
			out = append(out, quickstart.InForceRecord{
				Change: c.name, Process: process,
				Accepted: c.accepted, Effective: c.effective, At: at,
			})
		}
	}
	return out, o.reverts
}

// stopObserving ends the observation of a process. The caller holds o.mu.
func (o *configObserver) stopObserving(id string) {
	if observed, ok := o.running[id]; ok {
		delete(o.running, id)
		close(observed.stop)
	}
}

func (o *configObserver) close() {
	o.mu.Lock()
	for id := range o.running {
		o.stopObserving(id)
	}
	o.mu.Unlock()
	o.goroutines.Wait()
}
