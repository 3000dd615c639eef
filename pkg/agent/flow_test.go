package agent

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/gate"
)

// Guards against a flow that counts as broken although its caller closed it or
// left it idle, and against a broken flow that does not count.
func TestFlowBrokenKind(t *testing.T) {
	for name, c := range map[string]struct {
		active int64
		fail   errkind.Kind
		cause  error
		kind   errkind.Kind
	}{
		"closed by the caller":       {1, 0, &quic.ApplicationError{Remote: true}, 0},
		"idle without a request":     {0, 0, &quic.IdleTimeoutError{}, 0},
		"silent with a request":      {1, 0, &quic.IdleTimeoutError{}, errkind.DeadlineUnknown},
		"reset with a request":       {1, 0, &quic.StatelessResetError{}, errkind.BackendLost},
		"feed was cut earlier":       {0, errkind.BackendLost, &quic.ApplicationError{Remote: true}, errkind.BackendLost},
		"first kind stays":           {1, errkind.AgentFenced, &quic.IdleTimeoutError{}, errkind.AgentFenced},
		"failure domain, and closed": {1, errkind.DomainOut, &quic.ApplicationError{}, errkind.DomainOut},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &flow{}
			f.activeRequests.Store(c.active)
			if c.fail != 0 {
				f.markBroken(c.fail)
			}
			is.Equal(f.brokenKind(c.cause), c.kind)
		})
	}
}

// Guards against a false outcome "not-run": between two incarnations the agent
// cannot know whether an earlier attempt with the same ticket ran.
func TestRelayBetweenIncarnationsReportsUnknownOutcome(t *testing.T) {
	is := is.New(t)
	outcome := func(ticket, attempt string) string {
		r := httptest.NewRequest(http.MethodPost, "/orders", nil)
		r.Header.Set(gate.TicketHeader, ticket)
		r.Header.Set(gate.AttemptHeader, attempt)
		w := httptest.NewRecorder()
		(&Agent{}).serveRelay(w, r)
		return w.Header().Get(gate.OutcomeHeader)
	}
	is.Equal(outcome("", ""), "not-run")
	is.Equal(outcome("t", "1"), "not-run")
	is.Equal(outcome("t", "2"), "unknown")
	is.Equal(outcome("t", ""), "unknown")
}
