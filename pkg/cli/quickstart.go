package cli

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/errkind"
	"github.com/knapweedpier/knapweedpier/internal/quickstart"
)

// QuickstartCmd runs all roles in one process under load.
type QuickstartCmd struct {
	Sheet    string        `default:"examples/gel-desk.csv" help:"Sheet that describes the fleet, CSV."`
	Duration time.Duration `default:"20s" help:"How long callers send requests; at least 10s."`
	Seed     uint64        `default:"1" help:"Seed of the load and of the planned changes."`
	Load     float64       `default:"0.7" help:"Load as a share of the warm capacity, above 0."`
	Policy   string        `default:"full" enum:"full,hash" help:"Selection of backend servers: full, or hash for the baseline of plain hashing without admission and relay."`
}

// QuickstartEnv is what QuickstartCmd gets from its program.
type QuickstartEnv struct {
	// NewFleet makes a fleet of the embedded roles without starting it.
	NewFleet func(QuickstartCmd) (quickstart.Fleet, error)
	Stdout   io.Writer
}

// Run prints progress and, on the last line, the summary as one JSON object.
// It returns an error of kind PromiseBroken if a promise was broken.
func (q *QuickstartCmd) Run(ctx context.Context, env *QuickstartEnv) error {
	fleet, err := env.NewFleet(*q)
	if err != nil {
		return err
	}
	opt := quickstart.Options{Duration: q.Duration, Seed: q.Seed, Load: q.Load, Progress: env.Stdout}
	summary, err := quickstart.Run(ctx, fleet, opt)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(env.Stdout).Encode(summary); err != nil {
		return errkind.Wrap(err, errkind.ReportFailed, "write summary")
	}
	return summary.Err()
}
