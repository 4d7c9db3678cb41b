package headlimit

import "errors"

// ErrNoMemory means that other heads and bodies use up the memory for them.
var ErrNoMemory = errors.New("no memory for the head of the response")

const (
	// usualHead is the length in bytes up to which heads are read without memory reserved for them.
	usualHead = 4 << 10
	// parsedSize is how many times its length in bytes a head of many short fields takes once it is parsed.
	parsedSize = 9
)

// Memory bounds what is held at one time for all connections of a process. It is safe for concurrent use.
type Memory interface {
	// Reserve reports whether n more bytes may be held. If so, they must be released.
	Reserve(n int64) bool
	Release(n int64)
}

// headMemory is what one connection has reserved for its current head.
type headMemory struct {
	of       Memory
	reserved int64
}

// ReserveIn has the memory for heads that are longer than usual reserved in m, until ReleaseHead or until the next head begins.
func (r *Reader) ReserveIn(m Memory) {
	r.ReleaseHead()
	r.memory.of = m
}

// ReleaseHead releases the memory of the last head, which must not be used any more.
func (r *Reader) ReleaseHead() {
	if r.memory.reserved > 0 {
		r.memory.of.Release(r.memory.reserved)
		r.memory.reserved = 0
	}
}

// reserve reports whether a head of n bytes so far may be held.
func (m *headMemory) reserve(n int) bool {
	if m.of == nil || n <= usualHead {
		return true
	}
	more := int64(n)*parsedSize - m.reserved
	if !m.of.Reserve(more) {
		return false
	}
	m.reserved += more
	return true
}
