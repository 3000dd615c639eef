package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/operators/status"
)

// watchInterval is the time between two queries of --watch.
const watchInterval = 2 * time.Second

// clearScreen is the terminal sequence that moves the cursor to the top left
// and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

// StatusSource returns the state of the fleet.
type StatusSource interface {
	// Status returns the state of the fleet. Its refusals are those counted by
	// the agents of service, or by all agents if service is empty. Errors
	// carry a kind.
	Status(ctx context.Context, service string) (status.Status, error)
}

// StatusCmd prints the state of the fleet. It returns a ServiceDown error if a
// service that it shows has no backend server that takes requests.
type StatusCmd struct {
	Service string `arg:"" optional:"" help:"Show only this service."`
	JSON    bool   `name:"json" help:"Print one JSON object in place of the screen."`
	Watch   bool   `name:"watch" help:"Ask again every 2 s until interrupted."`
}

// Run prints the status once or, with --watch, repeatedly until ctx ends.
func (c *StatusCmd) Run(ctx context.Context, source StatusSource, out io.Writer) error {
	if !c.Watch {
		return c.print(ctx, source, out)
	}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		c.refresh(ctx, source, out)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// refresh replaces the previous screen. It prints an error but does not end
// the watch, because a later query may succeed.
func (c *StatusCmd) refresh(ctx context.Context, source StatusSource, out io.Writer) {
	if !c.JSON {
		fmt.Fprint(out, clearScreen)
	}
	err := c.print(ctx, source, out)
	if err != nil && ctx.Err() == nil && !c.JSON {
		fmt.Fprintln(out, err)
	}
}

func (c *StatusCmd) print(ctx context.Context, source StatusSource, out io.Writer) error {
	s, err := source.Status(ctx, c.Service)
	if err != nil {
		return err
	}
	if c.Service != "" {
		only, ok := s.ForService(c.Service)
		if !ok {
			return errkind.Errorf(errkind.NotFound, "service %q is not configured", c.Service)
		}
		s = only
	}
	if err := c.write(out, s); err != nil {
		return errkind.Wrap(err, errkind.ReportFailed, "write status")
	}
	if down := s.Down(); len(down) > 0 {
		return errkind.Errorf(errkind.ServiceDown, "no backend server takes requests of %s", strings.Join(down, ", "))
	}
	return nil
}

func (c *StatusCmd) write(out io.Writer, s status.Status) error {
	if c.JSON {
		return json.NewEncoder(out).Encode(s)
	}
	return writeStatus(out, s)
}
