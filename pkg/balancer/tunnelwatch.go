package balancer

import (
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
)

const (
	// silentTunnelAfter is how long an agent that is being sent to may be
	// silent before the path to it is suspected.
	silentTunnelAfter = 2 * time.Second
	// recentlySent limits the suspicion to agents that have traffic now.
	recentlySent = time.Second
	// reopenInterval bounds how often the sending socket is replaced, since a
	// dead agent looks the same as a path that lost its flow.
	reopenInterval = 10 * time.Second
)

// WatchTunnel replaces the sending socket, and so the source port, if an agent
// that is being sent to has fallen silent: a device on the path may have lost
// the UDP flow while new flows pass. It is to be called about twice a second.
func (f *Forwarder) WatchTunnel(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || now.Sub(f.reopened) < reopenInterval {
		return
	}
	agent, silent := f.silentAgent(now)
	if !silent {
		return
	}
	f.reopened = now
	socket, err := f.listen(netip.AddrPortFrom(f.tunnel.address.Addr(), 0))
	if err != nil {
		f.logger.Failure(event.TunnelReopened, err, nil)
		return
	}
	f.tunnel.replaceSender(socket)
	f.done.Go(func() { f.returnLoop(socket) })
	f.logger.Emit(event.TunnelReopened, event.Fields{"agent": agent.String()})
}

func (f *Forwarder) silentAgent(now time.Time) (netip.AddrPort, bool) {
	for agent, ev := range f.evidence {
		sent, heard := time.Unix(0, ev.Sent.Load()), ev.Heard.Load()
		if heard == 0 || now.Sub(sent) > recentlySent {
			continue
		}
		if now.Sub(time.Unix(0, heard)) > silentTunnelAfter {
			return agent, true
		}
	}
	return netip.AddrPort{}, false
}
