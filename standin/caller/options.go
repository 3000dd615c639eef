// Package caller is a stand-in for the callers of a service: a bounded, seeded
// load over HTTP/3 with short idempotent requests, orders that must run at most
// once, and long feeds. Its ledger holds what each caller observed, for
// comparison with the ledgers of the backend servers.
package caller

import (
	"crypto/tls"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Bounds and defaults of Options.
const (
	MaxCallers            = 5000
	MaxRate               = 20000 // requests a second of all callers
	MaxDuration           = 30 * time.Minute
	MaxRequests           = 2_000_000 // of the whole load; the ledger keeps all of them in memory
	DefaultRequestTimeout = 2 * time.Second
	DefaultMaxAttempts    = 3
	DefaultFeedPath       = "/feed"
)

// ServiceLoad is the load on one service address.
type ServiceLoad struct {
	Name       string
	Address    netip.AddrPort
	Callers    int     // number of callers, each with one current flow
	Feeds      int     // number of callers that also keep a feed open, at most Callers
	Rate       float64 // requests a second of all callers together
	OrderShare float64 // share of requests that are orders, 0 to 1
	FeedPath   string  // empty means DefaultFeedPath
}

// Options configure a Load.
type Options struct {
	Services       []ServiceLoad
	Seed           uint64
	Duration       time.Duration
	TLS            *tls.Config   // root certificates and server name by which callers verify the service
	RequestTimeout time.Duration // deadline of each attempt; 0 means DefaultRequestTimeout
	MaxAttempts    int           // limit of attempts of one request; 0 means DefaultMaxAttempts
	RampUp         time.Duration // time over which the starts of the callers are spread
}

func (o Options) withDefaults() Options {
	if o.RequestTimeout == 0 {
		o.RequestTimeout = DefaultRequestTimeout
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = DefaultMaxAttempts
	}
	o.Services = append([]ServiceLoad(nil), o.Services...)
	for i := range o.Services {
		if o.Services[i].FeedPath == "" {
			o.Services[i].FeedPath = DefaultFeedPath
		}
	}
	return o
}

func (o Options) validate() error {
	if o.TLS == nil {
		return errkind.New(errkind.SettingInvalid, "TLS: missing configuration")
	}
	if o.Duration <= 0 || o.Duration > MaxDuration {
		return errkind.Errorf(errkind.SettingInvalid, "duration %s: expected more than 0 and at most %s", o.Duration, MaxDuration)
	}
	if o.RequestTimeout < 0 || o.MaxAttempts < 0 || o.RampUp < 0 {
		return errkind.New(errkind.SettingInvalid, "request timeout, attempts and ramp-up: expected 0 or more")
	}
	callers, rate := 0, 0.0
	for _, s := range o.Services {
		if err := s.validate(); err != nil {
			return err
		}
		callers += s.Callers
		rate += s.Rate
	}
	if callers < 1 || callers > MaxCallers {
		return errkind.Errorf(errkind.SettingInvalid, "callers %d: expected 1 to %d", callers, MaxCallers)
	}
	if rate*o.Duration.Seconds() > MaxRequests {
		return errkind.Errorf(errkind.SettingInvalid, "rate and duration: expected at most %d requests", MaxRequests)
	}
	if rate > MaxRate {
		return errkind.Errorf(errkind.SettingInvalid, "rate %g a second: expected at most %d", rate, MaxRate)
	}
	return nil
}

func (s ServiceLoad) validate() error {
	switch {
	case !s.Address.Addr().IsLoopback():
		return errkind.Errorf(errkind.SettingInvalid, "service address %s: expected an address of 127.0.0.0/8", s.Address)
	case s.Callers < 0 || s.Feeds < 0 || s.Feeds > s.Callers:
		return errkind.Errorf(errkind.SettingInvalid, "feeds %d: expected 0 to the number of callers", s.Feeds)
	case s.Rate < 0 || s.OrderShare < 0 || s.OrderShare > 1:
		return errkind.New(errkind.SettingInvalid, "rate and order share: expected 0 or more, and a share of at most 1")
	}
	return nil
}
