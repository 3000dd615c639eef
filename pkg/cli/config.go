package cli

import (
	"os"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/configcheck"
	"github.com/knapweedpier/knapweedpier/platform"
)

// ConfigCmd groups the commands for the configuration on the users' platform.
type ConfigCmd struct {
	Check ConfigCheckCmd `cmd:"" help:"Report the faults of a configuration, and what differs from the one in force."`
}

// ConfigCheckCmd reports the faults of a configuration. It needs no platform.
type ConfigCheckCmd struct {
	File    string `arg:"" help:"Configuration, JSON."`
	Against string `help:"Configuration in force, JSON, to compare with." placeholder:"FILE"`
}

// Run implements the command.
func (c *ConfigCheckCmd) Run(env *Env) error {
	next, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	findings := configcheck.Check(next)
	var differences []configcheck.Difference
	if c.Against != "" {
		inForce, err := readConfiguration(c.Against)
		if err != nil {
			return err
		}
		findings = append(configcheck.CheckVersion(inForce, next), findings...)
		differences = configcheck.Compare(inForce, next)
	}
	for _, f := range findings {
		env.Printf("%s\n", f)
	}
	for _, d := range differences {
		env.Printf("%s\n", d)
	}
	if c.Against != "" && len(differences) == 0 {
		env.Printf("nothing differs from %s\n", c.Against)
	}
	if n := configcheck.CountErrors(findings); n > 0 {
		return errkind.Errorf(errkind.ConfigInvalid, "%s: %d errors", c.File, n)
	}
	env.Printf("no errors: version %d, %d routes, %d services\n", next.Version, len(next.Routes), len(next.Services))
	return nil
}

// readConfiguration reads and decodes a configuration.
func readConfiguration(file string) (configcheck.Configuration, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return configcheck.Configuration{}, errkind.Wrap(err, errkind.SettingInvalid, "configuration")
	}
	c, err := platform.DecodeProposed(text)
	if err != nil {
		return configcheck.Configuration{}, errkind.Wrap(err, errkind.ConfigInvalid, file)
	}
	return c, nil
}
