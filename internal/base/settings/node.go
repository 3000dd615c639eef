package settings

// Node holds the settings of knapweedpier-node, a process on the users' platform.
// The platform's own settings file holds its other settings.
type Node struct {
	LogFormat   string `help:"Format of log lines on standard output: text or json." env:"KNAPWEEDPIER_LOG_FORMAT" enum:"text,json" default:"json" placeholder:"FORMAT"`
	MetricsPort uint16 `help:"Port of the machine's address on which metrics are read, path /metrics." env:"KNAPWEEDPIER_METRICS_PORT" default:"9108" placeholder:"PORT"`

	Balancer struct{} `cmd:"" help:"Forward callers' packets to agents."`
	Agent    struct{} `cmd:"" help:"Guard the backend server on this machine."`
}
