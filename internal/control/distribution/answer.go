package distribution

import (
	"context"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/control/peer"
)

// servePull serves peer.pull as a long poll: it waits for changes for as long as
// the requester asks. A new generation is sent at once; changed records are
// batched for batchDelay.
func (n *Node) servePull(ctx context.Context, req peer.PullRequest) (peer.PullResponse, error) {
	arrived := n.now()
	n.applyPullRequest(req, arrived)
	timeout := time.NewTimer(req.Wait)
	defer timeout.Stop()
	batchTimer := time.NewTimer(n.batchDelay())
	defer batchTimer.Stop()
	batching, final := true, req.Wait == 0 || req.Final
	for {
		records, generation := n.recordsSignal.notified(), n.generationSignal.notified()
		if resp, ready := n.buildResponse(req, batching && !final); ready || final {
			return resp, nil
		}
		select {
		case <-ctx.Done():
			final = true
		case <-timeout.C:
			final = true
		case <-batchTimer.C:
			batching = false
		case <-records:
		case <-generation:
		}
	}
}

// batchDelay returns how long changed records are batched; it grows with the fleet.
func (n *Node) batchDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return min(maxBatchDelay, time.Duration(n.table.Len())*batchDelayPerMember)
}

// applyPullRequest merges the requester's record, if it was sent, and notes that
// the requester pulls from this process or no longer does.
func (n *Node) applyPullRequest(req peer.PullRequest, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if req.Record != nil {
		n.merge([]membership.Change{{Record: *req.Record}}, now)
	}
	if req.Final {
		n.table.RecordPullEnd(req.ID)
	} else {
		n.table.RecordPull(req.ID, now)
	}
	n.recordPeerPlatformState(req.Generation, req.PlatformStateAge, now)
}

// buildResponse returns the response as of now and whether it must be sent
// without waiting longer. While batching, changed records may wait, unless the
// requester has no cursor in this table yet.
func (n *Node) buildResponse(req peer.PullRequest, batching bool) (peer.PullResponse, bool) {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	changes, cursor := n.changesFor(req, now)
	resp := peer.PullResponse{
		ID:               n.table.Self().ID,
		Changes:          changes,
		Cursor:           cursor,
		Generation:       n.config.generation,
		PlatformStateAge: n.platformStateAge(now),
		Clock:            now.Truncate(time.Millisecond).UTC(),
		Suspected:        n.table.IsSuspected(req.ID),
		SendRecord:       n.needsRecordOf(req),
	}
	newer := n.config.generation > req.Generation
	if req.WantConfig && newer {
		resp.Config = n.config.data
	}
	urgent := resp.Suspected || resp.SendRecord || n.config.generation > req.PartnerGeneration || len(resp.Config) > 0
	catchingUp := req.Cursor.Instance != cursor.Instance || len(changes) >= maxChangesPerPull
	urgent = urgent || slices.ContainsFunc(changes, isLeavingOrGone)
	return resp, urgent || catchingUp || (len(resp.Changes) > 0 && !batching)
}

// isLeavingOrGone reports whether a process is about to stop or has stopped. Such
// a change must reach the fleet within seconds over several hops, so it is not
// batched.
func isLeavingOrGone(c membership.Change) bool {
	return c.Record.State == membership.StateLeaving || c.Record.State == membership.StateGone
}

// needsRecordOf reports whether the requester's record is missing in this
// process's table, or is older than the sequence in the request.
func (n *Node) needsRecordOf(req peer.PullRequest) bool {
	have, ok := n.table.Lookup(req.ID)
	claimed := membership.Record{Incarnation: req.Incarnation, Sequence: req.Sequence}
	return !ok || claimed.Newer(have)
}

// changesFor returns the changes that the requester needs. The requester's own
// record is left out, unless it must learn that it is suspected or that a
// predecessor's record supersedes its own. In a large fleet, agents get only the
// records of balancers and of agents of their own service: they use no others,
// and sending all would take most of a balancer's control traffic.
func (n *Node) changesFor(req peer.PullRequest, now time.Time) ([]membership.Change, membership.Cursor) {
	if req.NoRecords {
		return nil, req.Cursor
	}
	changes, cursor := n.table.Changes(req.Cursor, maxChangesPerPull, now)
	own := membership.Record{Incarnation: req.Incarnation, Sequence: req.Sequence}
	requester, _ := n.table.Lookup(req.ID)
	filtered := requester.Role == membership.RoleAgent && n.table.Len() > largeFleetRecords
	kept := changes[:0]
	for _, c := range changes {
		ownRecord := c.Record.ID == req.ID && !c.Suspected && !c.Record.Newer(own)
		otherService := filtered && c.Record.Role == membership.RoleAgent && c.Record.Service != requester.Service
		if !ownRecord && !otherService {
			kept = append(kept, c)
		}
	}
	return kept, cursor
}
