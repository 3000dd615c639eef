package flownode

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
)

// syncBuffer is a log that a test reads while it is written.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Guards against a message whose handling panics and that ends the process, or after which
// the process goes on with half-changed state.
func TestPanicEndsOnlyItsMessage(t *testing.T) {
	is := is.New(t)
	var log syncBuffer
	logger, err := event.New(&log, "json")
	is.NoErr(err)
	handled := make(chan string, 10)
	n := &Node{Logger: logger, onPanic: func() { handled <- "state replaced" }}
	n.ctx, n.cancel = context.WithCancel(t.Context())
	defer n.Stop()
	socket, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	n.ReadPackets(socket, func(datagram []byte) error {
		if string(datagram) == "poison" {
			panic("half changed")
		}
		handled <- string(datagram)
		return nil
	})
	conn, err := net.Dial("udp4", udp.LocalAddress(socket).String())
	is.NoErr(err)
	defer conn.Close()
	for _, datagram := range []string{"poison", "next"} {
		_, err := conn.Write([]byte(datagram))
		is.NoErr(err)
	}
	is.Equal(<-handled, "state replaced")
	is.Equal(<-handled, "next")
	is.True(strings.Contains(log.String(), `"event":1008`) && strings.Contains(log.String(), "half changed"))
}

// Guards against a timer that stops for good after it panicked once.
func TestTimerContinuesAfterPanic(t *testing.T) {
	n := &Node{Logger: event.Discard()}
	n.ctx, n.cancel = context.WithCancel(t.Context())
	defer n.Stop()
	fired := make(chan struct{})
	n.Every(time.Millisecond, func() {
		select {
		case fired <- struct{}{}:
		case <-n.ctx.Done():
		}
		panic("timer")
	})
	<-fired
	<-fired
}
