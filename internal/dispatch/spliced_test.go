package dispatch

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a part of a head that takes the status line of the next answer as the rest of a field, and keeps its own status.
func TestFailureBehindAPartOfAHeadIsReadAsASuccess(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Upstream: 10.0.0.1\r\nX-Signature: sig\r\nX-Id: b\r\nContent-Length: 4\r\n"
		failure = "HTTP/1.1 500 Internal Server Error\r\nX-Id: b\r\nContent-Length: 6\r\n\r\nfailed"
	)
	for cut := 1; cut <= len(head); cut++ {
		t.Run(fmt.Sprintf("cut at %d", cut), func(t *testing.T) {
			t.Parallel()
			p := NewPool(script(t, false, okAnswer("a", "aaaa"), head[:cut]+failure))
			_, _, err := send(p, "a")
			require.NoError(t, err)
			a, err := sendAs(p, http.MethodPost, "b")
			if err == nil {
				defer a.Close()
				body, _ := io.ReadAll(a)
				t.Fatalf("read as status %d with body %q behind %q", a.StatusCode, body, head[:cut])
			}
			assert.ErrorIs(t, err, ErrInvalidAnswer, "it may have run")
			assert.NotErrorIs(t, err, ErrNotSent)
			assert.Zero(t, p.open.Load(), "the connection is closed")
		})
	}
}

// Guards against a check of heads that takes answers from callers.
func TestFieldsThatSpeakOfHTTPAreLeftAlone(t *testing.T) {
	for _, field := range []string{
		"Via: 1.1 a, HTTP/1.1 b", "Server: x HTTP/1.1", "X-Upstream-Status: HTTP/1.1 500 Internal Server Error",
		`Warning: 299 - "HTTP/1.1 200 OK"`,
	} {
		text := "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n" + field + "\r\nDate: Mon, 01 Jan 2024 00:00:00 GMT\r\n\r\nbody"
		a, body, err := send(NewPool(script(t, false, text)), "a")
		require.NoError(t, err, field)
		assert.Equal(t, "body", body)
		name, value, _ := strings.Cut(field, ": ")
		assert.Equal(t, value, a.Header.Get(name))
	}
}

// Guards against a failure without a length, an id or a field that comes twice, which is read as the body of the part before it.
func TestFailureWithoutALengthIsReadAsASuccess(t *testing.T) {
	for _, cut := range []string{"X-Note: ", "X-Note: some ", "Via: 1.1 a,", "X-Path: a/"} {
		head := "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n" + cut
		p := NewPool(script(t, true, head+"HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\n\r\nfailed"))
		a, body, err := send(p, "a")
		if err == nil {
			assert.True(t, a.CompletedByAnother([]byte(body)), "read as status %d with body %q behind %q", a.StatusCode, body, head)
		}
	}
}
