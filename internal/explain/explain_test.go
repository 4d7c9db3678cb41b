package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const entryLog = `
   3.1 entry-1 {"daemon":"entry-1","time":"2026-01-01T00:00:03.100Z","server":"s-2","message":"backend server set aside"}
{"daemon":"entry-1","request":"r-1","server":"s-2","sends":0,"cause":"connection reset","time":"2026-01-01T00:00:04.000Z","message":"send failed"}
{"daemon":"entry-1","request":"r-1","server":"s-2","sends":1,"status":502,"reason":"connection to the backend server failed","time":"2026-01-01T00:00:04.001Z","message":"request ended"}
{"daemon":"entry-1","request":"r-2","sends":0,"status":503,"reason":"all backend servers are full","servers":{"Known":3,"Fit":2,"Aside":1,"Old":0},"time":"2026-01-01T00:00:05.000Z","message":"request ended"}
{"daemon":"entry-1","request":"r-5","sends":0,"status":503,"reason":"backend servers are at the limits that they name","servers":{"Known":1,"Limited":1},"throttled":[{"server":"s-9","signal":"limit","age_ms":40,"opens_ms":900}],"time":"2026-01-01T00:00:05.600Z","message":"request ended"}
{"daemon":"entry-1","request":"r-4","sends":0,"status":503,"reason":"all backend servers are full","servers":{"Known":3,"Fit":3},"prompt":3880,"allowed_ms":149.2,"soonest_ms":215.6,"waited_ms":80.1,"time":"2026-01-01T00:00:05.500Z","message":"request ended"}
{"daemon":"entry-1","request":"r-3","server":"s-1","sends":1,"status":200,"reason":"served","first_ms":900,"wait_ms":20,"queue":3,"load_age_ms":80,"gap_ms":50,"time":"2026-01-01T00:00:06.000Z","message":"request ended"}
not JSON
`

func read(t *testing.T, request string) *Report {
	t.Helper()
	r, err := Read(request, strings.NewReader(""), strings.NewReader(entryLog))
	require.NoError(t, err)
	return r
}

func TestFailedAttemptDecidesTheResult(t *testing.T) {
	r := read(t, "r-1")
	assert.Len(t, r.Lines, 3)
	assert.Equal(t, "backend server set aside", r.Lines[0].Message)
	assert.Equal(t, "send failed", r.Lines[r.Deciding].Message)
	assert.True(t, r.Ended)
	assert.Contains(t, r.Cause, "connection reset")
	assert.Contains(t, r.Cause, "s-2")
}

func TestRefusalWithoutAnAttempt(t *testing.T) {
	assert.Equal(t, "refused with 503 before any send: all backend servers are full (servers: aside 1, fit 2, known 3)", read(t, "r-2").Cause)
}

func TestRefusalWithoutFreeCapacity(t *testing.T) {
	assert.Equal(t, "refused with 503 before any send: backend servers are at the limits that they name (servers: known 1, limited 1) (throttled: s-9 by its limit, signalled 40 ms before, free after 900 ms)", read(t, "r-5").Cause)
	assert.Equal(t, "refused with 503 before any send: all backend servers are full (servers: fit 3, known 3) (prompt of 3880 tokens, waited 80 ms for room; least wait predicted at a server 216 ms, longest allowed 149 ms)", read(t, "r-4").Cause)
}

func TestLateAnswerIncludesThePrediction(t *testing.T) {
	assert.Equal(t, "late at s-1: first event after 900 ms (predicted wait 20 ms, queue 3, told 80 ms before), longest pause 50 ms", read(t, "r-3").Cause)
}

func TestUnknownRequest(t *testing.T) {
	_, err := Read("r-9", strings.NewReader(entryLog))
	assert.ErrorContains(t, err, "r-9")
}
