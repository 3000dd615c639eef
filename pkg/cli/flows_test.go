package cli

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/platform"
	"github.com/knapweedpier/knapweedpier/platform/platformtest"
)

// Guards against a screen that shows a service as up although no process of it
// answers, and against one that shows it as down while its agent answers.
func TestFlowsReportsWhetherServiceIsUp(t *testing.T) {
	is := is.New(t)
	server := platformtest.New()
	defer server.Close()
	server.SetConfiguration(3)
	store := platform.NewStore(server.Address())
	defer store.Close()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	peer := l.Addr().(*net.TCPAddr).AddrPort()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	board := view.NewBoard()
	board.SetPath("balancer-1")
	for _, s := range view.Sections() {
		board.Confirm(s, time.Now())
	}
	go follow.Serve(ctx, l, board, event.Discard())
	_, err = store.WriteMember(t.Context(), view.Member{
		Name: "agent-1", Role: view.AgentRole, Address: peer, Peer: peer, Service: "comptoir", Slots: 9, State: view.Ready,
	})
	is.NoErr(err)
	run := func() (int, string) {
		var stdout, stderr bytes.Buffer
		code := Run(t.Context(), []string{"flows", server.Address().String()}, Options{Out: &stdout, Err: &stderr})
		return code, stdout.String() + stderr.String()
	}
	code, screen := run()
	is.Equal(code, 0)
	is.True(strings.Contains(screen, "configuration 3"))
	is.NoErr(l.Close())
	code, screen = run()
	is.Equal(code, errkind.ExitCode(errkind.New(errkind.ServiceDown, "")))
	is.True(strings.Contains(screen, "DOWN"))
	server.SetFault(platformtest.Unavailable)
	code, _ = run()
	is.Equal(code, errkind.ExitCode(errkind.New(errkind.PlatformDown, "")))
}
