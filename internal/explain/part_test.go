package explain

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against an explanation that blames the whole request when servers crashed under a part of its prompt.
func TestExplanationNamesThePartUnderWhichServersCrashed(t *testing.T) {
	l := Line{Fields: map[string]any{"content": "ab12", "part": "5c1e07a2", "ended_servers": []any{"s-1", "s-2"}}}
	assert.Equal(t, ` (ended under part "5c1e07a2" of the prompt: [s-1 s-2])`, l.crashedServers())
	delete(l.Fields, "part")
	assert.Equal(t, " (ended under the same work ab12: [s-1 s-2])", l.crashedServers())
}
