package gate

import (
	"net/http"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// answered notes what the caller is told, at the time of the answer's header.
func (j *job) answered(kind errkind.Kind) {
	j.kind, j.latency = kind, time.Since(j.began)
}

// passedKind returns the kind of an answer that is passed on: 0 if a backend
// server answered the request.
func passedKind(h http.Header) errkind.Kind {
	if name := h.Get(ErrorHeader); name != "" {
		return errkind.Named(name)
	}
	if h.Get(OutcomeHeader) == string(errkind.OutcomeUnknown) {
		return errkind.DeadlineUnknown // the backend server gave it up
	}
	return 0
}

// account counts a caller's request once. The peer that a request was relayed
// to does not count it, since the caller is told by this agent. An attempt
// that a caller repeats is counted again: the caller was told something each
// time.
func (g *Gate) account(j *job) {
	if j.relayed || j.ended {
		return
	}
	j.ended = true
	m := g.opts.Metrics
	if j.kind == 0 {
		m.Requests.Inc(errkind.OutcomeDone)
	} else {
		m.Requests.Inc(j.kind.Answer().Outcome)
		m.Refusals.Inc(j.kind)
	}
	m.Latency.Update(j.latency.Microseconds())
	s, _ := g.opts.Service()
	slow := s.Objectives.LatencyP99 > 0 && j.latency > s.Objectives.LatencyP99
	g.opts.Burn.Request(g.opts.Now(), s.Name, j.kind, slow)
}

// feedOpened counts a feed when its header is passed on, because it may last
// for hours.
func (g *Gate) feedOpened(j *job) {
	if !j.feed || j.relayed {
		return
	}
	g.account(j)
	g.opts.Metrics.Feeds.Inc(1)
}

func (g *Gate) feedClosed(j *job) {
	if j.feed && !j.relayed {
		g.opts.Metrics.Feeds.Dec(1)
	}
}

// cutOff notes an answer that breaks off. A feed was counted as answered; the
// break counts against its flow.
func (g *Gate) cutOff(j *job, err error) {
	kind := errkind.BackendLost
	switch {
	case j.in.Context().Err() != nil:
		kind = errkind.CallerCancelled
	case j.ctx.Err() != nil:
		kind = errkind.Of(j.cancelled(true, err))
	}
	if !j.feed {
		j.kind = kind
		return
	}
	if kind != errkind.CallerCancelled && !j.relayed {
		g.opts.FeedBroken(j.in.Context(), kind)
	}
}
