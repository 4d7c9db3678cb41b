package harness

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// answers starts a server that gives this answer to the request of a test.
func answers(t *testing.T, status int, answer string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || string(body) != "{}" || r.Header.Get("Authorization") != "Bearer "+Key("own") {
			status = http.StatusTeapot
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, answer)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func TestCompleteReadsAStreamToItsEnd(t *testing.T) {
	url := answers(t, http.StatusOK, "data: {}\n\n: a comment\n\ndata: {}\n\ndata: [DONE]\n\n")
	tokens := 0
	require.NoError(t, Complete(t.Context(), http.DefaultClient, url, "own", []byte("{}"), func() { tokens++ }))
	assert.Equal(t, 2, tokens)
}

func TestCompleteTellsOfACutStream(t *testing.T) {
	url := answers(t, http.StatusOK, "data: {}\n\n")
	tokens := 0
	err := Complete(t.Context(), http.DefaultClient, url, "own", []byte("{}"), func() { tokens++ })
	require.ErrorIs(t, err, ErrCut)
	assert.Equal(t, 1, tokens)
}

func TestCompleteReadsAWholeAnswer(t *testing.T) {
	url := answers(t, http.StatusOK, "{}")
	assert.NoError(t, Complete(t.Context(), http.DefaultClient, url, "own", []byte("{}"), nil))
}

func TestCompleteTellsOfARefusal(t *testing.T) {
	url := answers(t, http.StatusTooManyRequests, "queue is full")
	err := Complete(t.Context(), http.DefaultClient, url, "own", []byte("{}"), nil)
	assert.EqualError(t, err, "status 429 Too Many Requests: queue is full")
}
