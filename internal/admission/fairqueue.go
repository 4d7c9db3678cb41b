package admission

import (
	"cmp"
	"container/heap"
	"math"
	"time"
)

// flow is the queue of one organisation's requests of one patience in one class of one service.
type flow struct {
	flowKey
	// weight is the organisation's; those of its flows that are not empty share it by asked, how
	// many requests came to each lately.
	weight, asked float64
	// tag is the start tag of the next request in normalised slot seconds:
	// what the flow has used, divided by its weight.
	tag        float64
	head, tail *request
	length     int
	index      int // in the class's heap, -1 when the flow is empty
	// gap is the running mean time between two starts of the flow while it
	// waits, since is the last start or when it began to wait, and streak
	// counts the starts since then.
	gap    time.Duration
	since  time.Time
	streak int
}

// gapGain is the weight of a new measurement in a flow's gap.
const gapGain = 1.0 / 32

// started measures the gap before a start. The first start after the flow was
// empty says nothing about its pace.
func (f *flow) started(now time.Time) {
	f.streak++
	if f.streak > 1 {
		f.gap += time.Duration(gapGain * float64(now.Sub(f.since)-f.gap))
	}
	f.since = now
}

// pace returns the expected wait of the request at a place of the flow if the
// flow's starts go on as they did lately; 0 if it has not waited through a
// start. This sees what the queue's length does not: requests that are yet to
// come and will go first.
func (f *flow) pace(place int, now time.Time) time.Duration {
	if f.streak == 0 {
		return 0
	}
	return time.Duration(place+1)*f.gap - now.Sub(f.since)
}

// flowKey names a flow within its class.
type flowKey struct {
	organisation string
	patience     patience
}

// class is one priority class: start-time fair queueing over flows. The
// virtual time is the start tag of the request started last.
type class struct {
	flows map[flowKey]*flow
	// of are the flows of each organisation.
	of      map[string][]*flow
	backlog flowHeap
	virtual float64
	length  int
	passed  int // starts of higher classes since this class waits or started
}

func (c *class) flow(key flowKey) *flow {
	f, ok := c.flows[key]
	if !ok {
		f = &flow{flowKey: key, weight: 1, asked: 1, index: -1}
		if c.flows == nil {
			c.flows = make(map[flowKey]*flow)
			c.of = make(map[string][]*flow)
		}
		c.flows[key] = f
		c.of[key.organisation] = append(c.of[key.organisation], f)
	}
	return f
}

// forget drops the flows of an organisation that has no requests.
func (c *class) forget(organisation string) {
	for _, f := range c.of[organisation] {
		delete(c.flows, f.flowKey)
	}
	delete(c.of, organisation)
}

// askedGain is the weight of the newest request of an organisation in what its flows are asked for.
const askedGain = 1.0 / 256

// came counts a request of a flow, against the others of its organisation.
func (c *class) came(f *flow) {
	for _, other := range c.of[f.organisation] {
		other.asked *= 1 - askedGain
	}
	f.asked++
}

// share is the weight of a flow. An organisation has no more for asking with several
// deadlines. Each has more the more it is asked for, by the root: equal parts would serve all of
// those who are few before any of those who are many, parts by number would let a request of
// the few wait longer for its turn than its deadline allows.
func (c *class) share(f *flow) float64 {
	sum := 0.0
	for _, other := range c.of[f.organisation] {
		if other == f || other.length > 0 {
			sum += math.Sqrt(other.asked)
		}
	}
	return f.weight * math.Sqrt(f.asked) / sum
}

// push queues a request behind the others of its flow. A flow that was empty
// starts at the virtual time: it cannot save up what it did not use.
func (c *class) push(r *request, now time.Time) {
	f := r.flow
	r.prev = f.tail
	if f.tail != nil {
		f.tail.next = r
	} else {
		f.head = r
	}
	f.tail = r
	f.length++
	c.length++
	if f.length == 1 {
		f.streak = 0
		f.tag = max(f.tag, c.virtual)
		heap.Push(&c.backlog, f)
	}
}

// remove takes a request out of its flow, wherever it stands.
func (c *class) remove(r *request) {
	f := r.flow
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		f.head = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else {
		f.tail = r.prev
	}
	r.prev, r.next = nil, nil
	f.length--
	c.length--
	if f.length == 0 {
		heap.Remove(&c.backlog, f.index)
	}
	if c.length == 0 {
		c.passed = 0
	}
}

// pop takes the next request in fair order and charges its flow.
func (c *class) pop(cost float64, now time.Time) *request {
	f := c.backlog[0]
	r := f.head
	c.virtual = max(c.virtual, f.tag)
	c.remove(r)
	f.started(now)
	c.charge(f, cost)
	return r
}

// charge adds used slot seconds to a flow; a negative cost is given back.
func (c *class) charge(f *flow, cost float64) {
	f.tag += cost / c.share(f)
	if f.index >= 0 {
		heap.Fix(&c.backlog, f.index)
	}
}

// ahead returns how many requests of the class are expected to start before
// the one at the given place (0 is the head) of a flow: those in front of it,
// and from each other flow as many as its weight allows meanwhile.
func (c *class) ahead(f *flow, place int) float64 {
	n := float64(place)
	turns := float64(place+1) / c.share(f)
	for _, other := range c.backlog {
		if other != f {
			n += min(float64(other.length), turns*c.share(other))
		}
	}
	return n
}

// flowHeap orders the backlogged flows by start tag, then by name and patience.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return cmp.Or(cmp.Compare(h[i].organisation, h[j].organisation), cmp.Compare(h[i].patience, h[j].patience)) < 0
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is called by container/heap.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop is called by container/heap.
func (h *flowHeap) Pop() any {
	old := *h
	last := len(old) - 1
	f := old[last]
	old[last] = nil
	*h = old[:last]
	f.index = -1
	return f
}
