package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPromptPartsAreParsed(t *testing.T) {
	for header, want := range map[string][]string{
		"":                              nil,
		"aa:1":                          nil, // the last part is the request's own
		"aa:1,bb:2":                     {"aa"},
		" AA:1 , bb , cc:x,dd:4":        {"aa", "bb", "cc"},
		"aa:1,aa:1,bb:2":                {"aa"},
		",:5,aa:1,,bb:2":                {"aa"},
		strings.Repeat("aa:1,", 50):     {"aa"},
		"aa:1,bb:2,cc:3,aa:1,bb:2,dd:4": {"aa", "bb", "cc"},
	} {
		assert.Equal(t, want, parsePromptParts(header), header)
	}
	var many strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&many, "%x:1,", i)
	}
	assert.Len(t, parsePromptParts(many.String()), maxPromptParts)
}
