// Package backendconn implements a pool of HTTP/1.1 connections to one backend
// server.
//
// Each connection carries one request at a time. The package never retries a
// request, and it reports whether a byte of a request may have reached the
// backend server.
//
// A backend server that restarted can be reached only over connections opened
// after its restart. A connection's age since its first answer is therefore a
// lower bound of the backend server's age, and the pool limits the requests in
// progress on connections of each age to the limit of a server of that age. The
// limit holds whether or not the restart has been detected.
package backendconn

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/admission"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

const (
	// dialTimeout bounds dialling the backend server, which is on the same host.
	dialTimeout = time.Second
	// cancelConfirmTimeout is how long a cancelled request keeps its slot if the
	// backend server does not confirm the cancellation by closing the connection.
	cancelConfirmTimeout = time.Second
	// minKeepAlive is shorter than the idle timeout of servers. An idle
	// connection that is closed sooner is taken as a sign of a restart.
	minKeepAlive = 4 * time.Second
)

// Options describe a pool.
type Options struct {
	Backend netip.AddrPort
	Limits  func() config.Limits // currently in force
	// OnLost is called, without locks held, when the backend server closed or
	// refused a connection unexpectedly.
	OnLost func(err error)
	Now    func() time.Time // nil: time.Now
}

// Pool holds the connections to one backend server. It is safe for concurrent
// use.
type Pool struct {
	opts Options

	mu     sync.Mutex
	idle   []*conn // earliest first answer first
	busy   []*conn // carry a request that holds a slot, or are being dialled
	all    map[*conn]struct{}
	closed bool
}

// New returns a pool without connections.
func New(opts Options) *Pool {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Pool{opts: opts, all: map[*conn]struct{}{}}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.all {
		c.netConn.Close()
	}
}

// Acquire returns a lease on a connection that may carry one request now. It
// prefers the idle connection with the earliest first answer and dials if none is
// idle. Error kinds: BackendFull if no request may be sent now, BackendDown if no
// connection could be opened, DeadlineNotRun if ctx ended first.
func (p *Pool) Acquire(ctx context.Context) (*Lease, error) {
	c, err := p.reserve()
	if err != nil {
		return nil, err
	}
	if c.netConn == nil {
		if err := p.dial(ctx, c); err != nil {
			return nil, err
		}
	}
	return &Lease{conn: c}, nil
}

// reserve takes a slot, with an idle connection or with a new one that the caller
// must dial.
func (p *Pool) reserve() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errkind.New(errkind.BackendDown, "the pool is closed")
	}
	now := p.opts.Now()
	for len(p.idle) > 0 {
		c := p.idle[0]
		if !p.admits(c.firstAnswerAt, now) {
			return nil, errAgeLimit
		}
		p.idle = slices.Delete(p.idle, 0, 1)
		if !c.isAlive() {
			continue // its reader goroutine detects and reports the loss
		}
		p.busy = append(p.busy, c)
		return c, nil
	}
	if !p.admits(now, now) {
		return nil, errAgeLimit
	}
	c := &conn{pool: p}
	p.busy = append(p.busy, c)
	return c, nil
}

var errAgeLimit = errkind.New(errkind.BackendFull, "slots are in use, or the limit for the age of the connections is reached")

// admits reports whether one more request may be in progress on a connection
// whose first answer arrived at firstAnswerAt. A backend server that started at
// any instant S receives at most the requests on connections with a first answer
// at or after S; their number must not exceed the limit of a server of that age.
// Checking the first answer of each connection in use suffices. The caller holds
// p.mu.
func (p *Pool) admits(firstAnswerAt, now time.Time) bool {
	limits := p.opts.Limits()
	if len(p.busy) >= limits.Slots {
		return false
	}
	recent := p.recentFirstAnswers(now, limits.WarmUp)
	if now.Sub(firstAnswerAt) < limits.WarmUp {
		recent = append(recent, firstAnswerAt)
	}
	slices.SortFunc(recent, func(a, b time.Time) int { return b.Compare(a) }) // latest first
	for i, s := range recent {
		sameAge := i+1 < len(recent) && recent[i+1].Equal(s)
		if !sameAge && i+1 > admission.WarmUpLimit(limits, now.Sub(s)) {
			return false
		}
	}
	return true
}

// recentFirstAnswers returns the times of the first answers on the connections in
// use, as far as they are less than warmUp ago. A connection without an answer
// counts as answered now. The caller holds p.mu.
func (p *Pool) recentFirstAnswers(now time.Time, warmUp time.Duration) []time.Time {
	var firstAnswers []time.Time
	for _, c := range p.busy {
		switch {
		case c.firstAnswerAt.IsZero():
			firstAnswers = append(firstAnswers, now)
		case now.Sub(c.firstAnswerAt) < warmUp:
			firstAnswers = append(firstAnswers, c.firstAnswerAt)
		}
	}
	return firstAnswers
}

// dial opens the connection of a reserved conn.
func (p *Pool) dial(ctx context.Context, c *conn) error {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", p.opts.Backend.String())
	if err != nil {
		p.freeSlot(c)
		if ctx.Err() != nil {
			return errkind.Wrap(ctx.Err(), errkind.DeadlineNotRun, "dial the backend server")
		}
		p.opts.OnLost(err)
		return errkind.Wrap(err, errkind.BackendDown, "dial the backend server")
	}
	c.start(nc)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all[c] = struct{}{}
	if p.closed {
		nc.Close()
	}
	return nil
}

// freeSlot releases the slot of c.
func (p *Pool) freeSlot(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeSlotLocked(c)
}

func (p *Pool) freeSlotLocked(c *conn) {
	if i := slices.Index(p.busy, c); i >= 0 {
		p.busy = slices.Delete(p.busy, i, i+1)
	}
}

// recordAnswer records the time of the first answer on c.
func (p *Pool) recordAnswer(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.firstAnswerAt.IsZero() {
		c.firstAnswerAt = p.opts.Now()
	}
}

// putIdle releases the slot of c and makes c idle if keep is true. It reports
// false if c must be closed instead: a connection that has not carried an answer
// does not become idle.
func (p *Pool) putIdle(c *conn, keep bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeSlotLocked(c)
	if !keep || p.closed || c.firstAnswerAt.IsZero() {
		return false
	}
	c.idleSince = p.opts.Now()
	c.current = nil
	at, _ := slices.BinarySearchFunc(p.idle, c, func(a, b *conn) int { return a.firstAnswerAt.Compare(b.firstAnswerAt) })
	p.idle = slices.Insert(p.idle, at, c)
	return true
}

// remove removes c from the pool. It reports whether c was closed while idle,
// sooner than a server's idle timeout would.
func (p *Pool) remove(c *conn) (closedEarly bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, c)
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	return !p.closed && c.current == nil && p.opts.Now().Sub(c.idleSince) < minKeepAlive
}

// OpenConns returns the number of open connections.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all)
}

// InProgress returns the number of requests that hold a slot.
func (p *Pool) InProgress() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.busy)
}
