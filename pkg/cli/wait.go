package cli

import (
	"context"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/operators/change"
)

const inForceInterval = 250 * time.Millisecond

// Waiting are the flags of commands that can wait for their change.
type Waiting struct {
	Wait        bool          `help:"Wait until the generation is in force everywhere."`
	WaitTimeout time.Duration `help:"Longest wait with --wait, with its unit." default:"11s" env:"KNAPWEEDPIER_WAIT_TIMEOUT"`
}

// check refuses a wait that could not be made, before anything is applied.
func (w Waiting) check(env *Env) error {
	if !w.Wait || env.InForce != nil {
		return nil
	}
	return errkind.New(errkind.SettingInvalid,
		"--wait: --peers or KNAPWEEDPIER_PEERS must be set, to ask which generation is in force; nothing was applied")
}

// wait waits, if asked to, until the generation of the result is in force.
func (w Waiting) wait(ctx context.Context, env *Env, r change.Result) error {
	if !w.Wait || r.Config == nil {
		return nil
	}
	return env.waitInForce(ctx, r.Config.Generation, w.WaitTimeout)
}

// waitInForce asks until no process lags behind generation. After timeout the
// error has kind NotInForce and names the processes that still lag.
func (e *Env) waitInForce(ctx context.Context, generation uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	var lagging []string
	for {
		found, err := e.InForce(ctx, generation)
		if err == nil && len(found) == 0 {
			e.Printf("generation %d is in force everywhere after %s\n", generation, time.Since(began).Round(time.Millisecond))
			return nil
		}
		if err == nil {
			lagging = found
		}
		select {
		case <-ctx.Done():
			return notInForce(generation, timeout, lagging, err)
		case <-time.After(inForceInterval):
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
