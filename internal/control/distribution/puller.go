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

// Times of pulling.
const (
	leastRound       = 5 * time.Millisecond // between two pulls from one partner
	retryPull        = 250 * time.Millisecond
	departureTimeout = 2 * time.Second
)

// puller pulls from one partner.
type puller struct {
	addr   netip.AddrPort
	client *peer.Client
	ended  chan struct{} // closed when the partner is no longer chosen
	once   sync.Once

	// Guarded by Node.mu.
	cursor     membership.Cursor
	sent       membership.Record // own record that the partner has
	generation uint64            // that the partner has in force
	quiet      bool              // sends no records
}

func (p *puller) end() { p.once.Do(func() { close(p.ended) }) }

// pull runs until p ends. The last pull tells the partner that its silence from
// now on is no sign of failure.
func (n *Node) pull(ctx context.Context, p *puller) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer p.client.Close()
	n.wg.Go(func() { n.pushChanges(ctx, p) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.ended:
			_ = n.push(ctx, p, true)
			return
		default:
		}
		started := time.Now()
		err := n.pullOnce(ctx, p)
		pause := leastRound - time.Since(started)
		if err != nil {
			pause = retryPull
		}
		if !delay.Sleep(ctx, pause) {
			return
		}
	}
}

func (n *Node) pullOnce(ctx context.Context, p *puller) error {
	req := n.request(p, true)
	answer, err := p.client.Pull(ctx, req)
	if err != nil {
		n.pullFailed(ctx, p, err)
		return err
	}
	n.metrics.Pulls.Inc(1)
	n.take(p, req, answer)
	if len(answer.Config) > 0 {
		return n.accept(answer.Config, answer.ID)
	}
	return nil
}

// pushChanges sends the own record as soon as it changes, beside the pull that
// waits for news.
func (n *Node) pushChanges(ctx context.Context, p *puller) {
	for {
		changed := n.self.wait() // before the check, or a change between the two is missed
		if n.outdated(p) {
			pause := leastRound
			if n.push(ctx, p, false) != nil {
				pause = retryPull
			}
			if !delay.Sleep(ctx, pause) {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-p.ended:
			return
		case <-changed:
		}
	}
}

func (n *Node) outdated(p *puller) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return p.sent.ID != "" && n.table.Self().Newer(p.sent)
}

// push makes a pull that does not wait. Its errors need no report: the waiting
// pull meets the same.
func (n *Node) push(ctx context.Context, p *puller, done bool) error {
	req := n.request(p, false)
	req.Wait, req.Done = 0, done
	answer, err := p.client.Pull(ctx, req)
	if err == nil {
		n.take(p, req, answer)
	}
	return err
}

// request builds the next request to p's partner. With fetch, it may ask for
// the configuration, which is fetched from one partner at a time.
func (n *Node) request(p *puller, fetch bool) peer.PullRequest {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.table.Self()
	req := peer.PullRequest{
		ID:          self.ID,
		Incarnation: self.Incarnation,
		Sequence:    self.Sequence,
		Cursor:      p.cursor,
		Generation:  n.config.generation,
		Known:       max(n.config.generation, p.generation),
		NoRecords:   p.quiet,
		FreshAge:    n.freshAge(now),
		Wait:        peer.MaxWait,
	}
	if p.sent.ID == "" || self.Newer(p.sent) {
		req.Self = &self
	}
	if fetch && p.generation > n.config.generation && (n.fetching == nil || n.fetching == p) {
		n.fetching = p
		req.WantConfig = true
		req.Wait = 0
	}
	return req
}

// take applies an answer.
func (n *Node) take(p *puller, req peer.PullRequest, answer peer.PullAnswer) {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if req.WantConfig {
		n.finishFetch(p)
	}
	n.merge(answer.Changes, now)
	if p.cursor == req.Cursor { // no concurrent pull has moved it
		p.cursor = answer.Cursor
		n.cursors[p.addr] = answer.Cursor
	}
	p.generation = answer.Generation
	if req.Self != nil {
		p.sent = *req.Self
	}
	if answer.SendSelf {
		p.sent = membership.Record{}
	}
	if p.sent.ID != "" && n.table.Self().Newer(p.sent) {
		n.self.fire()
	}
	if answer.Suspected && n.table.Self().Sequence == req.Sequence {
		n.replaceSelf(n.table.Self(), now)
	}
	n.freshened(answer.Generation, answer.FreshAge, now)
	n.reached(answer, now)
	delete(n.failed, p.addr)
}

// reached notes contact with a partner.
func (n *Node) reached(answer peer.PullAnswer, now time.Time) {
	if answer.ID == n.table.Self().ID {
		return // a seed that leads back here
	}
	n.answered = now
	n.table.Heard(answer.ID, now)
	n.clocks.Sample(answer.ID, answer.Clock, now)
	if partner, ok := n.table.Lookup(answer.ID); ok {
		n.tracker.Process(partner.Domain, partner.Region, now)
	}
}

func (n *Node) finishFetch(p *puller) {
	if n.fetching == p {
		n.fetching = nil
	}
}

func (n *Node) pullFailed(ctx context.Context, p *puller, err error) {
	now := n.now()
	n.mu.Lock()
	n.finishFetch(p)
	n.failed[p.addr] = now
	n.mu.Unlock()
	select {
	case n.rechoose <- struct{}{}:
	default: // a choice is pending
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
	n.log.Failure(id, err, event.Fields{"remote": p.addr.String()})
}
