package cli

import (
	"context"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/operators/change"
)

// inForcePollInterval is the time between two queries for lagging processes.
const inForcePollInterval = 250 * time.Millisecond

// WaitFlags are the flags of commands that can wait until their change is in
// force.
type WaitFlags struct {
	Wait        bool          `help:"Wait until the generation is in force everywhere."`
	WaitTimeout time.Duration `help:"Longest wait with --wait, with its unit." default:"11s" env:"KNAPWEEDPIER_WAIT_TIMEOUT"`
}

// check returns an error if --wait is given but no balancer can be queried. It
// runs before anything is applied.
func (w WaitFlags) check(env *Env) error {
	if !w.Wait || env.LaggingProcesses != nil {
		return nil
	}
	return errkind.New(errkind.SettingInvalid,
		"--wait: --peers or KNAPWEEDPIER_PEERS must be set, to ask which generation is in force; nothing was applied")
}

// wait waits until the generation of the result is in force, if --wait is
// given.
func (w WaitFlags) wait(ctx context.Context, env *Env, r change.Result) error {
	if !w.Wait || r.Config == nil {
		return nil
	}
	return env.waitInForce(ctx, r.Config.Generation, w.WaitTimeout)
}

// waitInForce polls until generation is in force in all processes. After
// timeout it returns an error of kind NotInForce, which names the lagging
// processes.
func (e *Env) waitInForce(ctx context.Context, generation uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	var lagging []string
	for {
		found, err := e.LaggingProcesses(ctx, generation)
		if err == nil && len(found) == 0 {
			e.Printf("generation %d is in force everywhere after %s\n", generation, time.Since(start).Round(time.Millisecond))
			return nil
		}
		if err == nil {
			lagging = found
		}
		select {
		case <-ctx.Done():
			return notInForce(generation, timeout, lagging, err)
		case <-time.After(inForcePollInterval):
		}
	}
}

func notInForce(generation uint64, timeout time.Duration, lagging []string, err error) error {
	if len(lagging) == 0 {
		return errkind.Wrap(err, errkind.NotInForce, "cannot tell which processes lag")
	}
	return errkind.Errorf(errkind.NotInForce, "generation %d after %s: not in force at %s",
		generation, timeout, strings.Join(lagging, ", "))
}
