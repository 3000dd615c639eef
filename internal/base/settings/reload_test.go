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

func write(t *testing.T, path, text string, mode os.FileMode) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), mode); err != nil {
		t.Fatal(err)
	}
}

// Guards against a broken or unrelated key ring file that replaces the ring in
// use, and against a rotation that is not noticed.
func TestRingSourceFollowsFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "ring")
	write(t, path, "1:"+secretA+"\n", 0o600)
	var lines bytes.Buffer
	log, err := event.New(&lines, "json")
	is.NoErr(err)
	source, err := (&Common{KeyringFile: path}).OpenRing(log)
	is.NoErr(err)
	first := source.Ring()

	for _, broken := range []string{"", "1:zz", "2:" + secretB, "1:" + secretB} {
		write(t, path, broken, 0o600)
		source.reload()
		is.True(source.Ring() == first) // previous ring stays
	}
	is.True(strings.Contains(lines.String(), `"event":1006`))

	write(t, path, "2:"+secretB+",1:"+secretA, 0o600)
	source.reload()
	is.Equal(source.Ring().Signing().ID, uint8(2))
	is.True(strings.Contains(lines.String(), `"event":1004`))
	is.True(!strings.Contains(lines.String(), secretA))
}

// Guards against a key file that every user of the host can read.
func TestSecretFileModes(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "ring")
	write(t, path, "1:"+secretA, 0o644)
	_, err := (&Common{KeyringFile: path}).OpenRing(event.Discard())
	is.True(errkind.Is(err, errkind.KeyRingInvalid))
	is.NoErr(os.Chmod(path, 0o640))
	_, err = (&Common{KeyringFile: path}).OpenRing(event.Discard())
	is.NoErr(err)
}

// Guards against a reload that hands out a half-replaced pair, or that misses
// a new one.
func TestCertificateSourceFollowsFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	a := &Agent{TLSCertFile: filepath.Join(dir, "cert"), TLSKeyFile: filepath.Join(dir, "key")}
	_, err := a.OpenCertificate(event.Discard())
	is.True(errkind.Is(err, errkind.CertificateFailed))

	replace := func(name string) (writeKey func()) {
		pair, err := testcert.New(name)
		is.NoErr(err)
		write(t, a.TLSCertFile, string(pair.CertPEM), 0o644)
		return func() { write(t, a.TLSKeyFile, string(pair.KeyPEM), 0o600) }
	}
	replace("first")()
	source, err := a.OpenCertificate(event.Discard())
	is.NoErr(err)
	name := func() string {
		c, err := source.GetCertificate(nil)
		is.NoErr(err)
		return c.Leaf.Subject.CommonName
	}

	writeKey := replace("second")
	source.reload()
	is.Equal(name(), "first") // the key does not match yet
	writeKey()
	source.reload()
	is.Equal(name(), "second")
}
