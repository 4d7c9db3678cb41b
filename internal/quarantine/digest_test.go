package quarantine

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDigestDiffersByRequest(t *testing.T) {
	base := DigestOf("org", "POST", "h", "/a/b", []byte("body"))
	assert.Equal(t, base, DigestOf("org", "POST", "h", "/a/b", []byte("body")), "the same content")
	for name, other := range map[string]Digest{
		"organisation":      DigestOf("other", "POST", "h", "/a/b", []byte("body")),
		"method":            DigestOf("org", "PUT", "h", "/a/b", []byte("body")),
		"host":              DigestOf("org", "POST", "i", "/a/b", []byte("body")),
		"path":              DigestOf("org", "POST", "h", "/a/c", []byte("body")),
		"body":              DigestOf("org", "POST", "h", "/a/b", []byte("bodY")),
		"parts that shift":  DigestOf("or", "gPOST", "h", "/a/b", []byte("body")),
		"path against body": DigestOf("org", "POST", "h", "/a/", []byte("bbody")),
	} {
		assert.NotEqual(t, base, other, name)
	}
}

// BenchmarkDigest measures what a request costs an entry while any content is suspect, by the size
// of its body.
func BenchmarkDigest(b *testing.B) {
	for name, size := range map[string]int{"none": 0, "4KiB": 4 << 10, "4MiB": 4 << 20} {
		body := []byte(strings.Repeat("x", size))
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				DigestOf("organisation", "POST", "host.example", "/path/of/the/request", body)
			}
		})
	}
}
