package settings

import (
	"net/url"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
)

// Operator holds the settings that all commands of the program knapweedpier
// share.
type Operator struct {
	Platform    string        `name:"platform" help:"URL of the platform's object API, such as http://10.0.0.1:8080." env:"KNAPWEEDPIER_PLATFORM" placeholder:"URL"`
	Timeout     time.Duration `name:"timeout" help:"Longest wait for one answer of the platform, with its unit." default:"2s" env:"KNAPWEEDPIER_PLATFORM_TIMEOUT" placeholder:"DURATION"`
	Peers       []Addr        `name:"peers" env:"KNAPWEEDPIER_PEERS" placeholder:"IP:PORT" help:"Peer addresses (TCP) of balancers to ask, separated by commas; the next one is asked if one does not answer."`
	Keyring     string        `name:"keyring" env:"KNAPWEEDPIER_KEYRING" placeholder:"ID:HEX" help:"The fleet's key ring: one or two keys of 32 bytes in hexadecimal, separated by a comma. Visible in the process list: prefer the file. Exactly one of --keyring and --keyring-file is required with --peers."`
	KeyringFile string        `name:"keyring-file" env:"KNAPWEEDPIER_KEYRING_FILE" placeholder:"FILE" help:"File with the same content, not accessible by other users of the host."`
	Log         string        `name:"log" help:"Format of logged events on standard error: none, text or json." enum:"none,text,json" default:"none" env:"KNAPWEEDPIER_LOG" placeholder:"FORMAT"`
}

// Validate checks the settings before a command opens anything. kong calls it by
// name after parsing. Its error has kind SettingInvalid.
func (o *Operator) Validate() error {
	if o.Timeout <= 0 {
		return errkind.Errorf(errkind.SettingInvalid, "--timeout: %s is out of range; expected a duration above 0", o.Timeout)
	}
	if err := o.checkPeerAccess(); err != nil {
		return err
	}
	if o.Platform == "" {
		return nil // commands that need the platform require the setting themselves
	}
	u, err := url.Parse(o.Platform)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return errkind.Errorf(errkind.SettingInvalid, "--platform: %q is not a URL; expected http://HOST:PORT", o.Platform)
	}
	return nil
}

// checkPeerAccess checks the settings for requests to balancers. Commands that
// send none need neither addresses nor keys.
func (o *Operator) checkPeerAccess() error {
	var faults Faults
	checkPeers(&faults, "peers", o.Peers)
	if len(o.Peers) > 0 || o.Keyring != "" || o.KeyringFile != "" {
		checkKeyring(&faults, o.Keyring, o.KeyringFile)
	}
	return faults.asError()
}

// LoadKeyRing returns the key ring. Its error has kind SettingInvalid if
// --peers is not set, and KeyRingInvalid if the key ring cannot be read.
func (o *Operator) LoadKeyRing() (*keyring.Ring, error) {
	if len(o.Peers) == 0 {
		return nil, errkind.New(errkind.SettingInvalid,
			"--peers or KNAPWEEDPIER_PEERS: must be set; expected the peer address IP:PORT of one or more balancers")
	}
	if o.KeyringFile != "" {
		return readKeyRing(o.KeyringFile)
	}
	return parseKeyRing(o.Keyring)
}
