// Command standin-caller sends requests as a set of stand-in callers, for a fixed
// duration or until SIGINT or SIGTERM, and prints its ledger as one line of JSON.
package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/standin/caller"
	"github.com/knapweedpier/knapweedpier/standin/program"
)

type settings struct {
	Service        []string      `required:"" help:"Service address to call, IP:port; repeatable."`
	CA             string        `required:"" type:"path" help:"File with the certificates that callers trust, PEM."`
	ServerName     string        `help:"Name that the certificate must carry; default the service address."`
	Callers        int           `default:"20" help:"Callers of each service."`
	Feeds          int           `default:"5" help:"Callers of each service that also hold a feed."`
	Rate           float64       `default:"50" help:"Requests a second to each service."`
	OrderShare     float64       `default:"0.2" help:"Share of requests that are orders, 0 to 1."`
	Duration       time.Duration `default:"20s" help:"How long requests are sent."`
	RequestTimeout time.Duration `default:"2s" help:"Deadline of each attempt."`
	Seed           uint64        `default:"1" help:"Seed of the pacing."`
}

func main() { program.Main("standin-caller", run) }

func run(s settings) error {
	opts, err := s.options()
	if err != nil {
		return err
	}
	load, err := caller.New(opts)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	load.Start(ctx)
	load.Wait()
	return json.NewEncoder(os.Stdout).Encode(load.Ledger())
}

func (s settings) options() (caller.Options, error) {
	opts := caller.Options{Seed: s.Seed, Duration: s.Duration, RequestTimeout: s.RequestTimeout}
	roots, err := readRoots(s.CA)
	if err != nil {
		return opts, err
	}
	opts.TLS = &tls.Config{RootCAs: roots, ServerName: s.ServerName}
	for _, text := range s.Service {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return opts, errkind.Wrap(err, errkind.SettingInvalid, "service")
		}
		opts.Services = append(opts.Services, caller.ServiceLoad{
			Name: text, Address: addr, Callers: s.Callers, Feeds: s.Feeds, Rate: s.Rate, OrderShare: s.OrderShare,
		})
	}
	return opts, nil
}

func readRoots(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.CertificateFailed, "read CA file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errkind.Errorf(errkind.CertificateFailed, "CA file %s: expected PEM certificates", file)
	}
	return roots, nil
}
