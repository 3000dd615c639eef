package keyring

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

var secretA = strings.Repeat("a1", SecretSize)
var secretB = strings.Repeat("b2", SecretSize)

// Guards against a key ring that accepts malformed or ambiguous keys, and against
// error messages that leak a secret.
func TestParseRefuses(t *testing.T) {
	for name, input := range map[string]string{
		"empty":       "",
		"no ID":       secretA,
		"large ID":    "16:" + secretA,
		"short":       "1:" + secretA[2:],
		"not hex":     "1:" + strings.Repeat("zz", SecretSize),
		"same ID":     "1:" + secretA + ",1:" + secretB,
		"three keys":  "1:" + secretA + ",2:" + secretB + ",3:" + secretA,
		"empty tail":  "1:" + secretA + ",",
		"negative ID": "-1:" + secretA,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(input)
			is.True(errkind.Is(err, errkind.KeyRingInvalid))
			is.True(!strings.Contains(err.Error(), secretA))
		})
	}
}

// Guards against a rotation that cuts open flows because the previous key is no
// longer accepted, and against derived keys that are equal for two keys or two
// purposes.
func TestTwoKeysAcceptedWhileRotating(t *testing.T) {
	is := is.New(t)
	ring, err := Parse("2:" + secretB + ", 1:" + secretA)
	is.NoErr(err)
	is.Equal(ring.SigningKey().ID, uint8(2))
	previous, ok := ring.Lookup(1)
	is.True(ok)
	is.True(previous.Derive("tunnel") != ring.SigningKey().Derive("tunnel"))
	is.True(previous.Derive("tunnel") != previous.Derive("ticket"))
	_, ok = ring.Lookup(3)
	is.True(!ok)
}
