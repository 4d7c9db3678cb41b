package outcome

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHTTPAnswer(t *testing.T) {
	tests := []struct {
		name   string
		out    Outcome
		status int
		after  string
		body   string
	}{
		{"shed", NewNotRun(Overloaded, "queue is full", 1200*time.Millisecond), 503, "2",
			`{"error":{"type":"overloaded","message":"queue is full","outcome":"not_run","retry_after_ms":1200}}`},
		{"short wait is not rounded to zero", NewNotRun(RateLimited, "", time.Microsecond), 429, "1",
			`{"error":{"type":"rate_limited","message":"the request did not run","outcome":"not_run","retry_after_ms":1}}`},
		{"cut", NewUnknown(AnswerCut, ""), 502, "",
			`{"error":{"type":"answer_cut","message":"the request may have run","outcome":"unknown","retry_after_ms":0}}`},
		{"overload that may have run is no 503", NewUnknown(Overloaded, "x"), 502, "",
			`{"error":{"type":"overloaded","message":"x","outcome":"unknown","retry_after_ms":0}}`},
		{"unknown claim", NewUnknown(ClaimUnknown, "x"), 409, "",
			`{"error":{"type":"idempotency_key_outcome_unknown","message":"x","outcome":"unknown","retry_after_ms":0}}`},
		{"zero value", Outcome{}, 502, "",
			`{"error":{"type":"","message":"the request may have run","outcome":"unknown","retry_after_ms":0}}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rec := httptest.NewRecorder()
			require.NoError(t, tt.out.Write(rec))
			require.Equal(t, tt.status, rec.Code)
			require.Equal(t, tt.after, rec.Header().Get("Retry-After"))
			require.JSONEq(t, tt.body, rec.Body.String())
		})
	}
	require.Equal(t, "event: error\ndata: "+string(NewCompleted().Body())+"\n\n", string(NewCompleted().Event()))
}

func TestWorseKeepsUnknown(t *testing.T) {
	require.Equal(t, Unknown, Outcome{}.Kind, "the zero value is not a certain outcome")
	not, may := NewNotRun(Leaving, "", 0), NewUnknown(ConnectionLost, "")
	require.Equal(t, may, Combine(not, may))
	require.Equal(t, may, Combine(may, not))
	require.Equal(t, not, Combine(NewNotRun(NoBackend, "", 0), not))
	require.Equal(t, Completed, Combine(may, NewCompleted()).Kind)
}
