package settings

import (
	"net/netip"
	"net/url"
	"os"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
)

// othersMode are the permission bits of users that are neither the owner nor
// in the group of a file.
const othersMode os.FileMode = 0o007

// maxFileBytes bounds key rings and certificates, so that a wrong path does
// not read a large file.
const maxFileBytes = 1 << 20

// checkPlatform requires an IP number because the processes use no names, and
// refuses credentials because URLs are logged.
func checkPlatform(fs *Faults, base string) {
	if base == "" {
		fs.add("platform", "must not be empty")
		return
	}
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		fs.add("platform", "expected an http or https URL")
		return
	}
	if u.User != nil {
		fs.add("platform", "must not contain a user name or password")
	}
	if u.RawQuery != "" || u.Fragment != "" {
		fs.add("platform", "must not contain a query or fragment")
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		fs.add("platform", "host %q: expected an IP number", u.Hostname())
	}
}

func checkKeyring(fs *Faults, text, file string) {
	switch {
	case text == "" && file == "":
		fs.add("keyring", "one of --keyring and --keyring-file is required")
	case text != "" && file != "":
		fs.add("keyring", "contradicts --keyring-file: give one of them")
	case text != "":
		_, err := parseRing(text)
		fs.addErr("keyring", err)
	default:
		_, err := readRing(file)
		fs.addErr("keyring-file", err)
	}
}

func (fs *Faults) addErr(field string, err error) {
	if err != nil {
		fs.add(field, "%s", err)
	}
}

func (a *Agent) checkCertificate(fs *Faults) {
	if a.TLSCertFile == "" {
		fs.add("tls-cert-file", "must not be empty")
	}
	if a.TLSKeyFile == "" {
		fs.add("tls-key-file", "must not be empty")
	}
	if a.TLSCertFile == "" || a.TLSKeyFile == "" {
		return
	}
	_, err := readPair(a.TLSCertFile, a.TLSKeyFile)
	fs.addErr("tls-cert-file", err)
}

// parseRing also refuses an all-zero secret, which a placeholder leaves.
func parseRing(text string) (*keyring.Ring, error) {
	ring, err := keyring.Parse(text)
	if err != nil {
		return nil, err
	}
	for _, key := range ring.Keys() {
		if key.Secret == [keyring.SecretSize]byte{} {
			return nil, errkind.Errorf(errkind.KeyRingInvalid, "secret of key ID %d is all zeros", key.ID)
		}
	}
	return ring, nil
}

func readRing(path string) (*keyring.Ring, error) {
	data, err := readSecret(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.KeyRingInvalid, "read")
	}
	return parseRing(string(data))
}

// readSecret reads a file that other users of the host must not access.
func readSecret(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode()&othersMode != 0 {
		return nil, errkind.Errorf(errkind.SettingInvalid, "%s has mode %#o: other users of the host must have no access", path, info.Mode().Perm())
	}
	return readFile(path)
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return nil, errkind.Errorf(errkind.SettingInvalid, "%s: expected a regular file of at most %d bytes", path, maxFileBytes)
	}
	return os.ReadFile(path)
}
