package balancer

import (
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
)

const (
	// agentSilenceTimeout is how long an agent to which packets are being sent
	// may be silent before the path to it is suspected.
	agentSilenceTimeout = 2 * time.Second
	// recentSendWindow limits the suspicion to agents to which a packet was sent
	// within this time.
	recentSendWindow = time.Second
	// minReopenInterval bounds how often the sending socket is replaced, since a
	// dead agent cannot be distinguished from a path that lost the UDP flow.
	minReopenInterval = 10 * time.Second
)

// CheckTunnel replaces the sending socket, and so the source port, if an agent to
// which packets are being sent has fallen silent: a device on the path may have
// lost the UDP flow and still let new UDP flows pass. It should be called about
// twice a second or more often.
func (f *Forwarder) CheckTunnel(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || now.Sub(f.senderReplaced) < minReopenInterval {
		return
	}
	agent, found := f.findSilentAgent(now)
	if !found {
		return
	}
	f.senderReplaced = now
	socket, err := f.listenUDP(netip.AddrPortFrom(f.tunnel.address.Addr(), 0))
	if err != nil {
		f.logger.EmitError(event.TunnelReopened, err, nil)
		return
	}
	f.tunnel.replaceSender(socket)
	f.done.Go(func() { f.returnLoop(socket) })
	f.logger.Emit(event.TunnelReopened, event.Fields{"agent": agent.String()})
}

// findSilentAgent returns an agent to which packets were sent recently and which
// has been silent for longer than agentSilenceTimeout.
func (f *Forwarder) findSilentAgent(now time.Time) (netip.AddrPort, bool) {
	for agent, observed := range f.observations {
		sent, heard := time.Unix(0, observed.Sent.Load()), observed.Heard.Load()
		if heard == 0 || now.Sub(sent) > recentSendWindow {
			continue
		}
		if now.Sub(time.Unix(0, heard)) > agentSilenceTimeout {
			return agent, true
		}
	}
	return netip.AddrPort{}, false
}
