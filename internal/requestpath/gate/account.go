package gate

import (
	"net/http"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// recordAnswer records the kind and the latency of the answer when its header is sent.
func (req *request) recordAnswer(kind errkind.Kind) {
	req.kind, req.latency = kind, time.Since(req.startedAt)
}

// kindOfAnswer returns the error kind in the header of an answer that is passed on:
// 0 if a backend server answered the request.
func kindOfAnswer(h http.Header) errkind.Kind {
	if name := h.Get(ErrorHeader); name != "" {
		return errkind.KindByName(name)
	}
	if h.Get(OutcomeHeader) == string(errkind.OutcomeUnknown) {
		return errkind.DeadlineUnknown // the backend server timed out
	}
	return 0
}

// countOutcome counts a caller's request once in the metrics. The peer that a
// request was relayed to does not count it, since this agent answers the caller.
// A caller's retry is counted again: it gets an answer of its own.
func (g *Gate) countOutcome(req *request) {
	if req.relayed || req.counted {
		return
	}
	req.counted = true
	m := g.opts.Metrics
	if req.kind == 0 {
		m.Requests.Inc(errkind.OutcomeDone)
	} else {
		m.Requests.Inc(req.kind.Definition().Outcome)
		m.Refusals.Inc(req.kind)
	}
	m.Latency.Update(req.latency.Microseconds())
	s, _ := g.opts.Service()
	slow := s.Objectives.LatencyP99 > 0 && req.latency > s.Objectives.LatencyP99
	g.opts.Burn.RecordRequest(g.opts.Now(), s.Name, req.kind, slow)
}

// countFeedOpened counts a feed when its header is passed on rather than at its end,
// because it may last for hours.
func (g *Gate) countFeedOpened(req *request) {
	if !req.feed || req.relayed {
		return
	}
	g.countOutcome(req)
	g.opts.Metrics.Feeds.Inc(1)
}

func (g *Gate) countFeedClosed(req *request) {
	if req.feed && !req.relayed {
		g.opts.Metrics.Feeds.Dec(1)
	}
}

// recordBrokenAnswer records an answer that was interrupted. A feed has already been
// counted as answered; the interruption counts against its flow.
func (g *Gate) recordBrokenAnswer(req *request, err error) {
	kind := errkind.BackendLost
	switch {
	case req.inbound.Context().Err() != nil:
		kind = errkind.CallerCancelled
	case req.ctx.Err() != nil:
		kind = errkind.Of(req.cancelledError(true, err))
	}
	if !req.feed {
		req.kind = kind
		return
	}
	if kind != errkind.CallerCancelled && !req.relayed {
		g.opts.OnFeedBroken(req.inbound.Context(), kind)
	}
}
