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

// Servers of a plain service that refuse what they have no room for, and ask for rest, under callers
// that ask for more than they bear at times.
const (
	restEntries = 4
	restServers = 4
	restSlots   = 4
	restQueue   = 4
	restTakes   = 60 * time.Millisecond
	restLength  = time.Second
	restPlayed  = 30 * time.Second
	restWay     = time.Millisecond
	// restCalls is how often a caller's request is sent, beside those that end in a rest.
	restCalls = 2
)

// restPolicy says what entries do about a wish for rest.
type restPolicy struct {
	heeded, oneAtATime bool
}

var restPolicies = map[string]restPolicy{
	"not heeded":                      {},
	"heeded, then all at once":        {heeded: true},
	"heeded, then one until it takes": {heeded: true, oneAtATime: true},
}

// restGot is what callers and servers got.
type restGot struct {
	callers, served, refusedSends int
	// soon are sends that a server refused within the rest that it had asked for, of the same entry.
	soon int
}

func (g restGot) String() string {
	return fmt.Sprintf("served %.3f of %d callers, %d sends refused, %d of them at rest", float64(g.served)/float64(g.callers), g.callers, g.refusedSends, g.soon)
}

// restServer is a server with a queue.
type restServer struct {
	running int
	// sick servers refuse all.
	sick bool
	// restUntil is by entry.
	restUntil map[*Balancer]time.Time
}

type restPlay struct {
	draw    *rand.Rand
	now     time.Time
	events  loadEvents
	servers map[string]*restServer
	policy  restPolicy
	got     restGot
}

func (p *restPlay) after(d time.Duration, do func()) {
	heap.Push(&p.events, loadEvent{p.now.Add(d), do})
}

// playRest plays a load that is this many times what the servers bear, in bursts of one second of three;
// so many servers are sick.
func playRest(seed uint64, load float64, sick int, policy restPolicy) restGot {
	p := &restPlay{draw: rand.New(rand.NewPCG(seed, 11)), now: start, servers: map[string]*restServer{}, policy: policy}
	var records []*fleet.BackendServer
	for i := range restServers {
		r := record(fmt.Sprint(i+1), "here", 1)
		r.Slots, r.SeenAt, r.Models = restSlots, start.Add(time.Hour), nil
		records = append(records, r)
		p.servers[r.ID] = &restServer{sick: i < sick, restUntil: map[*Balancer]time.Time{}}
	}
	v := view(records...)
	v.Table = fleet.NewTable(&fleet.Config{Version: 1, Services: []fleet.Service{{Name: service, MaxConns: 64}}})
	v.Entries = nil
	for i := range restEntries {
		v.Entries = append(v.Entries, follow.Entry{Name: fmt.Sprint("entry-", i), Zone: "here"})
	}
	bears := restServers * restSlots / restTakes.Seconds()
	for _, e := range v.Entries {
		b := named(e.Name, v)
		p.callers(b, bears/restEntries, load)
	}
	for len(p.events) > 0 {
		next := heap.Pop(&p.events).(loadEvent)
		p.now = next.at
		next.do()
	}
	return p.got
}

func (p *restPlay) callers(b *Balancer, bears, load float64) {
	if p.now.Sub(start) >= restPlayed {
		return
	}
	rate := bears * 0.6
	if int(p.now.Sub(start)/time.Second)%3 == 0 {
		rate = bears * load
	}
	p.after(time.Duration(p.draw.ExpFloat64()/rate*float64(time.Second)), func() {
		p.got.callers++
		p.send(b, nil, 0)
		p.callers(b, bears, load)
	})
}

func (p *restPlay) send(b *Balancer, tried []*Server, sends int) {
	if sends >= restCalls {
		return
	}
	w := Want{Service: service, Exclude: tried}
	c, _ := b.Pick(p.now, w)
	if c.Server == nil {
		return
	}
	p.after(restWay, func() {
		s := p.servers[c.Server.ID]
		if !s.sick && s.running < restSlots+restQueue {
			p.take(b, &c, s)
			return
		}
		p.got.refusedSends++
		if p.now.Before(s.restUntil[b]) {
			p.got.soon++
		}
		s.restUntil[b] = p.now.Add(restLength)
		if p.policy.heeded {
			b.BackoffRequested(&c, p.now, restLength)
			c.Server.signals.onTrial = p.policy.oneAtATime
		}
		b.Done(&c, p.now, EndedBusy)
		next := sends + 1
		if p.policy.heeded {
			next = sends
		}
		p.send(b, append(tried, c.Server), next)
	})
}

func (p *restPlay) take(b *Balancer, c *Choice, s *restServer) {
	p.got.served++
	b.AcceptedWork(c)
	ahead := s.running
	s.running++
	takes := restTakes * time.Duration(1+ahead/restSlots)
	p.after(time.Duration(float64(takes)*(0.5+p.draw.Float64())), func() {
		s.running--
		b.Done(c, p.now, EndedWell)
	})
}

func TestServersThatAskForRestAreLeftAloneUnderLoad(t *testing.T) {
	for _, sick := range []int{0, 2} {
		sum := map[string]restGot{}
		for seed := range uint64(3) {
			for name, policy := range restPolicies {
				got, all := playRest(seed, 1.5, sick, policy), sum[name]
				all.refusedSends += got.refusedSends
				all.soon += got.soon
				sum[name] = all
			}
		}
		ignored, heeded := sum["not heeded"], sum["heeded, then one until it takes"]
		assert.Less(t, 2*heeded.refusedSends, ignored.refusedSends, "%d sick", sick)
		// What comes in a rest was on its way when the server asked for it.
		assert.Less(t, 10*heeded.soon, ignored.soon, "%d sick", sick)
		if sick > 0 {
			assert.Less(t, heeded.soon, sum["heeded, then all at once"].soon)
		}
	}
}

// Prints what callers get by what entries do about a wish for rest.
func TestWaysToHeedARest(t *testing.T) {
	for _, load := range []float64{0.5, 1.2, 1.5} {
		for _, sick := range []int{0, 1, 2} {
			for name, policy := range restPolicies {
				t.Logf("load %.1f, %d sick, %-32s %v", load, sick, name, playRest(1, load, sick, policy))
			}
		}
	}
}
