package headers

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPassed(t *testing.T) {
	h := http.Header{}
	for _, name := range []string{
		"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
		"content-length", "x-own",
	} {
		h.Set(name, "withheld")
	}
	h.Set("Content-Type", "text/plain")
	h.Add("X-Twice", "a")
	h.Add("X-Twice", "b")
	var passed []string
	for _, field := range EndToEnd(h, map[string]bool{"X-Own": true}) {
		passed = append(passed, field.Name+": "+field.Value)
	}
	assert.ElementsMatch(t, []string{"Content-Type: text/plain", "X-Twice: a", "X-Twice: b"}, passed)
	assert.Empty(t, EndToEnd(nil, nil))
}
