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
	// warmCheckInterval is the interval at which lost connections are replaced.
	warmCheckInterval = 250 * time.Millisecond
	// probeTimeout bounds a probe request.
	probeTimeout = time.Second
	// probePath is the backend server's load endpoint, which takes no slot.
	probePath = "/load"
	// maxProbeAnswerBytes bounds how much of a probe's answer is read.
	maxProbeAnswerBytes = 64 << 10
)

// KeepWarm keeps as many connections open as the backend server has slots,
// each with an answer to a request to the load endpoint, until ctx ends.
//
// Requests are limited by the age of their connections. Connections that are
// opened only on demand would make the first requests after an idle period wait
// for a warm-up that the backend server has already finished.
func (p *Pool) KeepWarm(ctx context.Context) {
	ticker := time.NewTicker(warmCheckInterval)
	defer ticker.Stop()
	for {
		for p.openWarmConn(ctx) {
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// openWarmConn opens one connection and probes it. It reports whether another one
// should be opened at once.
func (p *Pool) openWarmConn(ctx context.Context) bool {
	c, ok := p.reserveWarmConn()
	if !ok || p.dial(ctx, c) != nil {
		return false
	}
	return p.probe(ctx, &Lease{conn: c}) == nil
}

// reserveWarmConn takes a slot for a new connection, which the caller must dial, if
// fewer connections are open than the backend server has slots.
func (p *Pool) reserveWarmConn() (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	if p.closed || len(p.all) >= p.opts.Limits().Slots || !p.admits(now, now) {
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
		return errkind.Wrap(err, errkind.Internal, "create the probe request")
	}
	resp, err := lease.Do(ctx, Call{Request: request, OnRelease: func(admission.Signal) {}})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeAnswerBytes))
	return err
}
