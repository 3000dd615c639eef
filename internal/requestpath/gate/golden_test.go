package gate

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/standin/backend"
)

// updateVariable is the environment variable that makes the test write its golden file.
const updateVariable = "KNAPWEEDPIER_UPDATE_GOLDEN"

// Guards against unintended changes of the answers that a caller gets when it
// retries with a ticket after its connection or the backend connection was lost.
func TestGoldenSession(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, PolicyAdaptive, backend.Options{WorkMean: 20 * time.Millisecond})
	a, b := f.members[0], f.members[1]
	var log strings.Builder
	show := func(step string, got reply) {
		fmt.Fprintf(&log, "%s\n  status %d\n  outcome %s\n  error %s\n  next ticket %t\n  body %s\n",
			step, got.status, got.outcome(), got.kind(), got.header.Get(NextTicketHeader) != "", strings.TrimSpace(got.body))
	}
	issued := a.call("POST", TicketPath, "")
	first := issued.header.Get(TicketHeader)
	show("ticket from agent 1", issued)

	restartOnStart(a)
	lost := a.call("POST", "/orders", `{"order":"lost"}`, TicketHeader, first, AttemptHeader, "1")
	show("order, backend connection lost", lost)
	show("retry at agent 1", a.call("POST", "/orders", `{"order":"lost"}`, TicketHeader, first, AttemptHeader, "2"))
	show("retry at agent 2", b.call("POST", "/orders", `{"order":"lost"}`, TicketHeader, first, AttemptHeader, "3"))

	second := lost.header.Get(NextTicketHeader)
	leave := make(chan struct{})
	go func() { // the caller's connection is lost while the order runs
		defer close(leave)
		r := httptest.NewRequest("POST", "/orders", strings.NewReader(`{"order":"kept"}`))
		r.Header.Set(TicketHeader, second)
		a.ServeHTTP(httptest.NewRecorder(), r)
	}()
	for a.server.Ledger().Runs["kept"] == 0 {
		time.Sleep(time.Millisecond)
	}
	show("retry at agent 2 while the order runs", b.call("POST", "/orders", `{"order":"kept"}`, TicketHeader, second, AttemptHeader, "2"))
	<-leave
	fmt.Fprintf(&log, "runs: lost %d, kept %d\n", a.server.Ledger().Runs["lost"], a.server.Ledger().Runs["kept"])

	const path = "testdata/session.golden"
	if os.Getenv(updateVariable) != "" {
		is.NoErr(os.WriteFile(path, []byte(log.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(log.String(), string(want))
}
