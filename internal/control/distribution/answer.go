package distribution

import (
	"context"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/control/peer"
)

// answer serves peer.pull: it waits for news for as long as the requester asks. A
// new generation is sent at once, changed records are collected for a moment.
func (n *Node) answer(ctx context.Context, req peer.PullRequest) (peer.PullAnswer, error) {
	arrived := n.now()
	n.admit(req, arrived)
	timeout := time.NewTimer(req.Wait)
	defer timeout.Stop()
	collected := time.NewTimer(n.newsDelay())
	defer collected.Stop()
	collecting, last := true, req.Wait == 0 || req.Done
	for {
		records, generation := n.records.wait(), n.generation.wait()
		if answer, news := n.compose(req, collecting && !last); news || last {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			last = true
		case <-timeout.C:
			last = true
		case <-collected.C:
			collecting = false
		case <-records:
		case <-generation:
		}
	}
}

func (n *Node) newsDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return min(maxNewsDelay, time.Duration(n.table.Len())*newsDelayMember)
}

// admit registers the requester and takes its own record.
func (n *Node) admit(req peer.PullRequest, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if req.Self != nil {
		n.merge([]membership.Change{{Record: *req.Self}}, now)
	}
	if req.Done {
		n.table.Released(req.ID)
	} else {
		n.table.Pulled(req.ID, now)
	}
	n.freshened(req.Generation, req.FreshAge, now)
}

// compose returns the answer as of now and whether it holds news that must not
// wait. While collecting, changed records may wait, unless the requester has no
// cursor in this table yet.
func (n *Node) compose(req peer.PullRequest, collecting bool) (peer.PullAnswer, bool) {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	changes, cursor := n.changesFor(req, now)
	answer := peer.PullAnswer{
		ID:         n.table.Self().ID,
		Changes:    changes,
		Cursor:     cursor,
		Generation: n.config.generation,
		FreshAge:   n.freshAge(now),
		Clock:      now.Truncate(time.Millisecond).UTC(),
		Suspected:  n.table.Suspected(req.ID),
		SendSelf:   n.lacks(req),
	}
	newer := n.config.generation > req.Generation
	if req.WantConfig && newer {
		answer.Config = n.config.data
	}
	urgent := answer.Suspected || answer.SendSelf || n.config.generation > req.Known || len(answer.Config) > 0
	full := req.Cursor.Instance != cursor.Instance || len(changes) >= maxChangesPerPull
	urgent = urgent || slices.ContainsFunc(changes, ending)
	return answer, urgent || full || (len(answer.Changes) > 0 && !collecting)
}

// ending reports whether a process is about to stop or has stopped, which
// others must learn within seconds over several hops.
func ending(c membership.Change) bool {
	return c.Record.State == membership.StateLeaving || c.Record.State == membership.StateGone
}

// lacks reports whether the requester's record is missing here, or older than the
// requester says.
func (n *Node) lacks(req peer.PullRequest) bool {
	have, ok := n.table.Lookup(req.ID)
	claimed := membership.Record{Incarnation: req.Incarnation, Sequence: req.Sequence}
	return !ok || claimed.Newer(have)
}

// changesFor returns the changes that the requester has to learn. Its own record
// is left out, unless it must learn that it is suspected or that a predecessor
// outranks it. In a large fleet, agents get the records of balancers and of
// their own service alone: these are all they use, and all records would take
// most of a balancer's control traffic.
func (n *Node) changesFor(req peer.PullRequest, now time.Time) ([]membership.Change, membership.Cursor) {
	if req.NoRecords {
		return nil, req.Cursor
	}
	changes, cursor := n.table.Changes(req.Cursor, maxChangesPerPull, now)
	own := membership.Record{Incarnation: req.Incarnation, Sequence: req.Sequence}
	requester, _ := n.table.Lookup(req.ID)
	partly := requester.Role == membership.RoleAgent && n.table.Len() > largeFleet
	kept := changes[:0]
	for _, c := range changes {
		echo := c.Record.ID == req.ID && !c.Suspected && !c.Record.Newer(own)
		foreign := partly && c.Record.Role == membership.RoleAgent && c.Record.Service != requester.Service
		if !echo && !foreign {
			kept = append(kept, c)
		}
	}
	return kept, cursor
}
