package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// runHeld runs lynxctl held against an answer, and returns what was asked and printed.
func runHeld(t *testing.T, status int, answer string, args ...string) (asked, stdout, stderr string, exit int) {
	return runFleetCommand(t, "held", status, answer, args...)
}

// runFleetCommand is runHeld for any command that calls a control server of a fleet.
func runFleetCommand(t *testing.T, command string, status int, answer string, args ...string) (asked, stdout, stderr string, exit int) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.Method + " " + r.URL.Path
		w.WriteHeader(status)
		_, _ = w.Write([]byte(answer))
	}))
	defer server.Close()
	var out, errs bytes.Buffer
	env := &environment{stdout: &out, stderr: &errs, getenv: func(string) string { return "" }}
	control := strings.TrimPrefix(server.URL, "http://")
	code := run(t.Context(), env, append([]string{command, "-control", control}, args...))
	return asked, out.String(), errs.String(), int(code)
}

func TestHeldListsAndLetsGo(t *testing.T) {
	list := `[{"content":"ab12","verdict":"held","servers":["s-1","s-2","s-3"],"held_ms":61000},{"content":"cd34","part":"5c1e07a2","verdict":"suspect","servers":["s-1"],"held_ms":0}]`
	asked, out, _, code := runHeld(t, http.StatusOK, list)
	assert.Equal(t, "GET /v1/held", asked)
	assert.Equal(t, "ab12 held for 1m1s, ended under it: s-1 s-2 s-3\ncd34 part \"5c1e07a2\" suspect, ended under it: s-1\n", out)
	assert.Zero(t, code)

	asked, out, _, code = runHeld(t, http.StatusNoContent, "", "ab12")
	assert.Equal(t, "DELETE /v1/held/ab12", asked)
	assert.Equal(t, "ab12 is let go\n", out)
	assert.Zero(t, code)

	_, _, _, code = runHeld(t, http.StatusBadRequest, "no digest", "xyz")
	assert.Equal(t, int(exitBadInput), code)
	_, _, errs, code := runHeld(t, http.StatusServiceUnavailable, "no quorum", "ab12")
	assert.Equal(t, int(exitFailed), code)
	assert.Contains(t, errs, "no quorum")
}
