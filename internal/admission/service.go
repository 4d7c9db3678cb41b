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
	took           estimate
	// probe is a started request that the estimate spoke against; 0 is none.
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
	s.forget(r)
}

func (s *service) forget(r *request) {
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
		if chosen < 0 || c.passed >= maxPassed && c.passed > s.classes[chosen].passed {
			chosen = i
		}
	}
	for i := chosen + 1; i < Classes; i++ {
		if s.classes[i].length > 0 {
			s.classes[i].passed++
		}
	}
	s.classes[chosen].passed = 0
	r := s.classes[chosen].pop(s.took.mean.Seconds(), now)
	s.forget(r)
	r.charged = s.took.mean
	return r
}

// wait returns the expected wait of the request at a place of a flow, by the
// queue's length or by the flow's pace, whichever is longer.
func (s *service) wait(classIndex int, f *flow, place int, now time.Time) time.Duration {
	byLength := time.Duration(s.turns(classIndex, f, place) * float64(s.took.mean))
	return max(byLength, f.pace(place, now))
}

// leastWait is the wait if the next slot comes free at once.
func (s *service) leastWait(classIndex int, f *flow, place int, now time.Time) time.Duration {
	turns := s.turns(classIndex, f, place) - 1/float64(s.slots)
	byLength := time.Duration(turns * float64(s.took.mean))
	return max(byLength, f.pace(place-1, now))
}

// turns returns how many mean service times pass before a request starts, if
// no other arrives: slots come free at the rate slots per mean service time.
// After capacity went away the running requests beyond the slots must finish
// first.
func (s *service) turns(classIndex int, f *flow, place int) float64 {
	if s.slots == 0 {
		return math.Inf(1)
	}
	ahead := s.classes[classIndex].ahead(f, place)
	for i := range classIndex {
		ahead += float64(s.classes[i].length)
	}
	turns := max(ahead+1-float64(s.free()), 0) / float64(s.slots)
	if excess := s.running - s.slots; excess > 0 {
		turns += float64(excess) / float64(s.running)
	}
	return turns
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
