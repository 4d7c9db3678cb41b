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

// Guards against a failure that is passed on as a success, or run twice, since a part of a head lies before it.
func TestFailureBehindAPartOfAHeadIsServedAsASuccess(t *testing.T) {
	spliced := func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\n" + headers.Signature + ": siHTTP/1.1 500 Internal Server Error\r\n" +
			headers.RequestID + ": " + r.Header.Get(headers.RequestID) + "\r\n" + headers.NotRun + ": 1\r\nContent-Length: 6\r\n\r\nbroken"
	}
	for _, c := range []struct {
		path, service string
		status        int
		sound         func(http.ResponseWriter, *http.Request)
	}{
		{"/unsafe/1", "plain", http.StatusBadGateway, good},
		{"/once/1", "engine", http.StatusBadGateway, events(0)},
		{"/safe/1", "plain", http.StatusOK, good},
		{"/stream/1", "engine", http.StatusOK, events(0)},
	} {
		t.Run(c.path, func(t *testing.T) {
			broken, sound := rawServer(t, "b-1", spliced), newBackend(t, "b-2", c.sound)
			e := newEntry(t, broken, sound)
			answer := e.ask(t, http.MethodPost, c.path)
			require.NoError(t, answer.err)
			assert.Equal(t, c.status, answer.status)
			assert.Empty(t, answer.head.Get(headers.NotRun), "it may have run")
			assert.Len(t, broken.requests(), 1)
			wantSent := 1
			if c.status == http.StatusBadGateway {
				wantSent = 0 // it must not run twice
			}
			assert.Len(t, sound.requests(), wantSent)
			assert.NotContains(t, answer.body, "broken")
			var counted dto.Metric
			require.NoError(t, e.cfg.Metrics.invalidAnswers.WithLabelValues(c.service, string(dispatch.CauseSpliced)).Write(&counted))
			assert.EqualValues(t, 1, counted.GetCounter().GetValue())
		})
	}
}
