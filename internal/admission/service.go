package admission

import (
	"container/heap"
	"math"
	"time"
)

// service holds the slots and the queue of one service.
type service struct {
	slots, running int
	queued         int
	classes        [Classes]class
	byDeadline     deadlineHeap
	serviceTime    estimate
	// probe is the request that was started although the estimate says that it
	// misses its deadline; 0 is none.
	probe uint64
}

func (s *service) free() int { return max(s.slots-s.running, 0) }

// push queues a request.
func (s *service) push(r *request, now time.Time) {
	s.classes[r.class].push(r, now)
	s.queued++
	if !r.deadline.IsZero() {
		heap.Push(&s.byDeadline, r)
	}
}

// remove takes a queued request out.
func (s *service) remove(r *request) {
	s.classes[r.class].remove(r)
	s.dequeued(r)
}

func (s *service) dequeued(r *request) {
	s.queued--
	if r.index >= 0 {
		heap.Remove(&s.byDeadline, r.index)
	}
}

// pop takes the request that starts next. The highest waiting class goes
// first, unless a lower one has been passed over maxPassed times.
func (s *service) pop(maxPassed int, now time.Time) *request {
	chosen := -1
	for i := range s.classes {
		c := &s.classes[i]
		if c.length == 0 {
			continue
		}
		if chosen < 0 || c.passedOver >= maxPassed && c.passedOver > s.classes[chosen].passedOver {
			chosen = i
		}
	}
	for i := chosen + 1; i < Classes; i++ {
		if s.classes[i].length > 0 {
			s.classes[i].passedOver++
		}
	}
	s.classes[chosen].passedOver = 0
	r := s.classes[chosen].pop(s.serviceTime.mean.Seconds(), now)
	s.dequeued(r)
	r.charged = s.serviceTime.mean
	return r
}

// expectedWait returns the expected wait of the request at a position of a flow,
// by the queue's length or by the interval of the flow's starts, whichever is
// longer.
func (s *service) expectedWait(classIndex int, f *flow, position int, now time.Time) time.Duration {
	byLength := time.Duration(s.serviceTimesUntilStart(classIndex, f, position) * float64(s.serviceTime.mean))
	return max(byLength, f.waitByStartInterval(position, now))
}

// minWait is the expected wait if a slot becomes free now.
func (s *service) minWait(classIndex int, f *flow, position int, now time.Time) time.Duration {
	serviceTimes := s.serviceTimesUntilStart(classIndex, f, position) - 1/float64(s.slots)
	byLength := time.Duration(serviceTimes * float64(s.serviceTime.mean))
	return max(byLength, f.waitByStartInterval(position-1, now))
}

// serviceTimesUntilStart returns how many mean service times pass before a
// request starts, if no other arrives: in one mean service time as many requests
// finish as there are slots. After a loss of capacity, the running requests
// beyond the slots must finish first.
func (s *service) serviceTimesUntilStart(classIndex int, f *flow, position int) float64 {
	if s.slots == 0 {
		return math.Inf(1)
	}
	ahead := s.classes[classIndex].ahead(f, position)
	for i := range classIndex {
		ahead += float64(s.classes[i].length)
	}
	serviceTimes := max(ahead+1-float64(s.free()), 0) / float64(s.slots)
	if excess := s.running - s.slots; excess > 0 {
		serviceTimes += float64(excess) / float64(s.running)
	}
	return serviceTimes
}

// deadlineHeap orders the queued requests by deadline.
type deadlineHeap []*request

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is called by container/heap.
func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop is called by container/heap.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := len(old) - 1
	r := old[last]
	old[last] = nil
	*h = old[:last]
	r.index = -1
	return r
}
