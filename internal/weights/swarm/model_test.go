package swarm

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// behaviour is how a member of the model answers its peers.
type behaviour int

const (
	honest  behaviour = iota
	corrupt           // sends wrong bytes
	liar              // reports every chunk and holds none
	stalled           // reports what it holds and never sends it
	behaviours
)

// model simulates a swarm of States in virtual time.
type model struct {
	now     time.Time
	rng     *rand.Rand
	events  eventQueue
	members []*actor
	byVM    map[string]*actor
	chunks  int
	// originUp reports whether the origin answers; nil means always.
	originUp func(now time.Time) bool
	// originTime is how long a fetch takes without a Progress event.
	originTime time.Duration
	limited    float64     // share of fetches that get the outcome Limited
	fetched    map[int]int // completed fetches from the origin by chunk
	problems   []string
}

type actor struct {
	model       *model
	peer        Peer
	behaviour   behaviour
	state       *State
	dead        bool
	subscribers map[string]*actor // subscribers
	links       map[string]bool
	open        map[uint64]int // requests in flight: chunk
}

type eventAt struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue struct {
	list []eventAt
	next int
}

func (q *eventQueue) Len() int { return len(q.list) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.list[i], q.list[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.order < b.order
}
func (q *eventQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *eventQueue) Push(x any)    { q.list = append(q.list, x.(eventAt)) }
func (q *eventQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

func (m *model) after(d time.Duration, do func()) {
	m.events.next++
	heap.Push(&m.events, eventAt{at: m.now.Add(d), order: m.events.next, do: do})
}

func newModel(seed uint64, members, chunks int) *model {
	m := &model{
		now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 0)), byVM: map[string]*actor{},
		chunks: chunks, fetched: map[int]int{},
	}
	for range members {
		m.add(nil)
	}
	return m
}

// add adds a member, which does not know the others before a MembersChanged.
func (m *model) add(held []int) *actor {
	i := len(m.members)
	a := &actor{
		model: m, peer: Peer{VM: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%2)},
		subscribers: map[string]*actor{}, links: map[string]bool{}, open: map[uint64]int{},
	}
	a.restart(held)
	m.members = append(m.members, a)
	m.byVM[a.peer.VM] = a
	return a
}

func (a *actor) restart(held []int) {
	a.state = New(Params{
		Self: a.peer, Strategy: StrategySwarm, Version: 42, Seed: uint64(len(a.model.members)),
		Chunks: a.model.chunks, Held: held, Config: Config{}.WithDefaults(false),
	})
}

func (m *model) peers() []Peer {
	var list []Peer
	for _, a := range m.members {
		list = append(list, a.peer)
	}
	return list
}

// start gives every member the list of all members and starts the ticks.
func (m *model) start() {
	for _, a := range m.members {
		a.step(MembersChanged{Members: m.peers()})
	}
	m.tick()
}

func (m *model) tick() {
	for _, a := range m.members {
		a.step(Tick{})
	}
	m.after(TickInterval, m.tick)
}

// run runs events until all live honest members are complete, or until the
// limit. It reports whether they are complete.
func (m *model) run(limit time.Duration) bool {
	end := m.now.Add(limit)
	for len(m.events.list) > 0 && m.now.Before(end) {
		ev := heap.Pop(&m.events).(eventAt)
		m.now = ev.at
		ev.do()
		if m.done() {
			return true
		}
	}
	return m.done()
}

func (m *model) done() bool {
	for _, a := range m.members {
		if !a.dead && a.behaviour == honest && !a.state.Complete() {
			return false
		}
	}
	return true
}

func (a *actor) step(ev Event) {
	if a.dead {
		return
	}
	for _, action := range a.state.Step(a.model.now, ev) {
		a.act(action)
	}
}

func (a *actor) act(action Action) {
	m := a.model
	switch x := action.(type) {
	case Connect:
		a.links[x.Peer.VM] = true
		m.after(m.delay(10), func() { a.connect(m.byVM[x.Peer.VM]) })
	case Disconnect:
		delete(a.links, x.VM)
		delete(m.byVM[x.VM].subscribers, a.peer.VM)
	case Request:
		a.check(x.ID, x.Index)
		if !a.links[x.VM] {
			m.problems = append(m.problems, "request to a peer that is not connected")
		}
		m.after(m.delay(20), func() { a.answer(x.ID, x.Index, m.byVM[x.VM]) })
	case Fetch:
		a.check(x.ID, x.Index)
		m.after(m.delay(30), func() { a.fetch(x) })
	case Cancel:
		delete(a.open, x.ID)
	case Seen:
		for _, i := range x.Indexes {
			a.broadcast(PeerHaves{VM: a.peer.VM, SeenAdded: []uint32{uint32(i)}})
		}
	}
}

// check verifies that a request is for a chunk that is not held, and that at
// most two requests are open for it.
func (a *actor) check(id uint64, index int) {
	same := 0
	for _, i := range a.open {
		if i == index {
			same++
		}
	}
	if a.state.held.Has(index) || same > 1 {
		a.model.problems = append(a.model.problems, "request for a chunk that is held or requested twice already")
	}
	a.open[id] = index
}

func (m *model) delay(ms int) time.Duration {
	return time.Duration(1+m.rng.IntN(2*ms)) * time.Millisecond
}

func (a *actor) connect(to *actor) {
	m := a.model
	if a.dead || !a.links[to.peer.VM] {
		return
	}
	if to.dead {
		a.step(PeerLost{VM: to.peer.VM})
		m.after(m.delay(200), func() { a.connect(to) })
		return
	}
	to.subscribers[a.peer.VM] = a
	holds, seen := NewBits(m.chunks), NewBits(m.chunks)
	copy(holds, to.state.held)
	copy(seen, to.state.seen)
	if to.behaviour == liar {
		for i := range m.chunks {
			holds.Set(i)
		}
	}
	a.step(PeerHaves{VM: to.peer.VM, Reset: true, Holds: holds, Seen: seen})
}

func (a *actor) broadcast(ev PeerHaves) {
	for _, to := range a.subscribers {
		a.model.after(a.model.delay(10), func() {
			if !a.dead {
				to.step(ev)
			}
		})
	}
}

// answer ends a request according to the peer's behaviour.
func (a *actor) answer(id uint64, index int, from *actor) {
	if _, ok := a.open[id]; !ok {
		return
	}
	switch {
	case from.dead:
		a.end(id, Failed)
		a.step(PeerLost{VM: from.peer.VM})
		a.model.after(a.model.delay(200), func() { a.connect(from) })
	case from.behaviour == stalled:
	case from.behaviour == liar || !from.state.held.Has(index):
		a.end(id, NotHeld)
	case from.behaviour == corrupt:
		a.end(id, Corrupt)
	default:
		a.end(id, Verified)
	}
}

func (a *actor) fetch(x Fetch) {
	m := a.model
	if _, ok := a.open[x.ID]; !ok || a.dead {
		return
	}
	switch {
	case m.originUp != nil && !m.originUp(m.now):
		a.end(x.ID, Failed)
	case m.rng.Float64() < m.limited:
		delete(a.open, x.ID)
		a.step(Ended{ID: x.ID, Outcome: Limited, RetryAfter: 50 * time.Millisecond})
	default:
		m.after(m.originTime, func() { a.fetchEnded(x) })
	}
}

func (a *actor) fetchEnded(x Fetch) {
	if _, ok := a.open[x.ID]; !ok {
		return // cancelled
	}
	a.model.fetched[x.Index]++
	a.end(x.ID, Verified)
}

func (a *actor) end(id uint64, outcome Outcome) {
	if a.dead {
		return
	}
	index := a.open[id]
	delete(a.open, id)
	if outcome == Verified {
		a.broadcast(PeerHaves{VM: a.peer.VM, Added: []uint32{uint32(index)}})
	}
	a.step(Ended{ID: id, Outcome: outcome})
}

func (a *actor) crash() {
	a.dead = true
	for _, to := range a.subscribers {
		a.model.after(a.model.delay(5), func() {
			to.step(PeerLost{VM: a.peer.VM})
			a.model.after(a.model.delay(200), func() { to.connect(a) })
		})
	}
}
