package routing

import (
	"lynxgate.dev/lynxgate/internal/rendezvous"
	"sync/atomic"
	"time"

	"lynxgate.dev/lynxgate/internal/inventory"
)

// counters holds what changes with every request at one backend server. Views
// share it with the table.
type counters struct {
	// inFlight counts this entry's own requests.
	inFlight atomic.Int64
	// lastDispatch is a Unix time in nanoseconds.
	lastDispatch atomic.Int64
	// others is the latest count of the requests of other entries.
	others atomic.Pointer[othersCount]
}

// othersCount is how many requests of other entries were in progress.
type othersCount struct {
	requests float64
	at       time.Time
}

// setAgentCount sets the requests of other entries from an agent's count, which
// includes this entry's own.
func (c *counters) setAgentCount(now time.Time, inFlight int) {
	c.setOthers(now, max(0, float64(inFlight)-float64(c.inFlight.Load())))
}

func (c *counters) setOthers(now time.Time, requests float64) {
	c.others.Store(&othersCount{requests: requests, at: now})
}

// othersNow estimates the requests of other entries. A count keeps its full
// weight for one half-life, since the next one arrives with the next answer, and
// then decays.
func (c *counters) othersNow(now time.Time, halfLife time.Duration) float64 {
	last := c.others.Load()
	if last == nil {
		return 0
	}
	return last.requests * decay(now.Sub(last.at)-halfLife, halfLife)
}

// server is the table's record of one backend server.
type server struct {
	member inventory.Member
	region string
	hash   uint64
	count  *counters

	watched bool
	// state is the latest message applied and lastHeartbeat its arrival.
	state         AgentState
	hasState      bool
	lastHeartbeat time.Time
	// known is true after the first message, of any incarnation.
	known bool
	// drained is true while operators have drained the VM.
	drained bool
	// connectionLost is true from the loss of the Watch stream, or a request
	// that could not be delivered, to the next message.
	connectionLost bool
	// leaving is true if the agent announced that it leaves, in its state or
	// in a refusal; leavingAt is when it last did.
	leaving   bool
	leavingAt time.Time
	load      loadEstimate
	hints     hintSet
	// liveSince is when each live version became live; zero if it was live in
	// the first message.
	liveSince map[Version]time.Time
	health    health
	// waiting are the requests without a first token.
	waiting map[string]pendingRequest
}

// pendingRequest is a request without a first token.
type pendingRequest struct {
	// since is when it was dispatched.
	since time.Time
	// unstreamed is true for an answer that is not streamed: its first byte arrives
	// with its last.
	unstreamed bool
}

func newServer(m inventory.Member) *server {
	return &server{
		member:    m,
		hash:      rendezvous.Hash(m.VM),
		count:     &counters{},
		liveSince: map[Version]time.Time{},
		waiting:   map[string]pendingRequest{},
	}
}

// resetIncarnation clears the state of the backend server's earlier incarnation.
// Requests still in flight are finished by their own events.
func (s *server) resetIncarnation() {
	s.hasState = false
	s.state = AgentState{}
	s.leaving = false
	s.load = loadEstimate{}
	s.count.others.Store(nil)
	s.hints = hintSet{}
	s.liveSince = map[Version]time.Time{}
	s.health = health{}
}

// applyState applies a message of the Watch stream unless it is outdated, and
// reports whether it did.
func (s *server) applyState(now time.Time, st AgentState, cfg *Config) bool {
	if st.Incarnation < s.member.Incarnation {
		return false
	}
	if st.Incarnation > s.member.Incarnation {
		s.member.Incarnation = st.Incarnation
		s.resetIncarnation()
	}
	if s.hasState && st.Seq <= s.state.Seq {
		return false
	}
	s.updateLive(now, st.Live)
	s.count.setAgentCount(now, st.InFlight)
	s.load.update(now, s.state, st, s.count.inFlight.Load())
	s.hints = s.hints.with(now, st.CacheEvents, cfg)
	s.applyLeaving(now, st.Leaving, cfg)
	s.state = st
	s.hasState = true
	s.known = true
	s.lastHeartbeat = now
	s.connectionLost = false
	return true
}

// applyLeaving sets leaving at once but clears it only after HeartbeatTimeout: a
// message that was sent before a refusal may arrive after it.
func (s *server) applyLeaving(now time.Time, leaving bool, cfg *Config) {
	if leaving {
		s.leaving, s.leavingAt = true, now
		return
	}
	if s.leaving && now.Sub(s.leavingAt) >= cfg.HeartbeatTimeout {
		s.leaving = false
	}
}

func (s *server) isLeaving() bool {
	return s.leaving || s.drained || s.member.State == inventory.MemberLeaving
}

// updateLive records when versions became live. Those in the first message have
// been live for an unknown time and count as warm, unless an earlier incarnation is known: a
// restart has emptied the engine's cache.
func (s *server) updateLive(now time.Time, live []Version) {
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

// removeLive removes a version that the agent refused as not live.
func (s *server) removeLive(v Version) {
	kept := make([]Version, 0, len(s.state.Live))
	for _, have := range s.state.Live {
		if have != v {
			kept = append(kept, have)
		}
	}
	s.state.Live = kept
	delete(s.liveSince, v)
}
