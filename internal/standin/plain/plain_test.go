package plain_test

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"lukechampine.com/blake3"

	"lynxgate.dev/lynxgate/internal/standin/plain"
)

func post(t *testing.T, url, key, body string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	// Without this, net/http itself repeats a request with an Idempotency-Key
	// when a kept connection ends.
	request.GetBody = nil
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("X-Request-Id", "id-"+key)
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		t.Cleanup(func() { _ = response.Body.Close() })
	}
	return response, err
}

func TestCountsRuns(t *testing.T) {
	s := plain.New(plain.Config{Name: "dispatch-svc"})
	server := httptest.NewServer(s)
	defer server.Close()

	response, err := post(t, server.URL+"/dispatch", "a", "leak")
	require.NoError(t, err)
	var answer plain.Answer
	require.NoError(t, json.NewDecoder(response.Body).Decode(&answer))
	sum := blake3.Sum256([]byte("leak"))
	require.Equal(t, plain.Answer{
		Service: "dispatch-svc", Method: http.MethodPost, Path: "/dispatch",
		BodyDigest: hex.EncodeToString(sum[:]), Run: 1,
	}, answer)

	s.SetFaults(plain.Faults{DieAfterRun: 1})
	_, err = post(t, server.URL+"/dispatch", "b", "lockout")
	require.Error(t, err, "the connection ends without an answer")
	_, err = post(t, server.URL+"/dispatch", "b", "lockout")
	require.NoError(t, err, "the fault hits once")

	s.SetFaults(plain.Faults{Refuse: true})
	response, err = post(t, server.URL+"/dispatch", "c", "key")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, plain.Runs{
		Total:           3,
		RequestIDs:      map[string]int{"id-a": 1, "id-b": 2},
		IdempotencyKeys: map[string]int{"a": 1, "b": 2},
	}, s.Runs())
}

func TestLatencyAndStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := plain.New(plain.Config{Latency: time.Second, Faults: plain.Faults{Slow: 10}})
		answered := func() bool {
			done := make(chan struct{})
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			go func() {
				defer close(done)
				defer func() { _ = recover() }() // http.ErrAbortHandler
				s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/x", nil).WithContext(ctx))
			}()
			<-done
			return ctx.Err() == nil
		}
		start := time.Now()
		require.True(t, answered())
		require.Equal(t, 10*time.Second, time.Since(start))
		s.SetFaults(plain.Faults{Stall: true})
		require.False(t, answered())
		require.Equal(t, uint64(2), s.Runs().Total, "a stalled request has run")
	})
}
