package flownode

import (
	"context"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
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
				apply()
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
				err = handle(buffer[:size])
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

// LogRefused logs a packet or message that couldn't be processed.
func (n *Node) LogRefused(err error) { n.Logger.EmitError(event.PacketRefused, err, nil) }
