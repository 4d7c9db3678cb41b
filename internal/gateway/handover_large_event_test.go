package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestHandoverWithALargeFirstEvent(t *testing.T) {
	const count, pause = 15, 100 * time.Millisecond
	large := "id: 15\ndata: " + strings.Repeat("x", 2*streamBuffer) + "\n\n"
	loads := newBackend(t, "b-loads", slowEvents(count, pause))
	free := newBackend(t, "b-free", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Signature, "signed")
		w.Header().Set(headers.Version, "7")
		fmt.Fprint(w, large)
	})
	e := newEntry(t, loads, free)
	e.onlyEngines()
	time.AfterFunc(pause, func() { e.report(t, loads, true, 7) })
	a := e.ask(t, http.MethodPost, "/stream/x")
	require.NoError(t, a.err)
	assert.True(t, strings.HasSuffix(a.body, large), "the other server continues the stream")
	assert.NotContains(t, e.logs.String(), "too large")
}
