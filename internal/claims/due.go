package claims

// dueItem is a time at which a record may change by itself.
type dueItem struct {
	due Millis
	id  digest
}

// dueQueue is a binary heap of dueItems, earliest first. Items are not
// removed when their record changes; the table skips the outdated ones.
type dueQueue []dueItem

func (q *dueQueue) push(item dueItem) {
	*q = append(*q, item)
	h := *q
	i := len(h) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if h[parent].due <= h[i].due {
			return
		}
		h[parent], h[i] = h[i], h[parent]
		i = parent
	}
}

// popDue removes and returns the earliest item if it is due at now.
func (q *dueQueue) popDue(now Millis) (digest, bool) {
	h := *q
	if len(h) == 0 || h[0].due > now {
		return digest{}, false
	}
	id := h[0].id
	last := len(h) - 1
	h[0] = h[last]
	*q = h[:last]
	q.siftDown()
	return id, true
}

func (q dueQueue) siftDown() {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(q) {
			return
		}
		if child+1 < len(q) && q[child+1].due < q[child].due {
			child++
		}
		if q[i].due <= q[child].due {
			return
		}
		q[i], q[child] = q[child], q[i]
		i = child
	}
}
