// Package backendconn owns the HTTP/1.1 connections to one backend server.
//
// Each connection carries one request at a time. The package never sends
// anything twice, and it reports whether a byte of a request may have reached
// the backend server.
//
// A backend server that restarted can be reached only over connections opened
// after its restart. A connection's age since its first answer is therefore a
// lower bound of the backend server's age, and the pool limits the requests in
// progress on connections of each age to what a server of that age bears. This
// holds whether or not the restart has been noticed.
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
	// dialTimeout bounds the opening of a connection on the same host.
	dialTimeout = time.Second
	// cancelHold is how long an abandoned request keeps its slot while the
	// backend server has not confirmed the cancellation by closing.
	cancelHold = time.Second
	// keepAliveMin is shorter than the time after which servers close idle
	// connections. A connection that is closed sooner is a sign of a restart.
	keepAliveMin = 4 * time.Second
)

// Options describe a pool.
type Options struct {
	Backend netip.AddrPort
	Limits  func() config.Limits // in force now
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
	idle   []*conn
	busy   []*conn // carry a request that holds a slot
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
		c.net.Close()
	}
}

// Acquire returns a lease on a connection that may carry one request now. It
// prefers the oldest idle connection and opens one if none is idle. Errors:
// BackendFull if no request may be sent now, BackendDown if no connection
// could be opened, DeadlineNotRun if ctx ended first.
func (p *Pool) Acquire(ctx context.Context) (*Lease, error) {
	c, err := p.reserve()
	if err != nil {
		return nil, err
	}
	if c.net == nil {
		if err := p.open(ctx, c); err != nil {
			return nil, err
		}
	}
	return &Lease{conn: c}, nil
}

// reserve takes an idle connection or the right to open one.
func (p *Pool) reserve() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errkind.New(errkind.BackendDown, "the pool is closed")
	}
	now := p.opts.Now()
	for len(p.idle) > 0 {
		c := p.idle[0]
		if !p.fits(c.provenAt, now) {
			return nil, errFull
		}
		p.idle = slices.Delete(p.idle, 0, 1)
		if !c.alive() {
			continue // its reader notices and reports the loss
		}
		p.busy = append(p.busy, c)
		return c, nil
	}
	if !p.fits(now, now) {
		return nil, errFull
	}
	c := &conn{pool: p}
	p.busy = append(p.busy, c)
	return c, nil
}

var errFull = errkind.New(errkind.BackendFull, "no further request fits the age of the connections")

// fits reports whether one more request may be in progress on a connection
// proven at birth. A backend server that started at any instant S receives at
// most the requests on connections proven at or after S; their number must not
// exceed what a server of that age bears. It suffices to check the birth of
// each connection in use. Needs the lock.
func (p *Pool) fits(birth, now time.Time) bool {
	limits := p.opts.Limits()
	if len(p.busy) >= limits.Slots {
		return false
	}
	young := p.young(now, limits.WarmUp)
	if now.Sub(birth) < limits.WarmUp {
		young = append(young, birth)
	}
	slices.SortFunc(young, func(a, b time.Time) int { return b.Compare(a) }) // youngest first
	for i, s := range young {
		sameAge := i+1 < len(young) && young[i+1].Equal(s)
		if !sameAge && i+1 > admission.Ramp(limits, now.Sub(s)) {
			return false
		}
	}
	return true
}

// young returns the births of the connections in use that were proven less
// than warmUp ago. A connection that is not proven counts as born now.
func (p *Pool) young(now time.Time, warmUp time.Duration) []time.Time {
	var births []time.Time
	for _, c := range p.busy {
		switch {
		case c.provenAt.IsZero():
			births = append(births, now)
		case now.Sub(c.provenAt) < warmUp:
			births = append(births, c.provenAt)
		}
	}
	return births
}

// open dials for a reserved connection.
func (p *Pool) open(ctx context.Context, c *conn) error {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", p.opts.Backend.String())
	if err != nil {
		p.free(c)
		if ctx.Err() != nil {
			return errkind.Wrap(ctx.Err(), errkind.DeadlineNotRun, "open connection")
		}
		p.opts.OnLost(err)
		return errkind.Wrap(err, errkind.BackendDown, "open connection")
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

// free gives the slot of c back.
func (p *Pool) free(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeLocked(c)
}

func (p *Pool) freeLocked(c *conn) {
	if i := slices.Index(p.busy, c); i >= 0 {
		p.busy = slices.Delete(p.busy, i, i+1)
	}
}

// prove records that c has carried an answer.
func (p *Pool) prove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.provenAt.IsZero() {
		c.provenAt = p.opts.Now()
	}
}

// park gives the slot of c back and makes c idle if keep is true. It reports
// false if c must be closed instead: a connection that has not carried an
// answer is not kept.
func (p *Pool) park(c *conn, keep bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeLocked(c)
	if !keep || p.closed || c.provenAt.IsZero() {
		return false
	}
	c.idleSince = p.opts.Now()
	c.current = nil
	at, _ := slices.BinarySearchFunc(p.idle, c, func(a, b *conn) int { return a.provenAt.Compare(b.provenAt) })
	p.idle = slices.Insert(p.idle, at, c)
	return true
}

// drop forgets c. It reports whether c was closed while idle, sooner than a
// server's keep-alive would.
func (p *Pool) drop(c *conn) (suspicious bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, c)
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	return !p.closed && c.current == nil && p.opts.Now().Sub(c.idleSince) < keepAliveMin
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
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
