package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an event that ends with the head of another answer.
func TestAnswerBehindAPartOfAnEventIsForwarded(t *testing.T) {
	const (
		first  = "id: 1\ndata: 1\n\n"
		second = "id: 2\ndata: 2\n\n"
	)
	head := func(r *http.Request, status, fields string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: signed\r\n%s: 7\r\n%s\r\n", status, headers.RequestID, r.Header.Get(headers.RequestID), headers.Signature, headers.Version, fields)
	}
	for framing, begin := range map[string]func(r *http.Request) string{
		"one chunk": func(r *http.Request) string { return head(r, "200 OK", "Transfer-Encoding: chunked\r\n") + "400\r\n" },
		"length":    func(r *http.Request) string { return head(r, "200 OK", "Content-Length: 1024\r\n") },
		"unframed":  func(r *http.Request) string { return head(r, "200 OK", "Connection: close\r\n") },
	} {
		for cut := 1; cut < len(second); cut++ {
			t.Run(fmt.Sprintf("%s, cut at %d", framing, cut), func(t *testing.T) {
				broken := rawServer(t, "b-1", func(r *http.Request) string {
					return begin(r) + first + second[:cut] + head(r, "500 Internal Server Error", "Content-Length: 0\r\n") + strings.Repeat("x", 2048)
				})
				sound := newBackend(t, "b-2", events(0))
				e := newEntry(t, broken, sound)
				e.onlyEngines()
				answer := e.ask(t, http.MethodPost, "/stream/1")
				require.NoError(t, answer.err)
				assert.Equal(t, wholeStream, answer.body)
				require.Len(t, sound.requests(), 1)
				assert.Equal(t, "1", sound.requests()[0].Header.Get(headers.ResumeAfter))
			})
		}
	}
}

// Guards against a check of events that takes lawful ones from callers.
func TestEventsThatSpeakOfHTTPAreForwarded(t *testing.T) {
	const text = "id: 1\ndata: HTTP/1.1 500 Failed\ndata: Content-Length: 0\ndata:\n\nid: 2\ndata: HTTP/1.1 200 OK\n\n"
	e := newEntry(t, newBackend(t, "b-1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Signature, "signed")
		_, _ = fmt.Fprint(w, text)
	}))
	e.onlyEngines()
	assert.Equal(t, text, e.ask(t, http.MethodPost, "/stream/1").body)
}
