package backpressure

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestRetryAfterIsParsed(t *testing.T) {
	wall := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		value, date string
		want        time.Duration
	}{
		{"", "", 0},
		{"3", "", 3 * time.Second},
		{"2.5", "", 2500 * time.Millisecond},
		{" 0.1 ", "", 100 * time.Millisecond},
		{"0", "", 0},
		{"-1", "", 0},
		{"NaN", "", 0},
		{"soon", "", 0},
		{"3600", "", time.Hour},
		{"1e300", "", maxBackoff},
		{"Inf", "", 0},
		{"Sun, 01 Mar 2026 12:00:07 GMT", "", 7 * time.Second},
		{"Sun, 01 Mar 2026 12:00:07 GMT", "Sun, 01 Mar 2026 12:00:02 GMT", 5 * time.Second},
		{"Sun, 01 Mar 2026 11:00:00 GMT", "", 0},
	} {
		h := http.Header{"Retry-After": {c.value}, "Date": {c.date}}
		assert.Equal(t, c.want, ReadRetryAfter(h, wall), "%q, %q", c.value, c.date)
	}
}

func TestShorterBackoffDoesNotCutLongerOne(t *testing.T) {
	var r Backoff
	assert.True(t, r.Request(at(0), 3*time.Second))
	assert.False(t, r.Request(at(1), time.Second))
	assert.False(t, r.Request(at(1), 0))
	assert.False(t, r.Over(at(2.9)))
	assert.True(t, r.Over(at(3)))
	assert.False(t, r.Request(at(2), 3*time.Second))
	assert.False(t, r.Over(at(4.9)))
}
