package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// requestingBackoff refuses requests and requests backoff for this many seconds.
func requestingBackoff(seconds string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", seconds)
		notRun(w, r)
	}
}

func TestRetryAfterIsTheEndOfTheBackoff(t *testing.T) {
	b := newBackend(t, "b-1", requestingBackoff("1.5"))
	e := newEntry(t, b)
	e.ask(t, "POST", "/unsafe/1")
	for i := range 3 {
		a := e.ask(t, "POST", fmt.Sprint("/unsafe/2", i))
		assert.Equal(t, http.StatusServiceUnavailable, a.status)
		after, err := strconv.ParseFloat(a.head.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.InDelta(t, 1.5, after, 0.3)
	}
	assert.Len(t, b.requests(), 1)
	assert.Contains(t, e.logs.String(), `"reason":"backend servers have requested backoff"`)
	assert.Contains(t, e.logs.String(), `"BackingOff":1`)
}

// scripted answers each request with the next of its handlers, and with the last one from then on.
func scripted(scripts ...http.HandlerFunc) http.HandlerFunc {
	var n atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		scripts[min(int(n.Add(1)), len(scripts))-1](w, r)
	}
}

func TestRestOfAStreamWaitsForTheEndOfABackoff(t *testing.T) {
	tired := newBackend(t, "b-1", scripted(requestingBackoff("1"), events(0)))
	cutting := newBackend(t, "b-2", scripted(events(0), events(2)))
	e := newEntry(t, tired, cutting)
	require.Equal(t, wholeStream, e.ask(t, "POST", "/stream/1").body)
	began := time.Now()
	assert.Equal(t, wholeStream, e.ask(t, "POST", "/stream/2").body)
	assert.Greater(t, time.Since(began), 900*time.Millisecond)
	assert.Len(t, tired.requests(), 2)
}
