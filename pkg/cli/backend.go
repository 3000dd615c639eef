package cli

// BackendCmd groups the commands for backend servers.
type BackendCmd struct {
	Leave BackendLeaveCmd `cmd:"" help:"Drain a backend server: it takes no new work."`
}
