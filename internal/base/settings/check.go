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
// and a Faults as cause.
func (b *Balancer) Check() error {
	var fs Faults
	b.Common.check(&fs)
	b.checkBindHost(&fs)
	checkTunnel(&fs, b.TunnelListen)
	return fs.err()
}

// Check verifies the settings of an agent. Its error has kind SettingInvalid
// and a Faults as cause.
func (a *Agent) Check() error {
	var fs Faults
	a.Common.check(&fs)
	checkName(&fs, "service", a.Service)
	a.checkBackend(&fs)
	checkTunnel(&fs, a.TunnelListen)
	a.checkCertificate(&fs)
	return fs.err()
}

func (c *Common) check(fs *Faults) {
	checkName(fs, "id", c.ID)
	checkName(fs, "failure-domain", c.FailureDomain)
	checkName(fs, "region", c.Region)
	checkListen(fs, "peer-listen", c.PeerListen)
	checkListen(fs, "ops-listen", c.OpsListen)
	if c.OpsListen.IsValid() && c.OpsListen.AddrPort == c.PeerListen.AddrPort {
		fs.add("ops-listen", "must differ from --peer-listen")
	}
	checkPlatform(fs, c.Platform)
	checkPeers(fs, "seeds", c.Seeds)
	checkKeyring(fs, c.Keyring, c.KeyringFile)
	if c.LogFormat != "text" && c.LogFormat != "json" {
		fs.add("log-format", "%q: expected text or json", c.LogFormat)
	}
	checkGrace(fs, c.ShutdownGrace)
}

// checkName accepts the names that the configuration accepts.
func checkName(fs *Faults, field, name string) {
	switch {
	case name == "":
		fs.add(field, "must not be empty")
	case len(name) > maxNameBytes:
		fs.add(field, "%d bytes, at most %d are allowed", len(name), maxNameBytes)
	case slices.ContainsFunc([]rune(name), notNameRune):
		fs.add(field, "%q: only a-z, 0-9 and hyphens are allowed", name)
	}
}

func notNameRune(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-'
}

// checkListen refuses an unspecified IP because the address is announced to
// other processes or, for operators, would be open on every network of the
// host; and port 0 because nobody could find the process again after a
// restart.
func checkListen(fs *Faults, field string, a Addr) bool {
	switch {
	case a.text == "" && !a.IsValid():
		fs.add(field, "must not be empty")
	case !a.IsValid():
		fs.add(field, "%q: expected IP:port", a.text)
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		fs.add(field, "%s: expected one address of this host", a.Addr())
	case a.Port() == 0:
		fs.add(field, "port must not be 0")
	default:
		return true
	}
	return false
}

// checkTunnel also requires IPv4: a connection ID has four bytes for the
// address.
func checkTunnel(fs *Faults, a Addr) {
	if checkListen(fs, "tunnel-listen", a) && !a.Addr().Is4() {
		fs.add("tunnel-listen", "%s: expected an IPv4 address", a.Addr())
	}
}

func checkPeers(fs *Faults, field string, peers []Addr) {
	seen := map[netip.AddrPort]bool{}
	for _, peer := range peers {
		if !checkListen(fs, field, peer) {
			continue
		}
		if seen[peer.AddrPort] {
			fs.add(field, "%s is listed twice", peer.AddrPort)
		}
		seen[peer.AddrPort] = true
	}
}

func checkGrace(fs *Faults, d Duration) {
	if d.bad {
		fs.add("shutdown-grace", "%q: expected a number with unit, such as 30s", d.text)
		return
	}
	if d.Duration < minShutdownGrace || d.Duration > maxShutdownGrace {
		fs.add("shutdown-grace", "%s: expected 1s to 24h", d.Duration)
	}
}

// checkBindHost refuses the unspecified IP: answers would leave with an
// address that callers did not send to.
func (b *Balancer) checkBindHost(fs *Faults) {
	if b.BindHost == "" {
		return
	}
	ip, err := netip.ParseAddr(b.BindHost)
	switch {
	case err != nil || !ip.Is4():
		fs.add("bind-host", "%q: expected an IPv4 address", b.BindHost)
	case ip.IsUnspecified() || ip.IsMulticast():
		fs.add("bind-host", "%s: expected one address of this host", ip)
	}
}

// Bind returns the address to bind for a service address. The settings must
// have passed Check.
func (b *Balancer) Bind(service netip.AddrPort) netip.AddrPort {
	if b.BindHost == "" {
		return service
	}
	return netip.AddrPortFrom(netip.MustParseAddr(b.BindHost), service.Port())
}

// checkBackend refuses an address of another host: an agent is the only gate
// to its backend server, and two agents in front of one server would each
// grant its full limit.
func (a *Agent) checkBackend(fs *Faults) {
	if !checkListen(fs, "backend", a.Backend) {
		return
	}
	ip := a.Backend.Addr()
	if !ip.IsLoopback() && ip != a.TunnelListen.Addr() && ip != a.PeerListen.Addr() {
		fs.add("backend", "%s: expected a loopback address or the IP of --tunnel-listen or --peer-listen", ip)
	}
	if a.Backend.AddrPort == a.PeerListen.AddrPort || a.Backend.AddrPort == a.OpsListen.AddrPort {
		fs.add("backend", "must differ from --peer-listen and --ops-listen")
	}
}
