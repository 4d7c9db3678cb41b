package store_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/standin/store"
)

func TestLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	files := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	s := store.New(store.Config{
		RequestsPerSecond: 0.5, Burst: 2, UnavailableEvery: 3,
		Now: func() time.Time { return now },
	}, files)
	ask := func(path string) (int, string) {
		recorder := httptest.NewRecorder()
		s.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder.Code, recorder.Header().Get("Retry-After")
	}
	steps := []struct {
		after      time.Duration
		path       string
		status     int
		retryAfter string
	}{
		{0, "/m/v1/weights", http.StatusOK, ""},
		{0, "/m/v1/weights", http.StatusOK, ""},
		{0, "/m/v1/weights", http.StatusTooManyRequests, "2"},
		{0, "/_bytes", http.StatusOK, ""},
		{time.Second, "/m/v1/weights", http.StatusTooManyRequests, "1"},
		{time.Second, "/m/v1/weights", http.StatusServiceUnavailable, "1"},
		{2 * time.Second, "/m/v1/weights", http.StatusOK, ""},
	}
	for i, step := range steps {
		now = now.Add(step.after)
		status, retryAfter := ask(step.path)
		require.Equal(t, step.status, status, "step %d", i)
		require.Equal(t, step.retryAfter, retryAfter, "step %d", i)
	}
}
