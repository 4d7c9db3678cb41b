package entry

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/frames"
	"lynxgate.dev/lynxgate/internal/rpc"
)

// Guards against an error event that is read as the rest of an event of the backend server.
func TestErrorEventFollowsWholeEventsOnly(t *testing.T) {
	part := "data: " + strings.Repeat("x", maxBufferedBytes)
	for name, c := range map[string]struct {
		// pieces are those of the answer, of which the caller gets the first.
		pieces []string
		// told: an error event follows.
		told bool
	}{
		"in an event":      {[]string{part, "y"}, false},
		"after an event":   {[]string{part + "\n\n"}, true},
		"in the next one":  {[]string{part + "\n\n", "data: y"}, true},
		"in its last line": {[]string{part + "\n", "\n"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			agent := &fakeAgent{run: func(_ *rpc.RunRequest, w *frames.Writer, send func(*rpc.ResponseFrame) error, _ context.Context) error {
				_ = send(w.Head(200, eventStream))
				for _, piece := range c.pieces {
					_ = send(w.Data([]byte(piece)))
				}
				return errors.New("cut")
			}}
			got := newTestbed(t, Config{}, agent).call(jobsPath, "job", HeaderIdempotencyKey, "k")
			require.True(t, got.broken)
			rest, found := strings.CutPrefix(got.body, c.pieces[0])
			require.True(t, found)
			if !c.told {
				require.Empty(t, rest)
				return
			}
			require.True(t, strings.HasPrefix(rest, "event: error\n"), rest)
		})
	}
}
