package settings

import (
	"net/netip"
	"slices"
	"time"
)

const (
	minShutdownGrace = time.Second
	maxShutdownGrace = 24 * time.Hour
	maxNameBytes     = 63
)

// Check verifies the settings of a balancer. Its error has kind SettingInvalid
// and wraps a Faults.
func (b *Balancer) Check() error {
	var faults Faults
	b.Common.check(&faults)
	checkBindHost(&faults, b.BindHost)
	checkTunnelListen(&faults, b.TunnelListen)
	return faults.asError()
}

// Check verifies the settings of an agent. Its error has kind SettingInvalid
// and wraps a Faults.
func (a *Agent) Check() error {
	var faults Faults
	a.Common.check(&faults)
	checkName(&faults, "service", a.Service)
	a.checkBackend(&faults)
	checkTunnelListen(&faults, a.TunnelListen)
	a.checkCertificate(&faults)
	return faults.asError()
}

func (c *Common) check(faults *Faults) {
	checkName(faults, "id", c.ID)
	checkName(faults, "failure-domain", c.FailureDomain)
	checkName(faults, "region", c.Region)
	checkListenAddr(faults, "peer-listen", c.PeerListen)
	checkListenAddr(faults, "ops-listen", c.OpsListen)
	if c.OpsListen.IsValid() && c.OpsListen.AddrPort == c.PeerListen.AddrPort {
		faults.add("ops-listen", "must differ from --peer-listen")
	}
	checkPlatform(faults, c.Platform)
	checkPeers(faults, "seeds", c.Seeds)
	checkKeyring(faults, c.Keyring, c.KeyringFile)
	if c.LogFormat != "text" && c.LogFormat != "json" {
		faults.add("log-format", "%q: expected text or json", c.LogFormat)
	}
	checkShutdownGrace(faults, c.ShutdownGrace)
}

// checkName applies the same rule for names as the checks of the configuration.
func checkName(faults *Faults, flag, name string) {
	switch {
	case name == "":
		faults.add(flag, "must not be empty")
	case len(name) > maxNameBytes:
		faults.add(flag, "%d bytes, at most %d are allowed", len(name), maxNameBytes)
	case slices.ContainsFunc([]rune(name), isInvalidNameRune):
		faults.add(flag, "%q: only a-z, 0-9 and hyphens are allowed", name)
	}
}

func isInvalidNameRune(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-'
}

// checkListenAddr reports whether a is a valid address, and adds a fault if not.
// It refuses an unspecified IP because the address is announced to other
// processes, or would open the ops endpoint on every network of the host; and
// port 0 because the port would change with each restart, and nobody could find
// the process again.
func checkListenAddr(faults *Faults, flag string, a Addr) bool {
	switch {
	case a.text == "" && !a.IsValid():
		faults.add(flag, "must not be empty")
	case !a.IsValid():
		faults.add(flag, "%q: expected IP:port", a.text)
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		faults.add(flag, "%s: expected one address of this host", a.Addr())
	case a.Port() == 0:
		faults.add(flag, "port must not be 0")
	default:
		return true
	}
	return false
}

// checkTunnelListen also requires IPv4: a connection ID has four bytes for the
// address.
func checkTunnelListen(faults *Faults, a Addr) {
	if checkListenAddr(faults, "tunnel-listen", a) && !a.Addr().Is4() {
		faults.add("tunnel-listen", "%s: expected an IPv4 address", a.Addr())
	}
}

func checkPeers(faults *Faults, flag string, peers []Addr) {
	seen := map[netip.AddrPort]bool{}
	for _, peer := range peers {
		if !checkListenAddr(faults, flag, peer) {
			continue
		}
		if seen[peer.AddrPort] {
			faults.add(flag, "%s is listed twice", peer.AddrPort)
		}
		seen[peer.AddrPort] = true
	}
}

func checkShutdownGrace(faults *Faults, d Duration) {
	if d.malformed {
		faults.add("shutdown-grace", "%q: expected a number with unit, such as 30s", d.text)
		return
	}
	if d.Duration < minShutdownGrace || d.Duration > maxShutdownGrace {
		faults.add("shutdown-grace", "%s: expected 1s to 24h", d.Duration)
	}
}

// checkBindHost refuses the unspecified IP: responses could leave with a source
// address that callers did not send to.
func checkBindHost(faults *Faults, host string) {
	if host == "" {
		return
	}
	ip, err := netip.ParseAddr(host)
	switch {
	case err != nil || !ip.Is4():
		faults.add("bind-host", "%q: expected an IPv4 address", host)
	case ip.IsUnspecified() || ip.IsMulticast():
		faults.add("bind-host", "%s: expected one address of this host", ip)
	}
}

// BindAddress returns the address to bind for a service address. The settings
// must have passed Check.
func (b *Balancer) BindAddress(service netip.AddrPort) netip.AddrPort {
	if b.BindHost == "" {
		return service
	}
	return netip.AddrPortFrom(netip.MustParseAddr(b.BindHost), service.Port())
}

// checkBackend refuses an address of another host: an agent must be the only
// way to its backend server, since two agents in front of one server would each
// admit up to its full limit.
func (a *Agent) checkBackend(faults *Faults) {
	if !checkListenAddr(faults, "backend", a.Backend) {
		return
	}
	ip := a.Backend.Addr()
	if !ip.IsLoopback() && ip != a.TunnelListen.Addr() && ip != a.PeerListen.Addr() {
		faults.add("backend", "%s: expected a loopback address or the IP of --tunnel-listen or --peer-listen", ip)
	}
	if a.Backend.AddrPort == a.PeerListen.AddrPort || a.Backend.AddrPort == a.OpsListen.AddrPort {
		faults.add("backend", "must differ from --peer-listen and --ops-listen")
	}
}
