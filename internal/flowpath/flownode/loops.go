package flownode

import (
	"context"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/panics"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// FollowView calls apply after each change of the view until the node stops.
func (n *Node) FollowView(apply func()) {
	n.Go(func(ctx context.Context) {
		changed, cancel := n.Board.Subscribe()
		defer cancel()
		for {
			select {
			case <-changed:
				_ = n.Protect(func() error { apply(); return nil })
			case <-ctx.Done():
				return
			}
		}
	})
}

// ReadPackets calls handle with each datagram of a socket until the node stops,
// which closes the socket. The datagram is valid only during the call. Errors are
// logged and don't end the loop, since a malformed datagram affects only its
// sender.
func (n *Node) ReadPackets(socket udp.Socket, handle func(datagram []byte) error) {
	n.OnStop(func() { _ = socket.Close() })
	n.Go(func(ctx context.Context) {
		buffer := make([]byte, udp.MaxDatagramBytes)
		for {
			size, _, err := socket.ReadFromUDPAddrPort(buffer)
			if ctx.Err() != nil {
				return
			}
			if err == nil {
				err = n.Protect(func() error { return handle(buffer[:size]) })
			}
			if err != nil {
				n.LogRefused(err)
			}
		}
	})
}

// ReadMessages decodes the messages of other nodes and calls handle with each,
// like ReadPackets.
func (n *Node) ReadMessages(socket udp.Socket, handle func(*hop.Message) error) {
	var m hop.Message
	n.ReadPackets(socket, func(datagram []byte) error {
		if err := hop.Decode(datagram, &m); err != nil {
			return err
		}
		return handle(&m)
	})
}

// Every calls f at an interval until the node stops.
func (n *Node) Every(interval time.Duration, f func()) {
	n.Go(func(ctx context.Context) {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				_ = n.Protect(func() error { f(); return nil })
			case <-ctx.Done():
				return
			}
		}
	})
}

// Protect calls f and returns its error. If f panics, it logs the panic, has the state
// replaced that f may have left half changed, and returns an error of kind Internal. A
// panic while the state is replaced ends the process.
func (n *Node) Protect(f func() error) error {
	panicked, err := panics.Handle(n.Logger, f)
	if panicked && n.onPanic != nil {
		n.onPanic()
	}
	return err
}

// LogRefused logs a packet or message that couldn't be processed.
func (n *Node) LogRefused(err error) { n.Logger.EmitError(event.PacketRefused, err, nil) }
