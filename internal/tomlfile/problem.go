package tomlfile

import (
	"fmt"
	"strings"
)

// Problem is one error found in a file.
type Problem struct {
	File string
	// Line is the line of the key, starting at 1; 0 when the key is absent.
	Line int
	// Key is the full key with indexes from 0, such as "control.peer[1].addr".
	Key string
	// Message is what is wrong and what is allowed.
	Message string
}

// String returns "file:line: key: message", without the parts that are unknown.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Key != "" {
		b.WriteString(": " + p.Key)
	}
	b.WriteString(": " + p.Message)
	return b.String()
}

// Problems is a list of problems that is used as an error; it is never empty then.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
