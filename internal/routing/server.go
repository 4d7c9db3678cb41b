package routing

import (
	"lynxgate.dev/lynxgate/internal/rendezvous"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// counters are the figures of one backend server that change with every
// request; views share them with the table.
type counters struct {
	// inFlight counts this entry's own requests.
	inFlight atomic.Int64
	// lastDispatch is a Unix time in nanoseconds.
	lastDispatch atomic.Int64
	// others is the last word on the requests of other entries.
	others atomic.Pointer[othersCount]
}

// othersCount is how many requests of other entries were in progress.
type othersCount struct {
	requests float64
	at       time.Time
}

// agentCounted takes over an agent's count, this entry's own included.
func (c *counters) agentCounted(now time.Time, inFlight int) {
	c.setOthers(now, max(0, float64(inFlight)-float64(c.inFlight.Load())))
}

func (c *counters) setOthers(now time.Time, requests float64) {
	c.others.Store(&othersCount{requests: requests, at: now})
}

// othersNow estimates the requests of other entries. A count holds for one
// half-life, since the next one comes with the next answer, and then loses
// weight.
func (c *counters) othersNow(now time.Time, halfLife time.Duration) float64 {
	last := c.others.Load()
	if last == nil {
		return 0
	}
	return last.requests * decay(now.Sub(last.at)-halfLife, halfLife)
}

// server is what the table knows of one backend server.
type server struct {
	member inventory.Member
	region string
	hash   uint64
	count  *counters

	watched bool
	// state is the last message taken; heard is when it, or an answer, came.
	state    AgentState
	hasState bool
	heard    time.Time
	// known is true once there was any message, of any incarnation.
	known bool
	// drained is true while operators want the VM without work.
	drained bool
	// suspect is true from the loss of the watch to the next message.
	suspect bool
	// leaving is true when the agent said so, in its state or in a refusal;
	// leavingAt is when it last did.
	leaving   bool
	leavingAt time.Time
	load      loadEstimate
	hints     hintSet
	// liveSince is when each live version was first heard of here, while
	// the backend server was known without it.
	liveSince map[Version]time.Time
	health    health
	// waiting are the requests without a first token.
	waiting map[string]waiter
}

// waiter is a request without a first token.
type waiter struct {
	// since is when it was dispatched.
	since time.Time
	// whole is true when its first byte comes with its last.
	whole bool
}

func newServer(m inventory.Member) *server {
	return &server{
		member:    m,
		hash:      rendezvous.Hash(m.VM),
		count:     &counters{},
		liveSince: map[Version]time.Time{},
		waiting:   map[string]waiter{},
	}
}

// restart forgets what belonged to the backend server's earlier incarnation.
// Requests still in flight end by their own events.
func (s *server) restart() {
	s.hasState = false
	s.state = AgentState{}
	s.leaving = false
	s.load = loadEstimate{}
	s.count.others.Store(nil)
	s.hints = hintSet{}
	s.liveSince = map[Version]time.Time{}
	s.health = health{}
}

// takeState takes a message of the Watch stream unless it is an old one.
func (s *server) takeState(now time.Time, st AgentState, cfg *Config) bool {
	if st.Incarnation < s.member.Incarnation {
		return false
	}
	if st.Incarnation > s.member.Incarnation {
		s.member.Incarnation = st.Incarnation
		s.restart()
	}
	if s.hasState && st.Seq <= s.state.Seq {
		return false
	}
	s.noteLive(now, st.Live)
	s.count.agentCounted(now, st.InFlight)
	s.load.update(now, s.state, st, s.count.inFlight.Load())
	s.hints = s.hints.with(now, st.CacheEvents, cfg)
	s.takeLeaving(now, st.Leaving, cfg)
	s.state = st
	s.hasState = true
	s.known = true
	s.heard = now
	s.suspect = false
	return true
}

// takeLeaving believes a "leaving" at once, and its end only some time later:
// a message sent before a refusal may come after it.
func (s *server) takeLeaving(now time.Time, leaving bool, cfg *Config) {
	if leaving {
		s.leaving, s.leavingAt = true, now
		return
	}
	if s.leaving && now.Sub(s.leavingAt) >= cfg.HeartbeatLimit {
		s.leaving = false
	}
}

func (s *server) isLeaving() bool {
	return s.leaving || s.drained || s.member.State == inventory.MemberLeaving
}

// noteLive keeps the times at which versions came to be live. What is live
// in the first message has been for an unknown time and is taken as warm.
func (s *server) noteLive(now time.Time, live []Version) {
	since := make(map[Version]time.Time, len(live))
	for _, v := range live {
		at, known := s.liveSince[v]
		if !known && s.known {
			at = now
		}
		since[v] = at
	}
	s.liveSince = since
}

// dropLive notes that a version is not live after all.
func (s *server) dropLive(v Version) {
	kept := make([]Version, 0, len(s.state.Live))
	for _, have := range s.state.Live {
		if have != v {
			kept = append(kept, have)
		}
	}
	s.state.Live = kept
	delete(s.liveSince, v)
}
