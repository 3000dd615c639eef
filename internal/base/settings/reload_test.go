package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/embedded/testcert"
)

func writeFile(t *testing.T, path, text string, mode os.FileMode) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), mode); err != nil {
		t.Fatal(err)
	}
}

// Guards against a malformed or unrelated key ring file that replaces the key
// ring in use, against a rotation that is not loaded and against a secret in the
// log.
func TestRingSourceFollowsFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "ring")
	writeFile(t, path, "1:"+secretA+"\n", 0o600)
	var lines bytes.Buffer
	log, err := event.New(&lines, "json")
	is.NoErr(err)
	source, err := (&Common{KeyringFile: path}).OpenRingSource(log)
	is.NoErr(err)
	first := source.Ring()

	for _, broken := range []string{"", "1:zz", "2:" + secretB, "1:" + secretB} {
		writeFile(t, path, broken, 0o600)
		source.reload()
		is.True(source.Ring() == first) // the previous key ring stays in use
	}
	is.True(strings.Contains(lines.String(), `"event":1006`))

	writeFile(t, path, "2:"+secretB+",1:"+secretA, 0o600)
	source.reload()
	is.Equal(source.Ring().SigningKey().ID, uint8(2))
	is.True(strings.Contains(lines.String(), `"event":1004`))
	is.True(!strings.Contains(lines.String(), secretA))
}

// Guards against accepting a key ring file that every user of the host can read.
func TestSecretFileModes(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "ring")
	writeFile(t, path, "1:"+secretA, 0o644)
	_, err := (&Common{KeyringFile: path}).OpenRingSource(event.Discard())
	is.True(errkind.Is(err, errkind.KeyRingInvalid))
	is.NoErr(os.Chmod(path, 0o640))
	_, err = (&Common{KeyringFile: path}).OpenRingSource(event.Discard())
	is.NoErr(err)
}

// Guards against a reload that serves a new certificate with the old private key
// while only one of the files has been replaced, or that misses a new pair.
func TestCertificateSourceFollowsFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	a := &Agent{TLSCertFile: filepath.Join(dir, "cert"), TLSKeyFile: filepath.Join(dir, "key")}
	_, err := a.OpenCertificateSource(event.Discard())
	is.True(errkind.Is(err, errkind.CertificateFailed))

	writeCertificate := func(name string) (writeKey func()) {
		pair, err := testcert.New(name)
		is.NoErr(err)
		writeFile(t, a.TLSCertFile, string(pair.CertPEM), 0o644)
		return func() { writeFile(t, a.TLSKeyFile, string(pair.KeyPEM), 0o600) }
	}
	writeCertificate("first")()
	source, err := a.OpenCertificateSource(event.Discard())
	is.NoErr(err)
	name := func() string {
		c, err := source.GetCertificate(nil)
		is.NoErr(err)
		return c.Leaf.Subject.CommonName
	}

	writeKey := writeCertificate("second")
	source.reload()
	is.Equal(name(), "first") // the key does not match yet
	writeKey()
	source.reload()
	is.Equal(name(), "second")
}
