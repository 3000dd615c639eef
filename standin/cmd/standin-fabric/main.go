// Command standin-fabric runs the stand-in for the packet-spraying network. It
// prints its ledger as one line of JSON on SIGUSR1, and again when SIGINT or
// SIGTERM ends it.
package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/standin/fabric"
	"github.com/knapweedpier/knapweedpier/standin/program"
)

type settings struct {
	Service  []string      `required:"" help:"Service address to listen on, IP:port; repeatable."`
	Balancer []string      `required:"" help:"Balancer's host IP, with =URL for a health URL; repeatable."`
	Seed     uint64        `default:"1" help:"Seed of choices and losses."`
	Delay    time.Duration `default:"0s" help:"One-way delay of each packet."`
	Loss     float64       `default:"0" help:"Share of packets lost in each direction, 0 to 1."`
}

func main() { program.Main("standin-fabric", run) }

func run(s settings) error {
	opts, err := s.options()
	if err != nil {
		return err
	}
	f, err := fabric.New(opts)
	if err != nil {
		return err
	}
	signals, out := make(chan os.Signal, 1), json.NewEncoder(os.Stdout)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGTERM, os.Interrupt)
	if err := f.Start(); err != nil {
		return err
	}
	fmt.Println("ready")
	for sig := range signals {
		if sig != syscall.SIGUSR1 {
			break
		}
		if err := out.Encode(f.Ledger()); err != nil {
			return err
		}
	}
	f.Close()
	return out.Encode(f.Ledger())
}

func (s settings) options() (fabric.Options, error) {
	opts := fabric.Options{Seed: s.Seed, Delay: s.Delay, Loss: s.Loss}
	for _, text := range s.Service {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return opts, errkind.Wrap(err, errkind.SettingInvalid, "service")
		}
		opts.Services = append(opts.Services, addr)
	}
	for _, text := range s.Balancer {
		host, health, _ := strings.Cut(text, "=")
		addr, err := netip.ParseAddr(host)
		if err != nil {
			return opts, errkind.Wrap(err, errkind.SettingInvalid, "balancer")
		}
		opts.Balancers = append(opts.Balancers, fabric.Balancer{ID: host, HealthURL: health, Addr: fabric.HostAddr(addr)})
	}
	return opts, nil
}
