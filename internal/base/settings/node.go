package settings

import "net/netip"

// Node holds the settings of knapweedpier-node, a process on the users' platform.
// The platform's own settings file holds its other settings.
type Node struct {
	LogFormat   string `help:"Format of log lines on standard output: text or json." env:"KNAPWEEDPIER_LOG_FORMAT" enum:"text,json" default:"json" placeholder:"FORMAT"`
	MetricsPort uint16 `help:"Port of the machine's address on which metrics are read, path /metrics." env:"KNAPWEEDPIER_METRICS_PORT" default:"9108" placeholder:"PORT"`
	BindHost    string `help:"IPv4 address to bind in place of the IP of each address in the settings file; the ports stay, and so do the addresses that other processes are given. Default: the IP of each address." env:"KNAPWEEDPIER_NODE_BIND_HOST" placeholder:"IP"`

	Balancer struct{} `cmd:"" help:"Forward callers' packets to agents."`
	Agent    struct{} `cmd:"" help:"Guard the backend server on this machine."`
}

// BindAddress returns the IP that the process binds in place of those in the settings file,
// the zero Addr for those themselves. Its error has kind SettingInvalid and wraps a Faults.
func (n *Node) BindAddress() (netip.Addr, error) {
	var faults Faults
	checkBindHost(&faults, n.BindHost)
	if err := faults.asError(); err != nil || n.BindHost == "" {
		return netip.Addr{}, err
	}
	return netip.MustParseAddr(n.BindHost), nil
}
