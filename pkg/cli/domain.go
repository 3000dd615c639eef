package cli

// DomainCmd groups the commands for failure domains.
type DomainCmd struct {
	Out  DomainOutCmd  `cmd:"" help:"Take a failure domain out; its flows are given up."`
	Back DomainBackCmd `cmd:"" help:"Bring a failure domain back."`
}
