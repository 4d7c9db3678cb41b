package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/balance"
	"lynxgate.dev/lynxgate/internal/fleet"
)

func TestRestOfAStreamWaitsForAServerThatLoadsItsVersion(t *testing.T) {
	loads := newBackend(t, "b-loads", events(0))
	e := newEntry(t, newBackend(t, "b-breaks", events(2)), loads)
	e.onlyEngines()
	addr := strings.TrimPrefix(loads.URL, "http://")
	e.balancer.Reported(time.Now(), balance.Report{Addr: addr, Loading: true, Models: []fleet.Loaded{{Model: "m", Version: 6}}})
	time.AfterFunc(300*time.Millisecond, func() { e.report(t, loads, false, 7) })
	a := e.ask(t, http.MethodPost, "/stream/x")
	require.NoError(t, a.err)
	assert.Equal(t, wholeStream, a.body)
}
