package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lynxgate.dev/lynxgate/internal/answerlength"
	"lynxgate.dev/lynxgate/internal/clock"
	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/retryafter"
	"lynxgate.dev/lynxgate/internal/shutdown"
)

// learned is what an entry learns of callers of engines: how long their answers are, and, where their requests reserve
// slots, whether those who return after a refusal are served. It is safe for concurrent use.
type learned struct {
	mu sync.Mutex
	// lengths and returns are keyed by service.
	lengths map[string]*answerlength.Lengths
	returns map[string]*retryafter.Advisor
	// times are the times of whole answers, by route.
	times map[string]shutdown.AnswerTime
}

func newLearned() *learned {
	return &learned{lengths: map[string]*answerlength.Lengths{}, returns: map[string]*retryafter.Advisor{}, times: map[string]shutdown.AnswerTime{}}
}

// keepRoutes drops what is known of routes and services that a configuration no longer has.
func (l *learned) keepRoutes(t *fleet.Table) {
	names := make([]string, len(t.Config.Routes))
	for i, route := range t.Config.Routes {
		names[i] = route.Name
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.returns, func(service string, _ *retryafter.Advisor) bool { return t.Service(service) == nil })
	maps.DeleteFunc(l.lengths, func(service string, _ *answerlength.Lengths) bool { return t.Service(service) == nil })
	maps.DeleteFunc(l.times, func(route string, _ shutdown.AnswerTime) bool { return !slices.Contains(names, route) })
	for _, lengths := range l.lengths {
		lengths.Keep(names)
	}
}

func (l *learned) lengthsOf(service string, e *fleet.Engine) *answerlength.Lengths {
	lengths := l.lengths[service]
	if lengths == nil {
		lengths = answerlength.New(e.UsualAnswer)
		l.lengths[service] = lengths
	}
	return lengths
}

// answerLength returns the length in tokens that nine in ten answers like this one do not exceed.
func (l *learned) answerLength(service string, e *fleet.Engine, route string, s size) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, high := l.lengthsOf(service, e).Expect(route, s.hint, s.answer)
	return high
}

// answered records the length of a complete answer in tokens.
func (l *learned) answered(service string, e *fleet.Engine, route string, s size, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lengthsOf(service, e).Observe(route, s.hint, s.answer, tokens)
}

func (l *learned) advisor(service string) *retryafter.Advisor {
	advisor := l.returns[service]
	if advisor == nil {
		advisor = retryafter.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		l.returns[service] = advisor
	}
	return advisor
}

// returned records whether a caller that returned after a refusal was served.
func (l *learned) returned(now time.Time, service string, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advisor(service).Observe(now, served)
}

// retryAfter returns when a caller that is refused now should return.
func (l *learned) retryAfter(now time.Time, service string, left, objective, soonest time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.advisor(service).Advise(now, left, objective, soonest)
}

// answerTime returns the times of whole answers to requests of a route.
func (l *learned) answerTime(route string) shutdown.AnswerTime {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.times[route]
}

// answerTook records the time of a whole answer.
func (l *learned) answerTook(route string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times[route] = l.times[route].Observe(took)
}

// learnAnswerTime records how long the answer to the call's only attempt took. That of several says nothing of one.
func (c *call) learnAnswerTime() {
	if c.runs == 1 && c.next == nil {
		c.g.learned.answerTook(c.route.Name, clock.Since(c.sentAt))
	}
}
