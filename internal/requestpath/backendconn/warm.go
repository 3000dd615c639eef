package backendconn

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/admission"
)

const (
	// warmInterval is how soon a lost connection is replaced.
	warmInterval = 250 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// probePath is the load endpoint, which needs no slot.
	probePath = "/load"
	// maxProbeAnswer bounds what is read of a probe's answer.
	maxProbeAnswer = 64 << 10
)

// KeepWarm keeps as many connections open as the backend server has slots,
// each proven by one request to the load endpoint, until ctx ends.
//
// Requests are limited by the age of their connections. Connections that are
// opened only on demand would make the first requests after a quiet time wait
// for a warm-up that the backend server has long finished.
func (p *Pool) KeepWarm(ctx context.Context) {
	ticker := time.NewTicker(warmInterval)
	defer ticker.Stop()
	for {
		for p.warmOne(ctx) {
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// warmOne opens and proves one connection. It reports whether another one
// should be opened at once.
func (p *Pool) warmOne(ctx context.Context) bool {
	c, ok := p.reserveNew()
	if !ok || p.open(ctx, c) != nil {
		return false
	}
	return p.probe(ctx, &Lease{conn: c}) == nil
}

// reserveNew takes the right to open a connection if fewer are open than the
// backend server has slots and none is being opened.
func (p *Pool) reserveNew() (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	if p.closed || len(p.all) >= p.opts.Limits().Slots || !p.fits(now, now) {
		return nil, false
	}
	c := &conn{pool: p}
	p.busy = append(p.busy, c)
	return c, true
}

func (p *Pool) probe(ctx context.Context, lease *Lease) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	url := "http://" + p.opts.Backend.String() + probePath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		lease.Release()
		return errkind.Wrap(err, errkind.Internal, "probe")
	}
	resp, err := lease.Do(ctx, Call{Request: request, Released: func(admission.Signal) {}})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeAnswer))
	return err
}
