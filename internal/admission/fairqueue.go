package admission

import (
	"cmp"
	"container/heap"
	"math"
	"time"
)

// flow is the queue of one organisation's requests of one deadline band in one
// class of one service.
type flow struct {
	flowKey
	// weight is the organisation's; its flows that are not empty share it
	// according to demand, the recent number of arrivals at each.
	weight, demand float64
	// startTag is the start tag of the next request in normalised slot seconds:
	// what the flow has used, divided by its weight.
	startTag   float64
	head, tail *request
	length     int
	index      int // in the class's heap, -1 when the flow is empty
	// startInterval is the running mean of the time between two starts of the
	// flow while it waits. intervalStart is the time of the last start, and
	// starts counts the starts since the flow began to wait.
	startInterval time.Duration
	intervalStart time.Time
	starts        int
}

// startIntervalGain is the weight of a new measurement in a flow's startInterval.
const startIntervalGain = 1.0 / 32

// recordStart measures the time since the previous start. The first start after
// the flow was empty is not measured: it has no previous start.
func (f *flow) recordStart(now time.Time) {
	f.starts++
	if f.starts > 1 {
		f.startInterval += time.Duration(startIntervalGain * float64(now.Sub(f.intervalStart)-f.startInterval))
	}
	f.intervalStart = now
}

// waitByStartInterval returns the expected wait of the request at a position of
// the flow, assuming that its starts continue at the recent interval; 0 if there
// was no start since the flow began to wait. Unlike the queue's length, this
// accounts for requests that will arrive later and start earlier.
func (f *flow) waitByStartInterval(position int, now time.Time) time.Duration {
	if f.starts == 0 {
		return 0
	}
	return time.Duration(position+1)*f.startInterval - now.Sub(f.intervalStart)
}

// flowKey names a flow within its class.
type flowKey struct {
	organisation string
	band         deadlineBand
}

// class is one priority class: start-time fair queueing over flows.
type class struct {
	flows          map[flowKey]*flow
	byOrganisation map[string][]*flow
	backlog        flowHeap
	virtualTime    float64 // the start tag of the request started last
	length         int
	passedOver     int // starts of higher classes since this class began to wait or last started
}

func (c *class) flow(key flowKey) *flow {
	f, ok := c.flows[key]
	if !ok {
		f = &flow{flowKey: key, weight: 1, demand: 1, index: -1}
		if c.flows == nil {
			c.flows = make(map[flowKey]*flow)
			c.byOrganisation = make(map[string][]*flow)
		}
		c.flows[key] = f
		c.byOrganisation[key.organisation] = append(c.byOrganisation[key.organisation], f)
	}
	return f
}

// forgetOrganisation removes the flows of an organisation that has no requests.
func (c *class) forgetOrganisation(organisation string) {
	for _, f := range c.byOrganisation[organisation] {
		delete(c.flows, f.flowKey)
	}
	delete(c.byOrganisation, organisation)
}

// demandGain is the weight of an organisation's newest request in the demand of
// its flows.
const demandGain = 1.0 / 256

// countArrival adds a request to the demand of a flow and lets the demand of all
// flows of the organisation decay.
func (c *class) countArrival(f *flow) {
	for _, other := range c.byOrganisation[f.organisation] {
		other.demand *= 1 - demandGain
	}
	f.demand++
}

// share is the weight of a flow: its part of the organisation's weight, in
// proportion to the square root of its demand. Sending requests with several
// deadlines thus gains an organisation nothing. Equal parts would serve all
// requests of the rare deadlines before any of the frequent ones; parts
// proportional to demand would let a request with a rare deadline wait longer
// than that deadline allows.
func (c *class) share(f *flow) float64 {
	sum := 0.0
	for _, other := range c.byOrganisation[f.organisation] {
		if other == f || other.length > 0 {
			sum += math.Sqrt(other.demand)
		}
	}
	return f.weight * math.Sqrt(f.demand) / sum
}

// push appends a request to its flow. A flow that was empty starts at the
// virtual time: it accumulates no credit while idle.
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
		f.starts = 0
		f.startTag = max(f.startTag, c.virtualTime)
		heap.Push(&c.backlog, f)
	}
}

// remove takes a request out of its flow, at any position.
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
		c.passedOver = 0
	}
}

// pop takes the next request in fair order and charges its flow.
func (c *class) pop(cost float64, now time.Time) *request {
	f := c.backlog[0]
	r := f.head
	c.virtualTime = max(c.virtualTime, f.startTag)
	c.remove(r)
	f.recordStart(now)
	c.charge(f, cost)
	return r
}

// charge adds used slot seconds to a flow; a negative cost is a refund.
func (c *class) charge(f *flow, cost float64) {
	f.startTag += cost / c.share(f)
	if f.index >= 0 {
		heap.Fix(&c.backlog, f.index)
	}
}

// ahead returns how many requests of the class are expected to start before
// the one at the given position (0 is the head) of a flow: those in front of it,
// and from each other flow as many as its share allows in the same time.
func (c *class) ahead(f *flow, position int) float64 {
	n := float64(position)
	rounds := float64(position+1) / c.share(f)
	for _, other := range c.backlog {
		if other != f {
			n += min(float64(other.length), rounds*c.share(other))
		}
	}
	return n
}

// flowHeap orders the backlogged flows by start tag, then by organisation and
// deadline band.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return cmp.Or(cmp.Compare(h[i].organisation, h[j].organisation), cmp.Compare(h[i].band, h[j].band)) < 0
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
