package headlimit

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// repeating reads the same bytes without end and counts them.
type repeating struct {
	text string
	read int
}

func (r *repeating) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(p)
	return len(p), nil
}

func TestHeadWithoutEndIsAnError(t *testing.T) {
	for _, text := range []string{"long ", "HTTP/1.1 200 ", "X-Many: 1\r\n", "\r\n"} {
		endless := &repeating{text: text}
		r := NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nA: "), endless), 4<<10)
		_, err := r.ReadResponse(nil, nil)
		if text == "\r\n" {
			require.NoError(t, err, "the head ends with the first empty line")
			continue
		}
		assert.ErrorIs(t, err, ErrTooLarge, text)
		assert.LessOrEqual(t, endless.read, MaxBytes)
	}
}

func TestEachHeadHasTheWholeLimit(t *testing.T) {
	body := strings.Repeat("b", 3*MaxBytes)
	one := "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", MaxBytes-8<<10) + "\r\nContent-Length: 196608\r\n\r\n" + body
	r := NewReader(strings.NewReader(one+one+one), 4<<10)
	for range 3 {
		resp, err := r.ReadResponse(nil, nil)
		require.NoError(t, err)
		got, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		assert.Len(t, got, len(body))
	}
}
