package cli

import (
	"context"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/errkind"
)

const inForceInterval = 250 * time.Millisecond

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
	if len(lagging) == 0 && err != nil {
		return errkind.Wrap(err, errkind.NotInForce, "cannot tell which processes lag")
	}
	return errkind.Errorf(errkind.NotInForce, "generation %d after %s: not in force at %s",
		generation, timeout, strings.Join(lagging, ", "))
}
