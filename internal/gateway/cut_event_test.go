package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cutEvents writes the first n bytes of a stream, and aborts.
func cutEvents(n int) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Signature, "signed")
		w.Header().Set(headers.Version, "7")
		_, _ = io.WriteString(w, wholeStream[:n])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// Guards against a part of an event that is read as the beginning of another server's.
func TestRestOfAStreamFollowsWholeEventsOnly(t *testing.T) {
	for n := range len(wholeStream) {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			a := newEntry(t, newBackend(t, "b-1", cutEvents(n)), newBackend(t, "b-2", events(0))).ask(t, "POST", "/stream/1")
			require.NoError(t, a.err)
			assert.Equal(t, wholeStream, a.body)
		})
	}
}

// Guards against the answer to another request, or a failure of the entry, behind a part of an answer.
func TestNothingFollowsAPartOfAnAnswerToACaller(t *testing.T) {
	large := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.Signature, "signed")
		w.Header().Set("Content-Length", strconv.Itoa(2*maxHeldAnswer))
		_, _ = io.WriteString(w, strings.Repeat("x", maxHeldAnswer+1))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for path, serve := range map[string]func(http.ResponseWriter, *http.Request){"/once/1": cutEvents(25), "/stream/1": cutEvents(25), "/unsafe/1": large, "/safe/1": large} {
		t.Run(path, func(t *testing.T) {
			e := newEntry(t, newBackend(t, "b-1", serve))
			conn, err := net.Dial("tcp", strings.TrimPrefix(e.URL, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
			request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Id: %%s\r\nX-Key: key\r\nX-Of-Model: m\r\nX-Wait: 2000\r\nContent-Length: 0\r\n\r\n", path)
			// The second request is sent before the first answer has broken off.
			_, err = fmt.Fprintf(conn, request+request, "first", "second")
			require.NoError(t, err)
			br := bufio.NewReader(conn)
			resp, err := http.ReadResponse(br, nil)
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, resp.StatusCode)
			body, err := io.ReadAll(resp.Body)
			assert.Error(t, err, "it must not look complete")
			assert.NotContains(t, string(body), "HTTP/1.1")
			_, err = br.Peek(1)
			assert.Error(t, err, "nothing follows")
		})
	}
}
