package balancer

import (
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/steering"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
)

// recordSent records when a packet was last sent to an agent.
func (t *forwardingTable) recordSent(now time.Time, agent netip.AddrPort) {
	if observed := t.observations[agent]; observed != nil {
		observed.Sent.Store(now.UnixNano())
	}
}

// returnLoop forwards agents' packets back to callers and records the load that
// agents report.
func (f *Forwarder) returnLoop(socket udp.Socket) {
	buf := make([]byte, udp.MaxDatagramBytes+tunnel.MaxSize)
	var header tunnel.Header
	for {
		n, agent, err := socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // the socket was closed
		}
		f.protect(func() { f.handleAgentPacket(socket, buf[:n], udp.Unmap(agent), &header) })
	}
}

// handleAgentPacket records the contact with an agent and handles its packet.
func (f *Forwarder) handleAgentPacket(socket udp.Socket, datagram []byte, agent netip.AddrPort, header *tunnel.Header) {
	table := f.table.Load()
	if table.codec == nil {
		return // no plan yet
	}
	payload, kind := table.codec.Parse(datagram, header)
	if kind != 0 {
		f.recordDrop(kind)
		return
	}
	now := time.Now().UnixNano()
	if observed := table.observations[agent]; observed != nil {
		observed.Heard.Store(now)
		observed.Flows.Store(int64(header.Load.Flows))
	}
	switch header.Type {
	case tunnel.Return:
		f.returnToCaller(table, now, agent, header, payload)
	case tunnel.Hello:
		f.answerHello(socket, table, agent, header.Service)
	default:
		f.recordDrop(errkind.TunnelMalformed)
	}
}

func (f *Forwarder) returnToCaller(table *forwardingTable, now int64, agent netip.AddrPort, header *tunnel.Header, payload []byte) {
	l := table.listeners[header.Service]
	if l == nil {
		f.recordDrop(errkind.PacketWrongTarget)
		return
	}
	if domain, ok := table.domains[agent]; ok {
		if dropTime := table.router.Domains[domain]; dropTime != 0 && now >= dropTime {
			f.recordDrop(errkind.PacketDomainOut)
			return
		}
	}
	if _, err := l.socket.WriteToUDPAddrPort(payload, header.Caller); err == nil {
		f.counters.Return.Inc(1)
	}
}

func (f *Forwarder) answerHello(socket udp.Socket, table *forwardingTable, agent netip.AddrPort, service uint32) {
	if table.leaving || table.router.Mode == steering.ForwardNone {
		return // return traffic that an answer attracts would soon be lost
	}
	var buf [tunnel.MaxSize]byte
	header := tunnel.Header{Type: tunnel.HelloAck, Service: service, Generation: table.generation}
	start := table.codec.Prepend(buf[:], tunnel.MaxSize, &header)
	_, _ = socket.WriteToUDPAddrPort(buf[start:], agent) // if it is lost, the agent's next hello is answered
}
