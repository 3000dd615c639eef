package trace

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// The agent's clock is 50 ms behind the balancer's.
const balancerLog = `{"fields":{"event":1500,"flow":"100.64.0.7:40001","to":"198.18.0.1:8443","agent":"10.1.0.12:8172"},"timestamp":"2026-12-04T08:00:01.000Z","message":"new flow sent to an agent"}
{"fields":{"event":1500,"flow":"100.64.0.7:40002","to":"198.18.0.1:8443"},"timestamp":"2026-12-04T08:00:01.100Z","message":"new flow sent to an agent"}
not an event
`

const agentLog = `  34.02 side-1 {"fields":{"event":1501,"flow":"100.64.0.7:40001","to":"198.18.0.1:8443"},"timestamp":"2026-12-04T08:00:00.950Z","message":"new flow delivered to the backend server"}
  34.02 side-1 {"fields":{"event":1513,"flow":"100.64.0.7:40001","to":"198.18.0.1:8443","request":"c1ae"},"timestamp":"2026-12-04T08:00:00.960Z","message":"request seen"}
  35.02 side-1 {"fields":{"event":1508,"flows":7},"timestamp":"2026-12-04T08:00:01.500Z","message":"backend server lost its flows"}
  39.02 side-1 {"fields":{"event":1001},"timestamp":"2026-12-04T08:00:19.500Z","message":"graceful shutdown started"}
`

func readLogs(t *testing.T) []Line {
	t.Helper()
	a, err := Read("balancer-1", strings.NewReader(balancerLog))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Read("agents.log", strings.NewReader(agentLog))
	if err != nil {
		t.Fatal(err)
	}
	return append(b, a...)
}

// Guards against a timeline that shows an effect before its cause because of a
// clock offset, omits events of the backend server, or includes other flows.
func TestTraceOrdersCausesBeforeEffects(t *testing.T) {
	is := is.New(t)
	s, err := BuildTimeline("c1ae", readLogs(t))
	is.NoErr(err)
	var b strings.Builder
	is.NoErr(s.Write(&b))
	is.Equal(b.String(), `request c1ae on flow 100.64.0.7:40001 198.18.0.1:8443
clock of side-1 put forward by 50ms
      0.0 ms  balancer-1                 1500 new flow sent to an agent agent=10.1.0.12:8172
      0.0 ms  side-1                     1501 new flow delivered to the backend server
     10.0 ms  side-1                     1513 request seen request=c1ae
    550.0 ms  side-1                     1508 backend server lost its flows flows=7
`)
}

// Guards against an empty timeline for an id that no log contains.
func TestUnknownRequestIsNotFound(t *testing.T) {
	is := is.New(t)
	_, err := BuildTimeline("beef", readLogs(t))
	is.True(errkind.Is(err, errkind.NotFound))
}

// Guards against a rejected opening packet that can't be traced because it
// carries no request id.
func TestTraceOfFlowWithoutRequest(t *testing.T) {
	is := is.New(t)
	s, err := BuildTimeline("100.64.0.7:40002", readLogs(t))
	is.NoErr(err)
	is.Equal(len(s.Lines), 1)
	is.Equal(s.Lines[0].Process, "balancer-1")
}
