package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a body that another answer completes, whose head the connection's buffer does not hold to its end.
func TestAnswerBehindAPartOfABodyIsForwardedIfItsHeadIsNotBuffered(t *testing.T) {
	for _, c := range []struct{ body, head int }{{1 << 10, 0}, {5 << 10, 0}, {20 << 10, 0}, {100 << 10, 0}, {100, 6 << 10}} {
		t.Run(fmt.Sprintf("body of %d, head with %d more", c.body, c.head), func(t *testing.T) {
			size, more := c.body, "X-Note: "+strings.Repeat("n", c.head)+"\r\n"
			body := strings.Repeat("b", size)
			broken := rawServer(t, "b-1", func(r *http.Request) string {
				id := headers.RequestID + ": " + r.Header.Get(headers.RequestID) + "\r\n" + headers.Signature + ": signed\r\n"
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%sHTTP/1.1 500 Internal Server Error\r\n%s%sContent-Length: 6\r\n\r\nbroken", id, size, body[:size-50], id, more)
			})
			answer := newEntry(t, broken).ask(t, http.MethodPost, "/unsafe/1")
			require.NoError(t, answer.err)
			assert.NotContains(t, answer.body, "HTTP/1.1 5")
			assert.Equal(t, http.StatusBadGateway, answer.status)
		})
	}
}

// Guards against the same at the end of an answer that is passed on as it comes.
func TestAnswerBehindAPartOfABodyThatIsNotHeldLooksComplete(t *testing.T) {
	body := strings.Repeat("b", 2*maxHeldAnswer)
	broken := rawServer(t, "b-1", func(r *http.Request) string {
		id := headers.RequestID + ": " + r.Header.Get(headers.RequestID) + "\r\n" + headers.Signature + ": signed\r\n"
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%sHTTP/1.1 500 Internal Server Error\r\n%sContent-Length: 6\r\n\r\nbroken", id, len(body), body[:len(body)-50], id)
	})
	answer := newEntry(t, broken).ask(t, http.MethodPost, "/unsafe/1")
	assert.Error(t, answer.err)
	assert.Less(t, len(answer.body), len(body))
}
