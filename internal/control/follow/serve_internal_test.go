package follow

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// heldConn is a connection whose first write waits until release is closed.
type heldConn struct {
	net.Conn
	writing chan<- struct{}
	release <-chan struct{}
}

func (c heldConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	<-c.release
	return c.Conn.Write(p)
}

// heldListener makes heldConns.
type heldListener struct {
	net.Listener
	writing chan<- struct{}
	release <-chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return heldConn{conn, l.writing, l.release}, err
}

// Guards against a process that runs out of memory because all followers of a failure
// domain request a large configuration at once, and against one that serves only the first
// of them.
func TestLargeResponsesAreSentFewAtATime(t *testing.T) {
	is := is.New(t)
	const followers = 3 * maxSending
	writing, release := make(chan struct{}, 100*followers), make(chan struct{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	board := view.NewBoard()
	board.Apply(view.Delta{Section: view.ConfigurationSection, To: 1, Full: true, Configuration: &view.ConfigurationDelta{Version: 1}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go Serve(ctx, heldListener{l, writing, release}, board, event.Discard())
	answered := make(chan error, followers)
	for range followers {
		go func() {
			conns := newPeerConns(dialTCP)
			defer conns.closeAll()
			_, err := conns.poll(ctx, l.Addr().(*net.TCPAddr).AddrPort(), ChangesRequest{WaitMS: 60_000})
			answered <- err
		}()
	}
	for range maxSending {
		<-writing
	}
	time.Sleep(50 * time.Millisecond) // a further response would be written by then
	is.Equal(len(writing), 0)
	close(release)
	for range followers {
		is.NoErr(<-answered)
	}
}
