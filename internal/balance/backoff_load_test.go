package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lynxgate.dev/lynxgate/internal/fleet"
	"lynxgate.dev/lynxgate/internal/follow"
)

// Servers of a plain service refuse requests that exceed their slots and queue, and request backoff.
// The demand of callers exceeds the capacity at times.
const (
	backoffEntries     = 4
	backoffServers     = 4
	backoffSlots       = 4
	backoffQueue       = 4
	backoffServiceTime = 60 * time.Millisecond
	backoffLength      = time.Second
	backoffDuration    = 30 * time.Second
	backoffLatency     = time.Millisecond
	// backoffMaxAttempts bounds the attempts of a request, not counting those that end in a backoff.
	backoffMaxAttempts = 2
)

// backoffPolicy is how entries react to requested backoff.
type backoffPolicy struct {
	honoured, oneAtATime bool
}

var backoffPolicies = map[string]backoffPolicy{
	"not heeded":                      {},
	"heeded, then all at once":        {honoured: true},
	"heeded, then one until it takes": {honoured: true, oneAtATime: true},
}

// backoffResult counts the results of callers and servers.
type backoffResult struct {
	callers, served, refusedAttempts int
	// duringBackoff counts refused attempts by an entry of which the server had requested backoff.
	duringBackoff int
}

func (g backoffResult) String() string {
	return fmt.Sprintf("served %.3f of %d callers, %d attempts refused, %d of them during backoff", float64(g.served)/float64(g.callers), g.callers, g.refusedAttempts, g.duringBackoff)
}

// backoffServer is a server with a queue.
type backoffServer struct {
	running int
	// sick servers refuse all requests.
	sick bool
	// backoffUntil is by entry.
	backoffUntil map[*Balancer]time.Time
}

type backoffSimulation struct {
	draw    *rand.Rand
	now     time.Time
	events  loadEvents
	servers map[string]*backoffServer
	policy  backoffPolicy
	got     backoffResult
}

func (p *backoffSimulation) after(d time.Duration, do func()) {
	heap.Push(&p.events, loadEvent{p.now.Add(d), do})
}

// simulateBackoff simulates a load of this many times the capacity, in bursts of one second of three,
// with this many sick servers.
func simulateBackoff(seed uint64, load float64, sick int, policy backoffPolicy) backoffResult {
	p := &backoffSimulation{draw: rand.New(rand.NewPCG(seed, 11)), now: start, servers: map[string]*backoffServer{}, policy: policy}
	var records []*fleet.BackendServer
	for i := range backoffServers {
		r := record(fmt.Sprint(i+1), "here", 1)
		r.Slots, r.SeenAt, r.Models = backoffSlots, start.Add(time.Hour), nil
		records = append(records, r)
		p.servers[r.ID] = &backoffServer{sick: i < sick, backoffUntil: map[*Balancer]time.Time{}}
	}
	v := view(records...)
	v.Table = fleet.NewTable(&fleet.Config{Version: 1, Services: []fleet.Service{{Name: service, MaxConns: 64}}})
	v.Entries = nil
	for i := range backoffEntries {
		v.Entries = append(v.Entries, follow.Entry{Name: fmt.Sprint("entry-", i), Zone: "here"})
	}
	capacity := backoffServers * backoffSlots / backoffServiceTime.Seconds()
	for _, e := range v.Entries {
		b := named(e.Name, v)
		p.callers(b, capacity/backoffEntries, load)
	}
	for len(p.events) > 0 {
		next := heap.Pop(&p.events).(loadEvent)
		p.now = next.at
		next.do()
	}
	return p.got
}

func (p *backoffSimulation) callers(b *Balancer, capacity, load float64) {
	if p.now.Sub(start) >= backoffDuration {
		return
	}
	rate := capacity * 0.6
	if int(p.now.Sub(start)/time.Second)%3 == 0 {
		rate = capacity * load
	}
	p.after(time.Duration(p.draw.ExpFloat64()/rate*float64(time.Second)), func() {
		p.got.callers++
		p.dispatch(b, nil, 0)
		p.callers(b, capacity, load)
	})
}

func (p *backoffSimulation) dispatch(b *Balancer, tried []*Server, attempts int) {
	if attempts >= backoffMaxAttempts {
		return
	}
	w := Requirements{Service: service, Exclude: tried}
	c, _ := b.Pick(p.now, w)
	if c.Server == nil {
		return
	}
	p.after(backoffLatency, func() {
		s := p.servers[c.Server.ID]
		if !s.sick && s.running < backoffSlots+backoffQueue {
			p.accept(b, &c, s)
			return
		}
		p.got.refusedAttempts++
		if p.now.Before(s.backoffUntil[b]) {
			p.got.duringBackoff++
		}
		s.backoffUntil[b] = p.now.Add(backoffLength)
		if p.policy.honoured {
			b.BackoffRequested(&c, p.now, backoffLength)
			c.Server.signals.probing = p.policy.oneAtATime
		}
		b.Done(&c, p.now, ResultBusy)
		next := attempts + 1
		if p.policy.honoured {
			next = attempts
		}
		p.dispatch(b, append(tried, c.Server), next)
	})
}

func (p *backoffSimulation) accept(b *Balancer, c *Choice, s *backoffServer) {
	p.got.served++
	b.AcceptedWork(c)
	ahead := s.running
	s.running++
	serviceTime := backoffServiceTime * time.Duration(1+ahead/backoffSlots)
	p.after(time.Duration(float64(serviceTime)*(0.5+p.draw.Float64())), func() {
		s.running--
		b.Done(c, p.now, ResultSucceeded)
	})
}

func TestBackoffIsHonouredUnderLoad(t *testing.T) {
	for _, sick := range []int{0, 2} {
		sum := map[string]backoffResult{}
		for seed := range uint64(3) {
			for name, policy := range backoffPolicies {
				got, all := simulateBackoff(seed, 1.5, sick, policy), sum[name]
				all.refusedAttempts += got.refusedAttempts
				all.duringBackoff += got.duringBackoff
				sum[name] = all
			}
		}
		ignored, honoured := sum["not heeded"], sum["heeded, then one until it takes"]
		assert.Less(t, 2*honoured.refusedAttempts, ignored.refusedAttempts, "%d sick", sick)
		// An attempt during a backoff may only have been on its way when the server requested it.
		assert.Less(t, 10*honoured.duringBackoff, ignored.duringBackoff, "%d sick", sick)
		if sick > 0 {
			assert.Less(t, honoured.duringBackoff, sum["heeded, then all at once"].duringBackoff)
		}
	}
}

// TestCompareBackoffPolicies logs the results of all policies.
func TestCompareBackoffPolicies(t *testing.T) {
	for _, load := range []float64{0.5, 1.2, 1.5} {
		for _, sick := range []int{0, 1, 2} {
			for name, policy := range backoffPolicies {
				t.Logf("load %.1f, %d sick, %-32s %v", load, sick, name, simulateBackoff(1, load, sick, policy))
			}
		}
	}
}
