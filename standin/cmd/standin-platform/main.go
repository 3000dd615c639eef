// Command standin-platform runs the stand-in for the platform's object API on a
// loopback address until SIGINT or SIGTERM. SIGUSR1 toggles an outage.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/standin/platform"
	"github.com/knapweedpier/knapweedpier/standin/program"
)

type settings struct {
	Listen string `help:"Loopback address and port." default:"127.0.0.1:0" env:"KNAPWEEDPIER_STANDIN_LISTEN"`
	Writes int    `help:"Write calls a second." default:"300" env:"KNAPWEEDPIER_STANDIN_WRITES"`
	Reads  int    `help:"Read calls a second; a waiting watch counts as one." default:"2000" env:"KNAPWEEDPIER_STANDIN_READS"`
}

// Validate checks the settings. Kong calls it after parsing.
func (s *settings) Validate() error {
	if s.Writes < 1 || s.Reads < 1 {
		return errkind.New(errkind.SettingInvalid, "--writes and --reads: must be at least 1 a second")
	}
	return nil
}

func main() { program.Main("standin-platform", run) }

func run(s settings) error {
	server := platform.New(platform.Options{WritesPerSecond: s.Writes, ReadsPerSecond: s.Reads})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGTERM, os.Interrupt)
	addr, err := server.Start(s.Listen)
	if err != nil {
		return err
	}
	defer server.Close()
	fmt.Println("listening", addr)
	for outage := false; ; {
		if <-signals != syscall.SIGUSR1 {
			return nil
		}
		outage = !outage
		server.SetOutage(outage)
		fmt.Println("outage", outage)
	}
}
