package fleet

import (
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/distribution"
	"github.com/knapweedpier/knapweedpier/internal/embedded/quickstart"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// watch observes the blackboards: when each process puts a change in force,
// and whether one goes back to an older generation. No stand-in can see this.
type watch struct {
	mu      sync.Mutex
	changes []expected
	seen    map[seenKey]time.Time
	views   map[string]lastView // of each process
	running map[string]processWatch
	reverts int
	done    sync.WaitGroup
}

// expected is an accepted change.
type expected struct {
	name                string
	kind                config.ChangeKind
	subject             string
	generation          uint64
	accepted, effective time.Time
	processes           []string // that ran when the change was accepted
}

type seenKey struct{ change, process string }

// lastView is the view that a process put in force last, and when.
type lastView struct {
	view config.View
	at   time.Time
}

type processWatch struct {
	stop chan struct{}
}

func newWatch() *watch {
	return &watch{seen: map[seenKey]time.Time{}, views: map[string]lastView{}, running: map[string]processWatch{}}
}

// process observes one process until the returned function is called.
func (w *watch) process(id string, board *distribution.Board) (stop func()) {
	p := processWatch{stop: make(chan struct{})}
	w.mu.Lock()
	w.running[id] = p
	w.mu.Unlock()
	w.done.Go(func() { w.observe(id, board, p.stop) })
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(id)
	}
}

func (w *watch) observe(id string, board *distribution.Board, stop <-chan struct{}) {
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
		w.mu.Lock()
		if view.Generation < highest {
			w.reverts++
		}
		highest = max(highest, view.Generation)
		w.views[id] = lastView{view, time.Now()}
		w.note(id)
		w.mu.Unlock()
	}
}

// note records the changes that a process has in force. Needs the lock.
func (w *watch) note(process string) {
	last := w.views[process]
	for _, c := range w.changes {
		key := seenKey{c.name, process}
		if _, ok := w.seen[key]; !ok && c.inForce(last.view) {
			w.seen[key] = last.at
		}
	}
}

func (c expected) inForce(view config.View) bool {
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

// expect adds a change, which some processes may already have in force.
func (w *watch) expect(c expected) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.running {
		c.processes = append(c.processes, id)
	}
	w.changes = append(w.changes, c)
	for _, id := range c.processes {
		w.note(id)
	}
}

// results returns one entry for each change and process that ran through it.
func (w *watch) results() ([]quickstart.InForce, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []quickstart.InForce
	for _, c := range w.changes {
		for _, process := range c.processes {
			at, seen := w.seen[seenKey{c.name, process}]
			if _, running := w.running[process]; !seen && !running {
				continue // stopped before it could
			}
			out = append(out, quickstart.InForce{
				Change: c.name, Process: process,
				Accepted: c.accepted, Effective: c.effective, At: at,
			})
		}
	}
	return out, w.reverts
}

// end stops to observe a process. Needs the lock.
func (w *watch) end(id string) {
	if p, ok := w.running[id]; ok {
		delete(w.running, id)
		close(p.stop)
	}
}

func (w *watch) close() {
	w.mu.Lock()
	for id := range w.running {
		w.end(id)
	}
	w.mu.Unlock()
	w.done.Wait()
}
