package distribution

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/delay"
	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/control/peer"
)

// Intervals and time limits of pulling.
const (
	minPullInterval  = 5 * time.Millisecond // between two pulls from one partner
	pullRetryDelay   = 250 * time.Millisecond
	departureTimeout = 2 * time.Second
)

// puller pulls changes from one partner.
type puller struct {
	addr     netip.AddrPort
	client   *peer.Client
	stopped  chan struct{} // closed when this is no longer a partner
	stopOnce sync.Once

	// Guarded by Node.mu.
	cursor            membership.Cursor
	sentSelf          membership.Record // this process's record as last sent to the partner, zero: it has none
	partnerGeneration uint64            // generation that the partner has in force
	noRecords         bool              // the partner is asked to send no records
}

func (p *puller) stop() { p.stopOnce.Do(func() { close(p.stopped) }) }

// runPuller pulls until p is stopped or ctx ends. When p is stopped, its last
// pull tells the partner not to treat the following silence as a failure.
func (n *Node) runPuller(ctx context.Context, p *puller) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer p.client.Close()
	n.wg.Go(func() { n.pushSelfChanges(ctx, p) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.stopped:
			_ = n.pushSelf(ctx, p, true)
			return
		default:
		}
		started := time.Now()
		err := n.pullOnce(ctx, p)
		pause := minPullInterval - time.Since(started)
		if err != nil {
			pause = pullRetryDelay
		}
		if !delay.Sleep(ctx, pause) {
			return
		}
	}
}

func (n *Node) pullOnce(ctx context.Context, p *puller) error {
	req := n.buildPullRequest(p, true)
	resp, err := p.client.Pull(ctx, req)
	if err != nil {
		n.handlePullFailure(ctx, p, err)
		return err
	}
	n.metrics.Pulls.Inc(1)
	n.applyResponse(p, req, resp)
	if len(resp.Config) > 0 {
		return n.acceptConfig(resp.Config, resp.ID)
	}
	return nil
}

// pushSelfChanges sends this process's record as soon as it changes,
// concurrently with the pull that waits for changes.
func (n *Node) pushSelfChanges(ctx context.Context, p *puller) {
	for {
		changed := n.selfSignal.notified() // before the check: a change between the two must not be missed
		if n.needsPush(p) {
			pause := minPullInterval
			if n.pushSelf(ctx, p, false) != nil {
				pause = pullRetryDelay
			}
			if !delay.Sleep(ctx, pause) {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-p.stopped:
			return
		case <-changed:
		}
	}
}

// needsPush reports whether the partner has an older version of this process's
// record.
func (n *Node) needsPush(p *puller) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return p.sentSelf.ID != "" && n.table.Self().Newer(p.sentSelf)
}

// pushSelf sends this process's record in a pull that does not wait. With final,
// it is the last pull from the partner. Its errors are not logged: the waiting
// pull fails with the same error.
func (n *Node) pushSelf(ctx context.Context, p *puller, final bool) error {
	req := n.buildPullRequest(p, false)
	req.Wait, req.Final = 0, final
	resp, err := p.client.Pull(ctx, req)
	if err == nil {
		n.applyResponse(p, req, resp)
	}
	return err
}

// buildPullRequest builds the next request to p's partner. With mayFetch, it may
// ask for the configuration, which is fetched from one partner at a time.
func (n *Node) buildPullRequest(p *puller, mayFetch bool) peer.PullRequest {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.table.Self()
	req := peer.PullRequest{
		ID:                self.ID,
		Incarnation:       self.Incarnation,
		Sequence:          self.Sequence,
		Cursor:            p.cursor,
		Generation:        n.config.generation,
		PartnerGeneration: max(n.config.generation, p.partnerGeneration),
		NoRecords:         p.noRecords,
		PlatformStateAge:  n.platformStateAge(now),
		Wait:              peer.MaxPullWait,
	}
	if p.sentSelf.ID == "" || self.Newer(p.sentSelf) {
		req.Record = &self
	}
	if mayFetch && p.partnerGeneration > n.config.generation && (n.configFetcher == nil || n.configFetcher == p) {
		n.configFetcher = p
		req.WantConfig = true
		req.Wait = 0
	}
	return req
}

// applyResponse applies everything in a response but the configuration, which
// pullOnce passes to acceptConfig.
func (n *Node) applyResponse(p *puller, req peer.PullRequest, resp peer.PullResponse) {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if req.WantConfig {
		n.endConfigFetch(p)
	}
	n.merge(resp.Changes, now)
	if p.cursor == req.Cursor { // no concurrent pull has advanced it
		p.cursor = resp.Cursor
		n.cursors[p.addr] = resp.Cursor
	}
	p.partnerGeneration = resp.Generation
	if req.Record != nil {
		p.sentSelf = *req.Record
	}
	if resp.SendRecord {
		p.sentSelf = membership.Record{}
	}
	if p.sentSelf.ID != "" && n.table.Self().Newer(p.sentSelf) {
		n.selfSignal.notifyAll()
	}
	if resp.Suspected && n.table.Self().Sequence == req.Sequence {
		n.replaceSelf(n.table.Self(), now)
	}
	n.recordPeerPlatformState(resp.Generation, resp.PlatformStateAge, now)
	n.recordPeerContact(resp, now)
	delete(n.failedAt, p.addr)
}

// recordPeerContact notes a response of a partner as evidence that it is alive.
func (n *Node) recordPeerContact(resp peer.PullResponse, now time.Time) {
	if resp.ID == n.table.Self().ID {
		return // a seed address that belongs to this process
	}
	n.lastResponse = now
	n.table.RecordContact(resp.ID, now)
	n.clocks.AddSample(resp.ID, resp.Clock, now)
	if partner, ok := n.table.Lookup(resp.ID); ok {
		n.tracker.RecordProcessContact(partner.Domain, partner.Region, now)
	}
}

func (n *Node) endConfigFetch(p *puller) {
	if n.configFetcher == p {
		n.configFetcher = nil
	}
}

func (n *Node) handlePullFailure(ctx context.Context, p *puller, err error) {
	now := n.now()
	n.mu.Lock()
	n.endConfigFetch(p)
	n.failedAt[p.addr] = now
	n.mu.Unlock()
	select {
	case n.partnerFailed <- struct{}{}:
	default: // a notification is already pending
	}
	if ctx.Err() != nil {
		return
	}
	n.metrics.PullFailures.Inc(errkind.Of(err))
	id := event.PeerLost
	switch errkind.Of(err) {
	case errkind.PeerUnauthorized:
		id = event.PeerRefused
	case errkind.PeerMalformed:
		id = event.PeerMessageRefused
	}
	n.log.EmitError(id, err, event.Fields{"remote": p.addr.String()})
}
