// Package logsink writes log lines without ever blocking those who log: lines
// wait in a bounded buffer, one goroutine writes them in batches, and what does
// not fit or exceeds the rate is dropped, counted and told. State: the buffer.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// flushInterval is how long lines wait to be written together: one system call
	// for many lines.
	flushInterval = 50 * time.Millisecond
	// maxBuffer bounds the lines that wait, in bytes.
	maxBuffer = 256 << 10
	// DefaultRate is how many bytes are written per second at most, on average over
	// burstSeconds: about 400 lines.
	DefaultRate  = 128 << 10
	burstSeconds = 4
)

// Sink is an io.Writer of whole lines.
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

// Write takes one line; it never blocks and never fails.
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

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.closed)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var told int64
	for {
		select {
		case <-ticker.C:
		case <-s.done:
			s.flush(&told)
			return
		}
		s.flush(&told)
	}
}

// flush writes what waits, and tells what was dropped since the last time.
func (s *Sink) flush(told *int64) {
	now := time.Now()
	s.mu.Lock()
	limit := float64(s.rate * burstSeconds)
	s.tokens = min(limit, s.tokens+now.Sub(s.filled).Seconds()*float64(s.rate))
	s.filled = now
	lines := s.buf
	s.buf = s.spare[:0]
	s.spare = lines
	s.mu.Unlock()
	if dropped := s.dropped.Load(); dropped > *told {
		lines = append(lines, fmt.Sprintf(`{"level":"warn","lines":%d,"message":"log lines dropped"}`+"\n", dropped-*told)...)
		*told = dropped
	}
	if len(lines) > 0 {
		// There is nowhere to tell that the log can't be written.
		_, _ = s.out.Write(lines)
	}
}

// closeTimeout bounds the wait for the last lines, where the reader is stalled.
const closeTimeout = 200 * time.Millisecond

// Close writes what waits and ends the sink.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.done) })
	select {
	case <-s.closed:
	case <-time.After(closeTimeout):
	}
}
