package relay

import "sync/atomic"

// heldBytes bounds the bytes of requests that the agent holds at one time for all its connections, whose entries and engine may be slow.
type heldBytes struct {
	// most is the bound in bytes; 0 is none.
	most int64
	now  atomic.Int64
}

// reserve returns a hold on n bytes, false if that would exceed the bound.
func (h *heldBytes) reserve(n int64) (*hold, bool) {
	if h.now.Add(n) > h.most && h.most > 0 {
		h.now.Add(-n)
		return nil, false
	}
	return &hold{of: h, n: n}, true
}

// hold is a part of heldBytes. A nil hold is of nothing. One goroutine uses it at a time.
type hold struct {
	of *heldBytes
	n  int64
}

// release ends the hold. It may be called again.
func (h *hold) release() {
	if h == nil {
		return
	}
	h.of.now.Add(-h.n)
	h.n = 0
}
