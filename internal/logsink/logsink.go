// Package logsink writes log lines without blocking the goroutines that log.
// Lines are buffered up to a bound and written in batches by one goroutine.
// Lines that exceed the buffer or the rate are dropped and counted, and a log
// line reports their number. State: the buffer.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// flushInterval is the time between writes: one system call writes many lines.
	flushInterval = 50 * time.Millisecond
	// maxBuffer is the maximum size of the buffered lines, in bytes.
	maxBuffer = 256 << 10
	// DefaultRate is the maximum average rate over burstSeconds, in bytes per second:
	// about 400 lines per second.
	DefaultRate  = 128 << 10
	burstSeconds = 4
)

// Sink is an io.Writer that expects one whole line per Write.
type Sink struct {
	out  io.Writer
	rate int

	mu     sync.Mutex
	buf    []byte
	spare  []byte
	tokens float64
	filled time.Time

	dropped atomic.Int64
	done    chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// New starts a sink that writes to out at most rate bytes per second.
func New(out io.Writer, rate int) *Sink {
	s := &Sink{
		out: out, rate: rate, tokens: float64(rate * burstSeconds), filled: time.Now(),
		done: make(chan struct{}), closed: make(chan struct{}),
	}
	go s.run()
	return s
}

// Write buffers or drops one line. It never blocks on the output and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buf)+len(line) > maxBuffer || s.tokens < float64(len(line)) {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.tokens -= float64(len(line))
	s.buf = append(s.buf, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped since New.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.closed)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case <-ticker.C:
		case <-s.done:
			s.flush(&reported)
			return
		}
		s.flush(&reported)
	}
}

// flush writes the buffered lines, and one more line with the number of lines
// dropped since the previous flush.
func (s *Sink) flush(reported *int64) {
	now := time.Now()
	s.mu.Lock()
	limit := float64(s.rate * burstSeconds)
	s.tokens = min(limit, s.tokens+now.Sub(s.filled).Seconds()*float64(s.rate))
	s.filled = now
	lines := s.buf
	s.buf = s.spare[:0]
	s.spare = lines
	s.mu.Unlock()
	if dropped := s.dropped.Load(); dropped > *reported {
		lines = append(lines, fmt.Sprintf(`{"level":"warn","lines":%d,"message":"log lines dropped"}`+"\n", dropped-*reported)...)
		*reported = dropped
	}
	if len(lines) > 0 {
		// A failed write of the log can't be logged anywhere.
		_, _ = s.out.Write(lines)
	}
}

// closeTimeout bounds Close when the reader of the output is stalled.
const closeTimeout = 200 * time.Millisecond

// Close writes the buffered lines and stops the sink.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.done) })
	select {
	case <-s.closed:
	case <-time.After(closeTimeout):
	}
}
