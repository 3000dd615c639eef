package flownode

import (
	"context"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/hop"
)

// FollowView hands each new view to take until the node stops.
func (n *Node) FollowView(take func(view.View)) {
	n.Go(func(ctx context.Context) {
		changed, cancel := n.Board.Subscribe()
		defer cancel()
		for {
			select {
			case <-changed:
				take(n.Board.View())
			case <-ctx.Done():
				return
			}
		}
	})
}

// ReadPackets hands each datagram of a socket to handle until the node stops,
// which closes the socket. The datagram is valid during the call. Errors are
// logged: a faulty datagram concerns its sender alone.
func (n *Node) ReadPackets(socket udp.Socket, handle func(datagram []byte) error) {
	n.OnStop(func() { _ = socket.Close() })
	n.Go(func(ctx context.Context) {
		buffer := make([]byte, udp.MaxDatagram)
		for {
			size, _, err := socket.ReadFromUDPAddrPort(buffer)
			if ctx.Err() != nil {
				return
			}
			if err == nil {
				err = handle(buffer[:size])
			}
			if err != nil {
				n.Refuse(err)
			}
		}
	})
}

// ReadMessages hands each message of other nodes to handle, like ReadPackets.
func (n *Node) ReadMessages(socket udp.Socket, handle func(*hop.Message) error) {
	var m hop.Message
	n.ReadPackets(socket, func(datagram []byte) error {
		if err := hop.Decode(datagram, &m); err != nil {
			return err
		}
		return handle(&m)
	})
}

// Refuse logs a packet or message that can't be used.
func (n *Node) Refuse(err error) { n.Logger.Failure(event.PacketRefused, err, nil) }
