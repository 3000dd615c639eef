package cli

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/embedded/fleet"
	"github.com/knapweedpier/knapweedpier/internal/embedded/quickstart"
)

// QuickstartCmd runs a fleet with all roles in one process and puts it under
// load.
type QuickstartCmd struct {
	Sheet    string        `default:"examples/gel-desk.csv" placeholder:"FILE" help:"Sheet that describes the fleet, CSV."`
	Duration time.Duration `default:"20s" help:"How long callers send requests; at least 10s."`
	Seed     uint64        `default:"1" help:"Seed of the load and of the planned changes."`
	Load     float64       `default:"0.4" help:"Load as a share of the warm capacity of all backend servers, above 0. While a failure domain is out, less capacity is left."`
	Steady   bool          `help:"Make no planned changes, to measure the steady state."`
	Policy   string        `default:"full" enum:"full,hash" help:"Selection of backend servers: full, or hash for the baseline of plain hashing without admission and relay."`
	Prefix   byte          `default:"64" help:"Second number of the loopback addresses 127.N.x.y of the embedded hosts, 1 to 254."`
	Delay    time.Duration `default:"1ms" help:"One-way delay between callers and balancers."`
}

// Run prints progress and, on the last line, a summary as one JSON object. It
// returns an error of kind PromiseBroken if the fleet broke one of its
// promises.
func (q *QuickstartCmd) Run(ctx context.Context, env *Env) error {
	data, err := os.ReadFile(q.Sheet)
	if err != nil {
		return errkind.Wrap(err, errkind.SettingInvalid, "--sheet")
	}
	embedded, err := fleet.New(fleet.Options{
		Sheet:  data,
		Policy: fleet.Policy(q.Policy),
		Seed:   q.Seed,
		Prefix: q.Prefix,
		Delay:  q.Delay,
		Logger: env.Log,
	})
	if err != nil {
		return err
	}
	opt := quickstart.Options{Duration: q.Duration, Seed: q.Seed, Load: q.Load, Progress: env.Out, Steady: q.Steady}
	summary, err := quickstart.Run(ctx, embedded, opt)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(env.Out).Encode(summary); err != nil {
		return errkind.Wrap(err, errkind.ReportFailed, "write summary")
	}
	return summary.Err()
}
