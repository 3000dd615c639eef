package settings

import (
	"net/netip"
	"time"
)

// Addr is an address of the form IP:port. Text that does not parse is stored, so
// that Check can report it together with all other faults.
type Addr struct {
	netip.AddrPort
	text string
}

// ParseAddr returns the Addr for text. If text is malformed, the address is not
// valid, and Check reports it.
func ParseAddr(text string) Addr {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		parsed = netip.AddrPort{}
	}
	return Addr{AddrPort: parsed, text: text}
}

// UnmarshalText implements encoding.TextUnmarshaler and never fails.
func (a *Addr) UnmarshalText(text []byte) error {
	*a = ParseAddr(string(text))
	return nil
}

// Duration is a duration such as "30s" or "5m". Text that does not parse is
// stored, so that Check can report it.
type Duration struct {
	time.Duration
	text      string
	malformed bool
}

// UnmarshalText implements encoding.TextUnmarshaler and never fails.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration{Duration: parsed, text: string(text), malformed: err != nil}
	return nil
}
