package origin

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRange(t *testing.T) {
	content := make([]byte, 3*readBlockBytes)
	for i := range content {
		content[i] = byte(i * 7)
	}
	answers := map[string]func(w http.ResponseWriter, r *http.Request){
		"whole": func(w http.ResponseWriter, r *http.Request) {
			require.Equal(t, "bytes=100-40099", r.Header.Get("Range"))
			w.WriteHeader(http.StatusPartialContent)
			_, _ = w.Write(content[100:40100])
		},
		"short": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusPartialContent)
			_, _ = w.Write(content[100:40000])
		},
		"long": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusPartialContent)
			_, _ = w.Write(content[100:40101])
		},
		"ignored": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(content) },
		"missing": http.NotFound,
		"limited": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusTooManyRequests)
		},
		"unavailable": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answers[r.URL.Path[len("/m/"):len(r.URL.Path)-len("/weights")]](w, r)
	}))
	defer server.Close()
	paced := 0
	c := New(nil, func(_ context.Context, n int) error {
		paced += n
		return nil
	})
	defer c.Close()
	fetch := func(version string) ([]byte, error) {
		p := make([]byte, 40000)
		return p, c.Range(context.Background(), server.URL+"/", "m", version, p, 100, nil)
	}
	p, err := fetch("whole")
	require.NoError(t, err)
	require.Equal(t, content[100:40100], p)
	require.Equal(t, 40000, paced)
	for version, want := range map[string]error{
		"short": ErrShort, "long": ErrShort, "ignored": &StatusError{Code: 200}, "missing": &StatusError{Code: 404},
		"limited": &Limited{RetryAfter: 2 * time.Second}, "unavailable": &Limited{RetryAfter: defaultRetryAfter},
	} {
		_, err := fetch(version)
		require.Error(t, err, version)
		if !errors.Is(err, want) {
			require.Equal(t, want, err, version)
		}
	}
}

func TestRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"3": 3 * time.Second, " 0.25 ": 250 * time.Millisecond, "0": 0, "": defaultRetryAfter, "-1": defaultRetryAfter,
		"Wed, 02 Dec 2026 10:00:00 GMT": defaultRetryAfter, "86400": maxRetryAfter, "NaN": defaultRetryAfter,
	} {
		require.Equal(t, want, parseRetryAfter(value), value)
	}
}
