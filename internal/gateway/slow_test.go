package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// raw sends a request head over a connection of its own.
func (e *entry) raw(t testing.TB, path string, contentLength int, waitMs int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: id-1\r\n%s: key\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		path, headers.RequestID, headers.Key, headers.DeadlineMs, waitMs, contentLength)
	require.NoError(t, err)
	return conn
}

func TestBodiesOfSlowCallersUseBoundedMemory(t *testing.T) {
	b := newBackend(t, "b-1", good)
	e := newEntry(t, b)
	e.view.Load().Table.Config.Limits.BodyBytes = 1 << 20
	e.held.most = 64 << 10
	slow := e.raw(t, "/unsafe/1", 200_000, 1500)
	_, err := slow.Write(make([]byte, 50_000))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return e.held.now.Load() == 64<<10 }, time.Second, time.Millisecond)
	a := e.ask(t, http.MethodPost, "/unsafe/2")
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.NotEmpty(t, a.head.Get("Retry-After"))
	assert.Contains(t, e.logs.String(), errNoMemory.Error())
	assert.Empty(t, b.requests())

	// The slow caller gets its answer at the deadline, and the memory is free again.
	answer, err := http.ReadResponse(bufio.NewReader(slow), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestTimeout, answer.StatusCode)
	require.Eventually(t, func() bool { return e.held.now.Load() == 0 }, time.Second, time.Millisecond)
	assert.Equal(t, http.StatusOK, e.ask(t, http.MethodPost, "/unsafe/3").status)
	assert.Zero(t, e.held.now.Load())
}

// large answers with n bytes and counts those that it could write.
func large(n int, written *atomic.Int64, stop int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(headers.Signature, "signed")
		w.Header().Set("Content-Length", strconv.Itoa(n))
		piece := []byte(strings.Repeat("x", 64<<10))
		for sent := 0; sent < n; sent += len(piece) {
			if stop > 0 && sent >= stop {
				panic(http.ErrAbortHandler)
			}
			if _, err := w.Write(piece[:min(len(piece), n-sent)]); err != nil {
				return
			}
			written.Add(int64(len(piece)))
		}
	}
}

func TestLargeAnswerIsForwardedAsItArrives(t *testing.T) {
	const size = 40 << 20
	var written atomic.Int64
	e := newEntry(t, newBackend(t, "b-1", large(size, &written, 0)))
	conn := e.raw(t, "/unsafe/1", 0, 8000)
	time.Sleep(300 * time.Millisecond) // the caller does not read
	assert.Less(t, written.Load(), int64(size/2), "the server waits")
	assert.LessOrEqual(t, e.held.now.Load(), int64(maxHeldAnswer))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, answer.Body)
	require.NoError(t, err)
	assert.EqualValues(t, size, n)
	require.Eventually(t, func() bool { return e.balancer.InFlight() == 0 }, 10*time.Second, time.Millisecond) // the caller has the last byte first
}

func TestLargeAnswerThatBreaksOffDoesNotLookComplete(t *testing.T) {
	var written atomic.Int64
	e := newEntry(t, newBackend(t, "b-1", large(4<<20, &written, 2<<20)))
	a := e.ask(t, http.MethodPost, "/unsafe/1")
	assert.Equal(t, http.StatusOK, a.status)
	assert.Error(t, a.err)
	e.Close() // waits until the call has ended and was logged
	assert.Contains(t, e.logs.String(), "answer broke off")
}

func TestServerThatHoldsLargeBodiesIsChosenLast(t *testing.T) {
	waiting := make(chan struct{})
	hold := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if len(body) > 1000 {
			<-waiting
		}
		good(w, r)
	}
	first, second := newBackend(t, "b-1", hold), newBackend(t, "b-2", hold)
	e := newEntry(t, first, second)
	e.view.Load().Table.Config.Limits.BodyBytes = 8 << 20
	heavy := e.raw(t, "/unsafe/1", 6<<20, 1900)
	_, err := heavy.Write(make([]byte, 6<<20))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(first.requests())+len(second.requests()) == 1 }, time.Second, time.Millisecond)
	holder, other := first, second
	if len(second.requests()) == 1 {
		holder, other = second, first
	}
	for range 5 {
		require.Equal(t, http.StatusOK, e.ask(t, http.MethodPost, "/unsafe/2").status)
	}
	assert.Len(t, holder.requests(), 1)
	assert.Len(t, other.requests(), 5)
	close(waiting)
}
