package settings

// Common holds the settings of every daemon.
type Common struct {
	ID            string   `name:"id" env:"KNAPWEEDPIER_ID" placeholder:"NAME" help:"Name of this process, unique in the fleet: 1 to 63 of a-z, 0-9 and hyphens. Required."`
	FailureDomain string   `name:"failure-domain" env:"KNAPWEEDPIER_FAILURE_DOMAIN" placeholder:"NAME" help:"Failure domain of this host. Required."`
	Region        string   `name:"region" env:"KNAPWEEDPIER_REGION" placeholder:"NAME" help:"Region of this host. Required."`
	PeerListen    Addr     `name:"peer-listen" env:"KNAPWEEDPIER_PEER_LISTEN" placeholder:"IP:PORT" help:"TCP address for other processes of the fleet; announced to them, so it must be this host's own IP. Required."`
	OpsListen     Addr     `name:"ops-listen" env:"KNAPWEEDPIER_OPS_LISTEN" placeholder:"IP:PORT" help:"TCP address for operators: /healthz and /metrics over HTTP, without authentication. Required."`
	Platform      string   `name:"platform" env:"KNAPWEEDPIER_PLATFORM" placeholder:"URL" help:"Base URL of the platform, http or https with an IP number as host. Required."`
	Seeds         []Addr   `name:"seeds" env:"KNAPWEEDPIER_SEEDS" placeholder:"IP:PORT" help:"Peer addresses (TCP) to catch up from while the platform is down, separated by commas."`
	Keyring       string   `name:"keyring" env:"KNAPWEEDPIER_KEYRING" placeholder:"ID:HEX" help:"One or two keys of 32 bytes in hexadecimal, separated by a comma; the first signs. Visible in the process list: prefer the file. Exactly one of --keyring and --keyring-file is required."`
	KeyringFile   string   `name:"keyring-file" env:"KNAPWEEDPIER_KEYRING_FILE" placeholder:"FILE" help:"File with the same content, not accessible by other users of the host; re-read every 5 s."`
	LogFormat     string   `name:"log-format" env:"KNAPWEEDPIER_LOG_FORMAT" default:"text" placeholder:"FORMAT" help:"Format of log lines on standard error: text or json."`
	ShutdownGrace Duration `name:"shutdown-grace" env:"KNAPWEEDPIER_SHUTDOWN_GRACE" default:"30s" placeholder:"DURATION" help:"How long a graceful shutdown waits for requests in progress, with unit (s, m, h): 1s to 24h."`
}

// Balancer holds the settings of knapweedpier-balancer.
type Balancer struct {
	Common       `embed:""`
	BindHost     string `name:"bind-host" env:"KNAPWEEDPIER_BIND_HOST" placeholder:"IP" help:"IPv4 address to bind in place of the IP of each service address; the port stays. Default: the service's own IP."`
	TunnelListen Addr   `name:"tunnel-listen" env:"KNAPWEEDPIER_TUNNEL_LISTEN" placeholder:"IP:PORT" help:"UDP address (IPv4) of the tunnel to agents; announced to them. Required."`
}

// Agent holds the settings of knapweedpier-agent.
type Agent struct {
	Common       `embed:""`
	Service      string `name:"service" env:"KNAPWEEDPIER_SERVICE" placeholder:"NAME" help:"Service of the backend server. Required."`
	Backend      Addr   `name:"backend" env:"KNAPWEEDPIER_BACKEND" placeholder:"IP:PORT" help:"TCP address of the backend server (HTTP/1.1) on this host. Required."`
	TunnelListen Addr   `name:"tunnel-listen" env:"KNAPWEEDPIER_TUNNEL_LISTEN" placeholder:"IP:PORT" help:"UDP address (IPv4) of the tunnel to balancers; part of each connection ID, so it must stay the same over restarts. Required."`
	TLSCertFile  string `name:"tls-cert-file" env:"KNAPWEEDPIER_TLS_CERT_FILE" placeholder:"FILE" help:"Certificate chain for callers, PEM; re-read every 5 s. Required."`
	TLSKeyFile   string `name:"tls-key-file" env:"KNAPWEEDPIER_TLS_KEY_FILE" placeholder:"FILE" help:"Private key of the certificate, PEM, not accessible by other users of the host; re-read every 5 s. Required."`
}
