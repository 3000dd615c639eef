package cli

import (
	"net/url"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/errkind"
)

// Settings are the flags that all commands share.
type Settings struct {
	Platform string        `help:"URL of the platform's object API, such as http://10.0.0.1:8080." env:"KNAPWEEDPIER_PLATFORM" placeholder:"URL"`
	Timeout  time.Duration `help:"Longest wait for one answer of the platform, with its unit." default:"2s" env:"KNAPWEEDPIER_PLATFORM_TIMEOUT"`
	Log      string        `help:"Format of logged events on standard error: none, text or json." enum:"none,text,json" default:"none" env:"KNAPWEEDPIER_LOG"`
}

// Validate checks the settings before anything opens.
func (s *Settings) Validate() error {
	if s.Timeout <= 0 {
		return errkind.Errorf(errkind.SettingInvalid, "--timeout: %s is out of range; expected a duration above 0", s.Timeout)
	}
	if s.Platform == "" {
		return nil // commands that use the platform ask for it
	}
	u, err := url.Parse(s.Platform)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return errkind.Errorf(errkind.SettingInvalid, "--platform: %q is not a URL; expected http://HOST:PORT", s.Platform)
	}
	return nil
}
