// Package cli implements the commands of knapweedpier for operators. Each
// command is a kong struct with a Run method, whose arguments kong injects: a
// context, an Env, or a source of status and an io.Writer. Commands parse flags,
// call the packages that do the work, and print results. Only cmd and tests may
// import this package.
package cli

import "github.com/alecthomas/kong"

// Root is the command line of knapweedpier.
type Root struct {
	Settings `embed:""`

	Sheet   SheetCmd   `cmd:"" help:"Check, compare or apply the morning sheet."`
	Domain  DomainCmd  `cmd:"" help:"Take a failure domain out or back."`
	Backend BackendCmd `cmd:"" help:"Change one backend server."`
	Config  ConfigCmd  `cmd:"" help:"Check a configuration for the users' platform."`

	Status StatusCmd `cmd:"" help:"Show the state of the fleet or of one service."`
	Flows  FlowsCmd  `cmd:"" help:"Show the state of packet flows on the users' platform."`
	Report ReportCmd `cmd:"" help:"Report on service levels."`
	Trace  TraceCmd  `cmd:"" help:"Tell the story of one request from processes' logs."`

	Quickstart QuickstartCmd `cmd:"" help:"Run all roles in this process under load, with planned changes."`

	Version kong.VersionFlag `help:"Print the version and exit."`
}
