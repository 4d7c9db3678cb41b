package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// stalled is an output whose reader has stopped reading.
type stalled struct{ release chan struct{} }

func (s stalled) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// A reader of the log that stops reading must not block the goroutines that log.
func TestWriteDoesNotBlockOnStalledReader(t *testing.T) {
	out := stalled{make(chan struct{})}
	defer close(out.release)
	s := New(out, 1<<30)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10_000 { // 10 MB, far more than maxBuffer
			_, _ = s.Write(line)
			time.Sleep(time.Microsecond)
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("a stalled reader blocks the log")
	}
	assert.Positive(t, s.Dropped())
}

// collected is a bytes.Buffer that is safe for concurrent writes.
type collected struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (c *collected) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.buf.Write(p)
}

func TestExcessLinesAreDroppedAndReported(t *testing.T) {
	var out collected
	s := New(&out, 1000)
	for range 1000 {
		_, _ = s.Write([]byte(strings.Repeat("x", 99) + "\n"))
	}
	s.Close()
	assert.LessOrEqual(t, out.buf.Len(), 1000*burstSeconds+200)
	assert.Contains(t, out.buf.String(), "log lines dropped")
	assert.EqualValues(t, 1000-40, s.Dropped())
}
