package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

const description = "Layer-4 load balancer: commands for operators."

// Run parses and runs one command line and returns its exit code. It writes
// errors to o.Err.
func Run(ctx context.Context, args []string, o Options) int {
	o = o.withDefaults()
	err := run(ctx, args, o)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(o.Err, "knapweedpier:", err)
	return errkind.ExitCode(err)
}

func (o Options) withDefaults() Options {
	if o.Out == nil {
		o.Out = os.Stdout
	}
	if o.Err == nil {
		o.Err = os.Stderr
	}
	if o.Exit == nil {
		o.Exit = os.Exit
	}
	return o
}

func run(ctx context.Context, args []string, o Options) error {
	var root Root
	parser, err := kong.New(&root,
		kong.Name("knapweedpier"), kong.Description(description),
		kong.Vars{"version": o.Version}, kong.Writers(o.Out, o.Err), kong.Exit(o.Exit),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "command line")
	}
	command, err := parser.Parse(args)
	if err != nil {
		return usageError(err)
	}
	return withEnv(ctx, root.Settings, o, func(env *Env) error {
		balancers := balancerClient{root.Settings}
		command.BindTo(balancers, (*StatusSource)(nil))
		command.BindTo(balancers, (*BurnSource)(nil))
		command.BindTo(o.Out, (*io.Writer)(nil))
		return command.Run(env)
	})
}

// usageError gives errors of the command line the kind SettingInvalid, unless
// they already have a kind.
func usageError(err error) error {
	var known *errkind.Error
	if errors.As(err, &known) {
		return known
	}
	return errkind.Wrap(err, errkind.SettingInvalid, "command line")
}
