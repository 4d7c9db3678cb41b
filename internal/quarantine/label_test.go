package quarantine

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/assert"
)

// Guards against suspicions that can't be sent, and end the streams on which they are.
func TestLabelOfAPartIsUTF8(t *testing.T) {
	for _, part := range []string{"\xff\xfe", strings.Repeat("x", maxLabel-1) + "\u00e9", strings.Repeat("\xff", 2*maxLabel)} {
		for _, c := range PartCandidates("o", "m", part) {
			assert.True(t, utf8.ValidString(c.Part), "%q", c.Part)
			assert.LessOrEqual(t, len(c.Part), maxLabel)
		}
	}
	other := PartCandidates("o", "m", "\xfe\xff")
	for i, c := range PartCandidates("o", "m", "\xff\xfe") {
		assert.NotEqual(t, other[i].Digest, c.Digest, "the bytes tell parts apart")
	}
}
