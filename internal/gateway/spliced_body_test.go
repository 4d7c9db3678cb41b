package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a body that was cut and that the head of another answer completes.
func TestAnswerBehindAPartOfABodyIsForwarded(t *testing.T) {
	const body = `{"result":"a long one, so that a status line has room in it"}`
	for _, path := range []string{"/unsafe/1", "/safe/1"} {
		for cut := range len(body) {
			t.Run(fmt.Sprintf("%s cut at %d", path, cut), func(t *testing.T) {
				broken := rawServer(t, "b-1", func(r *http.Request) string {
					id := headers.RequestID + ": " + r.Header.Get(headers.RequestID) + "\r\n" + headers.Signature + ": signed\r\n"
					return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%sHTTP/1.1 500 Internal Server Error\r\n%sContent-Length: 6\r\n\r\nbroken", id, len(body), body[:cut], id)
				})
				sound := newBackend(t, "b-2", good)
				e := newEntry(t, broken, sound)
				answer := e.ask(t, http.MethodPost, path)
				require.NoError(t, answer.err)
				assert.NotContains(t, answer.body, "HTTP/1.1 5")
				if path == "/safe/1" {
					assert.Equal(t, http.StatusOK, answer.status)
					assert.Len(t, sound.requests(), 1)
					return
				}
				assert.Equal(t, http.StatusBadGateway, answer.status)
				assert.Empty(t, answer.head.Get(headers.NotRun), "it has run")
				assert.Empty(t, sound.requests())
			})
		}
	}
}

// Guards against a check of bodies that takes answers from callers whose server sends extra bytes.
func TestExtraBytesBehindABodyThatSpeaksOfHTTPAreLeftAlone(t *testing.T) {
	const body = "seen: HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n"
	for _, extra := range []string{"extra bytes", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nbroken"} {
		b := rawServer(t, "b-1", func(r *http.Request) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed\r\nContent-Length: %d\r\n\r\n%s%s", headers.RequestID, r.Header.Get(headers.RequestID), headers.Signature, len(body), body, extra)
		})
		answer := newEntry(t, b).ask(t, http.MethodPost, "/unsafe/1")
		require.NoError(t, answer.err)
		assert.Equal(t, body, answer.body)
	}
}
