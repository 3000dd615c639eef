package settings

import (
	"net/netip"
	"net/url"
	"os"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
)

// otherUsersMode holds the permission bits of users who are neither the owner
// nor in the group of a file.
const otherUsersMode os.FileMode = 0o007

// maxFileBytes bounds key ring and certificate files, so that a wrong path does
// not load a large file into memory.
const maxFileBytes = 1 << 20

// checkPlatform requires an IP address as host because the processes resolve no
// names, and refuses credentials because URLs are logged.
func checkPlatform(faults *Faults, baseURL string) {
	if baseURL == "" {
		faults.add("platform", "must not be empty")
		return
	}
	u, err := url.Parse(baseURL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		faults.add("platform", "expected an http or https URL")
		return
	}
	if u.User != nil {
		faults.add("platform", "must not contain a user name or password")
	}
	if u.RawQuery != "" || u.Fragment != "" {
		faults.add("platform", "must not contain a query or fragment")
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		faults.add("platform", "host %q: expected an IP address", u.Hostname())
	}
}

func checkKeyring(faults *Faults, text, file string) {
	switch {
	case text == "" && file == "":
		faults.add("keyring", "one of --keyring and --keyring-file is required")
	case text != "" && file != "":
		faults.add("keyring", "contradicts --keyring-file: give one of them")
	case text != "":
		_, err := parseKeyRing(text)
		faults.addError("keyring", err)
	default:
		_, err := readKeyRing(file)
		faults.addError("keyring-file", err)
	}
}

func (faults *Faults) addError(flag string, err error) {
	if err != nil {
		faults.add(flag, "%s", err)
	}
}

func (a *Agent) checkCertificate(faults *Faults) {
	if a.TLSCertFile == "" {
		faults.add("tls-cert-file", "must not be empty")
	}
	if a.TLSKeyFile == "" {
		faults.add("tls-key-file", "must not be empty")
	}
	if a.TLSCertFile == "" || a.TLSKeyFile == "" {
		return
	}
	_, err := readKeyPair(a.TLSCertFile, a.TLSKeyFile)
	faults.addError("tls-cert-file", err)
}

// parseKeyRing parses a key ring. It also refuses an all-zero secret, which is
// probably a placeholder that was not replaced.
func parseKeyRing(text string) (*keyring.Ring, error) {
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

func readKeyRing(path string) (*keyring.Ring, error) {
	data, err := readSecret(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.KeyRingInvalid, "read key ring file")
	}
	return parseKeyRing(string(data))
}

// readSecret reads a file and refuses one that other users of the host may
// access.
func readSecret(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode()&otherUsersMode != 0 {
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
