// Command knapweedpier-soak runs the real programs of the packet path on loopback
// addresses under seeded impairments and judges whether open flows stayed intact. Its last
// line of output is the result as JSON.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/knapweedpier/knapweedpier/platform/soak"
)

// Exit codes.
const (
	exitBroken    = 1
	exitCannotRun = 2
)

func main() {
	var o soak.Options
	kong.Parse(&o, kong.Name("knapweedpier-soak"))
	os.Exit(run(o))
}

func run(o soak.Options) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	result, err := soak.Run(ctx, o, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knapweedpier-soak:", err)
		return exitCannotRun
	}
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil || result.IsBroken() {
		return exitBroken
	}
	return 0
}
