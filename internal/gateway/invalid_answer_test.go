package gateway

import (
	"net/http"
	"testing"

	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/dispatch"
)

// rawServer answers each request with a text of bytes and closes the connection.
func rawServer(t testing.TB, id string, text func(r *http.Request) string) *backend {
	return newBackend(t, id, func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Write([]byte(text(r)))
	})
}

func TestBytesThatAreNoAnswerAreCountedByCause(t *testing.T) {
	b := rawServer(t, "b-1", func(*http.Request) string { return "HTTP/1.1 200 OK\r\nno field\r\n\r\n" })
	e := newEntry(t, b)
	assert.Equal(t, http.StatusBadGateway, e.ask(t, http.MethodPost, "/unsafe/1").status)
	assert.Len(t, b.requests(), 1)
	var counted dto.Metric
	require.NoError(t, e.cfg.Metrics.invalidAnswers.WithLabelValues("plain", string(dispatch.CauseMalformed)).Write(&counted))
	assert.EqualValues(t, 1, counted.GetCounter().GetValue())
	line := e.logLine(t, "send failed")
	assert.Contains(t, line["cause"], dispatch.ErrInvalidAnswer.Error())
}
