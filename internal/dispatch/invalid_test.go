package dispatch

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/headlimit"
)

func TestInvalidAnswersTellTheirCause(t *testing.T) {
	for _, c := range []struct {
		name, text string
		closed     bool
		cause      InvalidCause
	}{
		{name: "no HTTP", text: "this is not HTTP\r\n\r\n", cause: CauseMalformed},
		{name: "no field", text: "HTTP/1.1 200 OK\r\nno field\r\n\r\n", cause: CauseMalformed},
		{name: "closed within the head", text: "HTTP/1.1 200 OK\r\nX-A: 1", closed: true, cause: CauseIncomplete},
		{name: "silent within the head", text: "HTTP/1.1 200 OK\r\nX-A: 1", cause: CauseIncomplete},
		{name: "long head", text: "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 2*headlimit.MaxBytes), cause: CauseTooLarge},
		{name: "unframed answer to another", text: "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", cause: CauseOtherRequest},
		{name: "answers to others", text: strings.Repeat(okAnswer("other", "body"), maxUnmatched+1), cause: CauseOtherRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := send(NewPool(script(t, c.closed, c.text)), "a")
			require.ErrorIs(t, err, ErrInvalidAnswer)
			assert.NotErrorIs(t, err, ErrNotSent)
			var invalid *InvalidAnswerError
			require.True(t, errors.As(err, &invalid))
			assert.Equal(t, c.cause, invalid.Cause)
		})
	}
}
